package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	prefixRead = "clementinepier/v1/read\x00"
	// readScheme is the authentication scheme of signed reads in the Authorization header.
	readScheme = "Signature"
	// maxReadSkew allows for clocks that differ. It also bounds how long a copied header can be replayed.
	maxReadSkew = 2 * time.Minute
)

// ReadProof proves that the holder of a trusted key requested to read a path at a given time.
type ReadProof struct {
	At        time.Time
	Signature Signature
}

// SignRead signs a read of the path.
func SignRead(key *PrivateKey, path string, at time.Time) ReadProof {
	return ReadProof{At: at, Signature: key.sign(readPayload(path, at))}
}

func readPayload(path string, at time.Time) []byte {
	out := append([]byte(prefixRead), path...)
	return binary.BigEndian.AppendUint64(append(out, 0), uint64(at.Unix())) //nolint:gosec // only equal bytes matter
}

// String returns the value of the Authorization header.
func (p ReadProof) String() string {
	return fmt.Sprintf("%s %s %d %s", readScheme, p.Signature.Key, p.At.Unix(), base64.StdEncoding.EncodeToString(p.Signature.Value))
}

// ParseReadProof decodes the value of an Authorization header. It does not verify the signature.
func ParseReadProof(header string) (ReadProof, error) {
	fields := strings.Split(header, " ")
	if len(fields) != 4 || fields[0] != readScheme {
		return ReadProof{}, &ErrReadRefused{Reason: "want: " + readScheme + " KEY-ID UNIX-SECONDS BASE64"}
	}
	at, err := strconv.ParseInt(fields[2], 10, 64)
	if err != nil {
		return ReadProof{}, &ErrReadRefused{Reason: "the time is not a number of seconds"}
	}
	value, err := base64.StdEncoding.DecodeString(fields[3])
	if err != nil {
		return ReadProof{}, &ErrReadRefused{Reason: "the signature is not base64"}
	}
	return ReadProof{At: time.Unix(at, 0), Signature: Signature{Key: KeyID(fields[1]), Value: value}}, nil
}

// VerifyRead checks that a trusted key of any role signed the path at most maxReadSkew before or after now.
func (k *Keyring) VerifyRead(now time.Time, path string, p ReadProof) error {
	key, known := k.keys[p.Signature.Key]
	switch {
	case !known:
		return &ErrReadRefused{Reason: fmt.Sprintf("key %q is not among the trusted keys", p.Signature.Key)}
	case !key.notAfter.IsZero() && now.After(key.notAfter):
		return &ErrReadRefused{Reason: fmt.Sprintf("key %q is past its not-after time", p.Signature.Key)}
	case now.Sub(p.At).Abs() > maxReadSkew:
		return &ErrReadRefused{Reason: fmt.Sprintf("the time is more than %s from the entry VM's", maxReadSkew)}
	case !ed25519.Verify(key.public, readPayload(path, p.At), p.Signature.Value):
		return &ErrReadRefused{Reason: "the signature does not match"}
	}
	return nil
}
