package bundle

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// MaxSignedSize is the maximum size of an encoded signed bundle in bytes: JSON contains the source in base64, which is a
// third longer, and 4 kB are more than the signatures take.
const MaxSignedSize = MaxSourceSize/3*4 + 4096

// EncodeSigned returns the signed bundle as JSON, the format of signed files.
func EncodeSigned(s Signed) ([]byte, error) {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, &ErrSignedFileInvalid{Reason: err.Error()}
	}
	return append(data, '\n'), nil
}

// DecodeSigned decodes a signed file. It rejects unknown fields. Its error is an *ErrSignedFileInvalid. It does not verify
// the signatures.
func DecodeSigned(data []byte) (Signed, error) {
	if len(data) > MaxSignedSize {
		return Signed{}, &ErrSignedFileInvalid{Reason: fmt.Sprintf("has %d bytes; at most %d are allowed", len(data), MaxSignedSize)}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var s Signed
	if err := decoder.Decode(&s); err != nil {
		return Signed{}, &ErrSignedFileInvalid{Reason: err.Error()}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return Signed{}, &ErrSignedFileInvalid{Reason: "has data after the signed bundle"}
	}
	if len(s.Source) == 0 {
		return Signed{}, &ErrSignedFileInvalid{Reason: "has no source"}
	}
	return s, nil
}
