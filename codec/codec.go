// Package codec is the encoding of what entry VMs tell each other and keep in the store.
package codec

import "github.com/fxamacker/cbor/v2"

// mode keeps times to the microsecond. The library's default drops fractions of a second.
var mode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		// The options are constants.
		panic(err)
	}
	return m
}()

// Marshal returns v in CBOR.
func Marshal(v any) ([]byte, error) { return mode.Marshal(v) }

// Unmarshal reads CBOR into v.
func Unmarshal(data []byte, v any) error { return cbor.Unmarshal(data, v) }

// RawMessage is a value that stays encoded.
type RawMessage = cbor.RawMessage
