package entry

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"clementinepier/board"
	"clementinepier/config"
)

// Guards against a stopping VM that registers again after it has removed its registration. Changes would wait for its
// confirmation until other VMs remove the registration.
func TestStoppedVMStaysDeregistered(t *testing.T) {
	is := is.New(t)
	p, clock := newPlatform()
	ctx := context.Background()
	v := newVM(t, "entry-1", p.Store(), clock)
	version, ok := v.checkRegistration(ctx, 0)
	is.True(ok)
	v.deregister(ctx)
	for range 3 {
		version, _ = v.checkRegistration(ctx, version)
	}
	entry, err := v.Store.Get(ctx, v.registrationKey())
	is.NoErr(err)
	is.Equal(entry.Version, uint64(0))
}

// Guards against a VM that counts as registered although it could not read all of the configuration after it wrote its
// key. The missing part may be an order that was acknowledged without this VM.
func TestVMIsNotRegisteredIfConfigurationIsUnreadable(t *testing.T) {
	is := is.New(t)
	p, clock := newPlatform()
	ctx := context.Background()
	v := newVM(t, "entry-1", p.Store(), clock)
	registered := func() bool {
		found := false
		is.NoErr(v.board.Do(ctx, func(s *board.State) { found = s.Registered }))
		return found
	}
	document := config.Document{Bundle: signedBundle(1, 1, "north"), ChangeID: "c1"}
	document.Bundle.Reviewer.Value = []byte("damaged")
	value, err := config.Encode(document)
	is.NoErr(err)
	version, err := v.Store.CompareAndSwap(ctx, headKey, value, 0)
	is.NoErr(err)
	_, ok := v.checkRegistration(ctx, 0)
	is.True(!ok && !registered())
	document.Bundle = signedBundle(1, 1, "north")
	value, err = config.Encode(document)
	is.NoErr(err)
	_, err = v.Store.CompareAndSwap(ctx, headKey, value, version)
	is.NoErr(err)
	_, ok = v.checkRegistration(ctx, 0)
	is.True(ok && registered())
}
