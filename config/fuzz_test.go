package config

import (
	"testing"

	"github.com/matryer/is"

	"clementinepier/bundle"
)

// Guards against input that crashes Decode or Merge, decreases the revision of a view, or decodes to a document without a
// stable encoding.
func FuzzDecodeAndMerge(f *testing.F) {
	d := mustAccept(f, Document{}, bundleChange(1, "x", "a", "b"), orderChange("a", 1, bundle.OrderOut), bundleChange(2, "x", "a", "b"))
	current, err := merge(testVerifier, nil, d)
	is.New(f).NoErr(err)
	for _, next := range []Document{{}, d, mustAccept(f, d, orderChange("b", 1, bundle.OrderOut)), damaged(d)} {
		data, err := Encode(next)
		is.New(f).NoErr(err)
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		d, err := Decode(data)
		if err != nil {
			is.True(IsErrInvalidDocument(err))
			return
		}
		again, err := Encode(d)
		is.NoErr(err)
		same, err := Decode(again)
		is.NoErr(err)
		canonical, err := Encode(same)
		is.NoErr(err)
		is.Equal(again, canonical)
		next, err := merge(testVerifier, current, d)
		is.True(err == nil || IsErrParts(err))
		is.True(next.KnownRevision().Covers(current.KnownRevision()) && next.Revision().Covers(current.Revision()))
	})
}
