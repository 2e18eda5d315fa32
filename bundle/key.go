package bundle

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

const (
	privateKeyFileMode = 0o600
	publicKeyFileMode  = 0o644
	// maxKeyFileSize is far above the size of any key file; it bounds the memory that reading a mistyped path takes.
	maxKeyFileSize = 16 << 10
)

// KeyID identifies a public key. It is derived from the key, so different keys have different ids.
type KeyID string

// KeyIDOf returns the id of a public key: the first 16 hexadecimal digits of its SHA-256 digest.
func KeyIDOf(public ed25519.PublicKey) KeyID {
	digest := sha256.Sum256(public)
	return KeyID(hex.EncodeToString(digest[:8]))
}

// PrivateKey signs bundles, orders and reads. Formatting it prints only its id.
type PrivateKey struct{ private ed25519.PrivateKey }

// GenerateKey returns a new key that is generated from the given source of randomness.
func GenerateKey(random io.Reader) (*PrivateKey, error) {
	seed := make([]byte, ed25519.SeedSize)
	if _, err := io.ReadFull(random, seed); err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	return &PrivateKey{private: ed25519.NewKeyFromSeed(seed)}, nil
}

// ID returns the id of the public key.
func (k *PrivateKey) ID() KeyID { return KeyIDOf(k.public()) }

func (k *PrivateKey) public() ed25519.PublicKey { return k.private.Public().(ed25519.PublicKey) }

// Trusted returns the public key for use in a keyring, trusted in the given roles (none means all).
func (k *PrivateKey) Trusted(roles ...Role) TrustedKey {
	return TrustedKey{ID: k.ID(), PublicKey: base64.StdEncoding.EncodeToString(k.public()), Roles: roles}
}

// Format implements fmt.Formatter so that no verb prints the private key.
func (k *PrivateKey) Format(s fmt.State, _ rune) { _, _ = fmt.Fprintf(s, "private key %s", k.ID()) }

// Check returns the decoded public key, or an error that describes why t is invalid.
func (t TrustedKey) Check() (ed25519.PublicKey, error) {
	public, err := base64.StdEncoding.DecodeString(t.PublicKey)
	if err != nil || len(public) != ed25519.PublicKeySize {
		return nil, errors.Errorf("public-key must be %d bytes in base64", ed25519.PublicKeySize)
	}
	if id := KeyIDOf(public); t.ID != "" && t.ID != id {
		return nil, errors.Errorf("id is %q, but the public key has id %q", t.ID, id)
	}
	for _, r := range t.Roles {
		if !slices.Contains([]Role{RoleAuthor, RoleReviewer, RoleOperator}, r) {
			return nil, errors.Errorf("role %q is none of author, reviewer, operator", r)
		}
	}
	return public, nil
}

type privateKeyFile struct {
	ID         KeyID  `toml:"id"`
	PrivateKey string `toml:"private-key"`
}

// WriteKeyFiles writes the private key to path with mode 0600 and the public key to path + ".pub". It never overwrites
// an existing file.
func WriteKeyFiles(path string, key *PrivateKey, roles ...Role) error {
	private, err := toml.Marshal(privateKeyFile{
		ID: key.ID(), PrivateKey: base64.StdEncoding.EncodeToString(key.private.Seed()),
	})
	if err != nil {
		return &ErrKeyInvalid{Source: path, Reason: "cannot be encoded"}
	}
	public, err := toml.Marshal(key.Trusted(roles...))
	if err != nil {
		return &ErrKeyInvalid{Source: path, Reason: "public key cannot be encoded"}
	}
	if err := createFile(path+".pub", public, publicKeyFileMode); err != nil {
		return err
	}
	if err := createFile(path, private, privateKeyFileMode); err != nil {
		_ = os.Remove(path + ".pub")
		return err
	}
	return nil
}

// createFile creates a file and removes it if it cannot be written completely.
func createFile(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return &ErrKeyInvalid{Source: path, Reason: "cannot be created: " + fileErrorReason(err)}
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		_ = os.Remove(path)
		return &ErrKeyInvalid{Source: path, Reason: "cannot be written: " + fileErrorReason(err)}
	}
	return nil
}

// fileErrorReason returns the text of a file error without the path, which the caller already reports.
func fileErrorReason(err error) string {
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err.Error()
	}
	return err.Error()
}

// ReadPrivateKey reads a private key file. It rejects a file that group or others can access.
func ReadPrivateKey(path string) (*PrivateKey, error) {
	data, mode, err := readKeyFile(path)
	if err != nil {
		return nil, err
	}
	if mode.Perm()&0o077 != 0 {
		text := fmt.Sprintf("mode is %04o, so others can access the private key; set it to 0600", mode.Perm())
		return nil, &ErrKeyInvalid{Source: path, Reason: text}
	}
	var file privateKeyFile
	// The decoder's error may quote the private key, so it is not included.
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&file); err != nil {
		return nil, &ErrKeyInvalid{Source: path, Reason: "is not a private key file"}
	}
	seed, err := base64.StdEncoding.DecodeString(file.PrivateKey)
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, &ErrKeyInvalid{Source: path, Reason: "is not a private key file"}
	}
	key := &PrivateKey{private: ed25519.NewKeyFromSeed(seed)}
	if file.ID != key.ID() {
		return nil, &ErrKeyInvalid{Source: path, Reason: fmt.Sprintf("id does not belong to the key, which has id %q", key.ID())}
	}
	return key, nil
}

// ReadPublicKey reads a public key file.
func ReadPublicKey(path string) (TrustedKey, error) {
	data, _, err := readKeyFile(path)
	if err != nil {
		return TrustedKey{}, err
	}
	var key TrustedKey
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&key); err != nil {
		return TrustedKey{}, &ErrKeyInvalid{Source: path, Reason: "is not a public key file"}
	}
	if _, err := key.Check(); err != nil {
		return TrustedKey{}, &ErrKeyInvalid{Source: path, Reason: err.Error()}
	}
	return key, nil
}

func readKeyFile(path string) ([]byte, os.FileMode, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, 0, &ErrKeyInvalid{Source: path, Reason: "cannot be read: " + fileErrorReason(err)}
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil || !info.Mode().IsRegular() {
		return nil, 0, &ErrKeyInvalid{Source: path, Reason: "is not a regular file"}
	}
	data, err := io.ReadAll(io.LimitReader(f, maxKeyFileSize+1))
	if err != nil || len(data) > maxKeyFileSize {
		return nil, 0, &ErrKeyInvalid{Source: path, Reason: fmt.Sprintf("cannot be read or is above %d bytes", maxKeyFileSize)}
	}
	return data, info.Mode(), nil
}
