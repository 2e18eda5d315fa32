package claim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinepier/job"
)

// Guards against a stored value that makes decoding panic, and against records that are lost when a value is read and
// written back.
func FuzzDecode(f *testing.F) {
	v := snapshot{records: map[job.Key]storedRecord{}}
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
		first, err := decodeShard(1, data)
		if err != nil {
			return
		}
		is := is.New(t)
		again, err := first.encode()
		is.NoErr(err)
		second, err := decodeShard(1, again)
		is.NoErr(err)
		is.Equal(len(second.records), len(first.records))
	})
}
