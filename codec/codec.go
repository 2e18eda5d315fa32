// Package codec encodes and decodes, in CBOR, the messages between entry VMs and the records in the store.
package codec

import "github.com/fxamacker/cbor/v2"

// encMode encodes times with microsecond precision; the library's default drops fractions of a second.
var encMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		// Unreachable: the options are constant and valid.
		panic(err)
	}
	return m
}()

// Marshal encodes v as CBOR.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes CBOR data into v.
func Unmarshal(data []byte, v any) error { return cbor.Unmarshal(data, v) }

// RawMessage is an encoded CBOR value whose decoding is deferred.
type RawMessage = cbor.RawMessage
