package cmd

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"clementinepier/bundle"
)

const signedFileMode = 0o644

// writeSigned writes a signed file atomically: a reader sees either the old or the new content. An existing file is
// replaced only if replace is true.
func writeSigned(path string, signed bundle.Signed, replace bool) error {
	data, err := bundle.EncodeSigned(signed)
	if err != nil {
		return err
	}
	temporary, err := os.CreateTemp(filepath.Dir(path), ".signed-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(temporary.Name()) }()
	_, err = temporary.Write(data)
	if err == nil {
		err = temporary.Chmod(signedFileMode)
	}
	if err == nil {
		err = temporary.Sync()
	}
	if closeErr := temporary.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if replace {
		return os.Rename(temporary.Name(), path)
	}
	// Unlike a rename, a link fails when the path exists.
	if err := os.Link(temporary.Name(), path); err != nil {
		if os.IsExist(err) {
			return errors.Errorf("%s exists already; --force replaces it", path)
		}
		return err
	}
	return nil
}

// readSigned reads a signed file and validates the bundle in it. It does not verify signatures.
func (s *invocation) readSigned(path string) (bundle.Signed, *bundle.Bundle, error) {
	data, err := s.readFile(path)
	if err != nil {
		return bundle.Signed{}, nil, err
	}
	signed, err := bundle.DecodeSigned(data)
	if err != nil {
		return bundle.Signed{}, nil, errors.Wrap(err, path)
	}
	b, err := bundle.ParseAndCheck(signed.Source)
	return signed, b, err
}

// readBundle reads a bundle from a signed file or from an unsigned source file, and returns the source with it.
func (s *invocation) readBundle(path string) ([]byte, *bundle.Bundle, error) {
	data, err := s.readFile(path)
	if err != nil {
		return nil, nil, err
	}
	if signed, err := bundle.DecodeSigned(data); err == nil {
		data = signed.Source
	}
	b, err := bundle.ParseAndCheck(data)
	return data, b, err
}
