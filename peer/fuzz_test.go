package peer

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Guards against received bytes that make this process panic: frames and hellos are decoded before any other check.
func FuzzFrame(f *testing.F) {
	for _, v := range []any{
		frame{ID: 1, Kind: KindRun, Body: cbor.RawMessage{0xa0}},
		frame{ID: 1, Reply: true, Detail: "x"},
		hello{Identity: Identity{VM: "a"}, Nonce: make([]byte, nonceSize)},
	} {
		data, err := cbor.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Add([]byte{0x9f, 0x9f, 0x9f})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var fr frame
		if cbor.Unmarshal(data, &fr) == nil {
			var body map[string]any
			_ = cbor.Unmarshal(fr.Body, &body)
		}
		var first hello
		if cbor.Unmarshal(data, &first) == nil {
			_ = verify(first.Proof, [][]byte{[]byte("secret")}, roleDialer, first, first)
		}
	})
}
