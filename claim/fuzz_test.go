package claim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinepier/job"
)

// Guards against a value of the store that stops the ledger, or that changes when it is read and written back.
func FuzzDecode(f *testing.F) {
	v := view{records: map[job.Key]entry{}}
	for i := range 3 {
		if err := v.put(Record{Key: testKey(i), Attempt: 1, Nonce: "n", State: StateClaimed, At: time.Unix(1, 0)}); err != nil {
			f.Fatal(err)
		}
	}
	value, err := v.encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add(value[:len(value)-1])
	f.Add([]byte{0x9f, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := decode(1, data)
		if err != nil {
			return
		}
		is := is.New(t)
		again, err := first.encode()
		is.NoErr(err)
		second, err := decode(1, again)
		is.NoErr(err)
		is.Equal(len(second.records), len(first.records))
	})
}
