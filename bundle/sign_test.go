package bundle_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinepier/bundle"
)

// key returns a key generated from a fixed seed.
func key(t testing.TB, seed byte) *bundle.PrivateKey {
	k, err := bundle.GenerateKey(bytes.NewReader(bytes.Repeat([]byte{seed}, 32)))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

var now = time.Date(2027, 1, 2, 3, 4, 5, 0, time.UTC)

// Guards against accepting bundles without valid signatures of two different trusted keys in the required roles.
func TestBundleNeedsTwoTrustedSignatures(t *testing.T) {
	alice, bob, carol, mallory := key(t, 1), key(t, 2), key(t, 3), key(t, 4)
	old := bob.Trusted()
	old.NotAfter = now.Add(-time.Second)
	source := example(t)
	signed := func(author, reviewer *bundle.PrivateKey) bundle.Signed {
		return bundle.Signed{Source: source, Author: bundle.SignAuthor(author, source), Reviewer: bundle.SignReviewer(reviewer, source)}
	}
	everyRole := []bundle.TrustedKey{alice.Trusted(), bob.Trusted(), carol.Trusted()}
	byRole := []bundle.TrustedKey{alice.Trusted(bundle.RoleAuthor), bob.Trusted(bundle.RoleReviewer), carol.Trusted(bundle.RoleOperator)}
	altered := signed(alice, bob)
	altered.Source = append([]byte("#"), source...)
	swapped := signed(alice, bob)
	swapped.Author, swapped.Reviewer = swapped.Reviewer, swapped.Author
	asAuthor := signed(alice, bob)
	asAuthor.Reviewer = bundle.SignAuthor(bob, source)
	invalid := []byte("revision = 0")
	for name, test := range map[string]struct {
		keys []bundle.TrustedKey
		s    bundle.Signed
		want func(error) bool
	}{
		"valid":                          {everyRole, signed(alice, bob), nil},
		"valid by role":                  {byRole, signed(alice, bob), nil},
		"after rotation":                 {append(everyRole, mallory.Trusted()), signed(mallory, bob), nil},
		"one signer":                     {everyRole, signed(alice, alice), bundle.IsErrSameSigner},
		"author not trusted":             {everyRole, signed(mallory, bob), bundle.IsErrKeyNotTrusted},
		"reviewer not trusted":           {everyRole, signed(alice, mallory), bundle.IsErrKeyNotTrusted},
		"reviewer has another role":      {byRole, signed(alice, carol), bundle.IsErrKeyNotTrusted},
		"author has another role":        {byRole, signed(bob, alice), bundle.IsErrKeyNotTrusted},
		"key past not-after":             {[]bundle.TrustedKey{alice.Trusted(), old}, signed(alice, bob), bundle.IsErrKeyNotTrusted},
		"source altered":                 {everyRole, altered, bundle.IsErrSignatureInvalid},
		"signatures swapped":             {everyRole, swapped, bundle.IsErrSignatureInvalid},
		"two authors":                    {everyRole, asAuthor, bundle.IsErrSignatureInvalid},
		"no signatures":                  {everyRole, bundle.Signed{Source: source}, bundle.IsErrKeyNotTrusted},
		"no keys":                        {nil, signed(alice, bob), bundle.IsErrKeyNotTrusted},
		"valid signatures, bundle wrong": {everyRole, bundle.Signed{Source: invalid, Author: bundle.SignAuthor(alice, invalid), Reviewer: bundle.SignReviewer(bob, invalid)}, bundle.IsErrBundleInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			keyring, err := bundle.NewKeyring(test.keys)
			is.NoErr(err)
			b, err := keyring.VerifyNew(now, test.s)
			if test.want == nil {
				is.NoErr(err)
				is.Equal(b.Revision, uint64(1))
				return
			}
			t.Log(err)
			is.True(test.want(err))
		})
	}
	t.Run("a bundle in force stays valid after not-after", func(t *testing.T) {
		is := is.New(t)
		keyring, err := bundle.NewKeyring([]bundle.TrustedKey{alice.Trusted(), old})
		is.NoErr(err)
		_, err = keyring.Verify(signed(alice, bob))
		is.NoErr(err)
	})
}

// Guards against accepting orders that no operator signed or that were altered after signing.
func TestOrderNeedsOperatorSignature(t *testing.T) {
	operator, author := key(t, 1), key(t, 2)
	old := key(t, 3)
	oldTrusted := old.Trusted()
	oldTrusted.NotAfter = now.Add(-time.Second)
	keyring, err := bundle.NewKeyring([]bundle.TrustedKey{operator.Trusted(bundle.RoleOperator), author.Trusted(bundle.RoleAuthor), oldTrusted})
	if err != nil {
		t.Fatal(err)
	}
	valid := bundle.Order{FailureDomain: "tunis-a", State: bundle.OrderOut, Sequence: 3, ChangeID: "c1"}
	alter := func(change func(*bundle.Order)) bundle.SignedOrder {
		o := bundle.SignOrder(operator, valid)
		change(&o.Order)
		return o
	}
	sign := func(change func(*bundle.Order)) bundle.SignedOrder {
		o := valid
		change(&o)
		return bundle.SignOrder(operator, o)
	}
	for name, test := range map[string]struct {
		order bundle.SignedOrder
		want  func(error) bool
	}{
		"valid":                {bundle.SignOrder(operator, valid), nil},
		"not an operator":      {bundle.SignOrder(author, valid), bundle.IsErrKeyNotTrusted},
		"key past not-after":   {bundle.SignOrder(old, valid), bundle.IsErrKeyNotTrusted},
		"state altered":        {alter(func(o *bundle.Order) { o.State = bundle.OrderIn }), bundle.IsErrSignatureInvalid},
		"sequence altered":     {alter(func(o *bundle.Order) { o.Sequence++ }), bundle.IsErrSignatureInvalid},
		"domain altered":       {alter(func(o *bundle.Order) { o.FailureDomain = "tunis-b" }), bundle.IsErrSignatureInvalid},
		"change id altered":    {alter(func(o *bundle.Order) { o.ChangeID = "c2" }), bundle.IsErrSignatureInvalid},
		"text shifted":         {alter(func(o *bundle.Order) { o.FailureDomain, o.State = "tunis-ao", "ut" }), bundle.IsErrSignatureInvalid},
		"state unknown":        {sign(func(o *bundle.Order) { o.State = "half" }), bundle.IsErrOrderInvalid},
		"sequence 0":           {sign(func(o *bundle.Order) { o.Sequence = 0 }), bundle.IsErrOrderInvalid},
		"no failure domain":    {sign(func(o *bundle.Order) { o.FailureDomain = "" }), bundle.IsErrOrderInvalid},
		"no change id":         {sign(func(o *bundle.Order) { o.ChangeID = "" }), bundle.IsErrOrderInvalid},
		"change id is too big": {sign(func(o *bundle.Order) { o.ChangeID = strings.Repeat("c", 65) }), bundle.IsErrOrderInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := keyring.VerifyNewOrder(now, test.order)
			is.Equal(err == nil, test.want == nil)
			is.True(test.want == nil || test.want(err))
		})
	}
	is := is.New(t)
	is.NoErr(keyring.VerifyOrder(bundle.SignOrder(old, valid)))
}

// Guards against a keyring with a duplicate key, a wrong id, an unknown role or a key that cannot be decoded.
func TestKeyringRefusesUnusableKeys(t *testing.T) {
	good := key(t, 1).Trusted()
	wrongID := good
	wrongID.ID = "0011223344556677"
	for name, keys := range map[string][]bundle.TrustedKey{
		"twice":        {good, good},
		"wrong id":     {wrongID},
		"unknown role": {key(t, 1).Trusted("owner")},
		"not base64":   {{PublicKey: "%"}},
		"too short":    {{PublicKey: "YQ=="}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := bundle.NewKeyring(keys)
			is.True(bundle.IsErrKeyInvalid(err))
		})
	}
}

// Guards against private keys that others can read, that are overwritten or that appear in a log.
func TestKeyFilesProtectPrivateKey(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "operator.key")
	k := key(t, 7)
	is.NoErr(bundle.WriteKeyFiles(path, k, bundle.RoleOperator))
	info, err := os.Stat(path)
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(0o600))
	read, err := bundle.ReadPrivateKey(path)
	is.NoErr(err)
	is.Equal(read.ID(), k.ID())
	public, err := bundle.ReadPublicKey(path + ".pub")
	is.NoErr(err)
	is.Equal(public, k.Trusted(bundle.RoleOperator))
	is.True(bundle.IsErrKeyInvalid(bundle.WriteKeyFiles(path, key(t, 8))))
	is.NoErr(os.Remove(path + ".pub"))
	is.True(bundle.IsErrKeyInvalid(bundle.WriteKeyFiles(path, key(t, 8))))
	_, err = os.Stat(path + ".pub")
	is.True(os.IsNotExist(err))
	_, err = bundle.ReadPrivateKey(path)
	is.NoErr(err)

	secret, err := os.ReadFile(path)
	is.NoErr(err)
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%x", "%d"} {
		is.Equal(fmt.Sprintf(verb, k), "private key "+string(k.ID()))
	}
	for name, corrupt := range map[string]func() error{
		"readable by group": func() error { return os.Chmod(path, 0o640) },
		"writable by all":   func() error { return os.Chmod(path, 0o602) },
		"another id":        func() error { return os.WriteFile(path, bytes.Replace(secret, []byte(k.ID()), []byte("00"), 1), 0o600) },
		"unknown key":       func() error { return os.WriteFile(path, append(secret, "extra = 1\n"...), 0o600) },
		"broken":            func() error { return os.WriteFile(path, secret[:len(secret)-9], 0o600) },
		"missing":           func() error { return os.Remove(path) },
		"directory":         func() error { _ = os.Remove(path); return os.Mkdir(path, 0o700) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(os.RemoveAll(path))
			is.NoErr(os.WriteFile(path, secret, 0o600))
			is.NoErr(corrupt())
			_, err := bundle.ReadPrivateKey(path)
			is.True(bundle.IsErrKeyInvalid(err))
			is.True(!strings.Contains(err.Error(), strings.Split(string(secret), "'")[3][:8]))
		})
	}
}
