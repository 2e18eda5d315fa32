package cmd_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"clementinepier/bundle"
	"clementinepier/cmd"
	"clementinepier/settings"
)

// advancingClock is a fake clock on which every wait ends at once.
type advancingClock struct{ *clockwork.FakeClock }

func (c advancingClock) After(d time.Duration) <-chan time.Time {
	after := c.FakeClock.After(d)
	c.Advance(d)
	return after
}

// counter is a deterministic source of randomness, so that tests are repeatable.
type counter byte

func (c *counter) Read(p []byte) (int, error) {
	for i := range p {
		*c++
		p[i] = byte(*c)
	}
	return len(p), nil
}

type result struct {
	code        int
	out, errors string
}

// program returns a program with a fake clock, a fixed source of randomness and an empty standard input.
func program() *cmd.Program {
	p := cmd.New()
	p.Clock = advancingClock{clockwork.NewFakeClockAt(time.Date(2027, 1, 2, 3, 4, 5, 0, time.UTC))}
	p.Random = new(counter)
	p.Stdin = strings.NewReader("")
	return p
}

func run(p *cmd.Program, args ...string) result {
	var stdout, stderr bytes.Buffer
	code := p.Main(args, &stdout, &stderr)
	return result{code, stdout.String(), stderr.String()}
}

func key(t testing.TB, seed byte) *bundle.PrivateKey {
	k, err := bundle.GenerateKey(bytes.NewReader(bytes.Repeat([]byte{seed}, 32)))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// leaves are the subcommands that can be run, without the groups that contain them.
var leaves = []string{
	"key new", "bundle check", "bundle sign", "bundle review", "bundle show", "bundle roll", "domain out", "domain back",
	"domain list", "request submit", "request show", "request result", "request cancel", "status", "settings check", "entry", "front", "explain", "story", "version",
}

// Guards against a subcommand without help, and against examples and exit codes that do not match the program.
func TestHelpHasExampleAndExitCodes(t *testing.T) {
	for _, leaf := range leaves {
		t.Run(leaf, func(t *testing.T) {
			is := is.New(t)
			r := run(program(), append(strings.Fields(leaf), "--help")...)
			is.Equal(r.code, cmd.ExitOK)
			is.True(strings.Contains(r.out, "Exit codes:\n  0   success"))
			_, example, found := strings.Cut(r.out, "\nExample:\n  clementinepier ")
			is.True(found)
			example, _, _ = strings.Cut(example, "\n")
			is.True(strings.HasPrefix(example, leaf))
			example, _, _ = strings.Cut(example, " > ")
			// The extra argument is the only error if the parser accepts all arguments of the example.
			r = run(program(), append(strings.Fields(example), "--no-such-argument")...)
			is.Equal(r.code, cmd.ExitUsage)
			is.True(strings.Contains(r.errors, "unknown argument --no-such-argument"))
		})
	}
	for code, line := range map[int]string{
		cmd.ExitFailed: "failed for another", cmd.ExitUsage: "wrong usage", cmd.ExitInvalid: "bundle, settings", cmd.ExitNoAnswer: "no entry VM",
		cmd.ExitRefused: "refused", cmd.ExitConflict: "another change won", cmd.ExitNotEverywhere: "acknowledged, but", cmd.ExitNotYetInForce: "accepted, but",
		cmd.ExitNotRun: "the request was not run", cmd.ExitUnknown: "the request may have", cmd.ExitTaskFailed: "the request ran", cmd.ExitNotEnded: "the request has not",
	} {
		if out := run(program(), "--help").out; !strings.Contains(out, fmt.Sprintf("\n  %-4d%s", code, line)) {
			t.Errorf("exit code %d is not documented as %q", code, line)
		}
	}
}

// Guards against a usage error that still calls an entry VM or exits with a code other than 2.
func TestWrongUsage(t *testing.T) {
	for _, args := range []string{
		"", "bundle", "nothing", "bundle check", "bundle sign a", "key new", "key new --out x --role owner", "domain out x", "status", "status --entry localhost",
		"status --entry localhost:", "entry", "bundle check a b", "domain list --wait 5",
	} {
		t.Run(args, func(t *testing.T) {
			t.Chdir(t.TempDir())
			is := is.New(t)
			is.Equal(run(program(), strings.Fields(args)...).code, cmd.ExitUsage)
		})
	}
}

// workspace changes to a new directory and creates keys, a token and the example bundle in it.
func workspace(t *testing.T) {
	t.Helper()
	is := is.New(t)
	source, err := os.ReadFile("../bundle.example.toml")
	is.NoErr(err)
	t.Chdir(t.TempDir())
	is.NoErr(os.WriteFile("bundle.toml", source, 0o600))
	is.NoErr(os.WriteFile("token", []byte("secret-token\n"), 0o600))
	for i, name := range []string{"alice", "bob", "carol"} {
		is.NoErr(bundle.WriteKeyFiles(name+".key", key(t, byte(i+1))))
	}
}

// signedWorkspace is workspace plus the file bundle.signed, which has both signatures.
func signedWorkspace(t *testing.T) {
	t.Helper()
	workspace(t)
	is := is.New(t)
	is.Equal(run(program(), "bundle", "sign", "bundle.toml", "--key", "alice.key").code, 0)
	is.Equal(run(program(), "bundle", "review", "bundle.signed", "--first", "--key", "bob.key").code, 0)
}

// Guards against a signed file that entry VMs reject, and against one person both signing and reviewing a bundle.
func TestSignAndReview(t *testing.T) {
	workspace(t)
	is := is.New(t)
	step := func(want int, args string) result {
		t.Helper()
		r := run(program(), strings.Fields(args)...)
		if r.code != want {
			t.Fatalf("%s: exit code %d, not %d: %s%s", args, r.code, want, r.out, r.errors)
		}
		return r
	}
	is.True(strings.Contains(step(0, "bundle check bundle.toml").out, "revision 1, 2 organisations"))
	step(0, "bundle sign bundle.toml --key alice.key")
	is.True(strings.Contains(step(cmd.ExitFailed, "bundle sign bundle.toml --key alice.key").errors, "--force"))
	step(0, "bundle sign bundle.toml --key alice.key --force")
	step(cmd.ExitUsage, "bundle review bundle.signed --key bob.key")
	step(cmd.ExitInvalid, "bundle review bundle.signed --first --key alice.key")
	step(cmd.ExitInvalid, "bundle review bundle.signed --first --key bob.key --author carol.key.pub")
	is.True(strings.Contains(step(cmd.ExitInvalid, "bundle roll bundle.signed --entry 127.0.0.1:1").errors, "reviewer's signature is missing"))

	source, err := os.ReadFile("bundle.toml")
	is.NoErr(err)
	is.NoErr(os.WriteFile("old.toml", bytes.Replace(source, []byte("weight = 3"), []byte("weight = 2"), 1), 0o600))
	r := step(0, "bundle review bundle.signed --against old.toml --key bob.key --author alice.key.pub")
	is.True(strings.HasPrefix(r.out, "~ organisations.register-tunis.weight: 2 -> 3\n1 changes"))
	is.True(strings.Contains(r.errors, "only 2 can be rolled out after 1"))
	is.Equal(step(0, "bundle show bundle.signed").out, string(source))
	is.True(strings.Contains(step(0, "bundle show bundle.signed --json").out, `"reclaim-bound": "5s"`))

	data, err := os.ReadFile("bundle.signed")
	is.NoErr(err)
	signed, err := bundle.DecodeSigned(data)
	is.NoErr(err)
	ring, err := bundle.NewKeyring([]bundle.TrustedKey{key(t, 1).Trusted(bundle.RoleAuthor), key(t, 2).Trusted(bundle.RoleReviewer)})
	is.NoErr(err)
	_, err = ring.Verify(signed)
	is.NoErr(err)

	is.NoErr(os.WriteFile("bad.toml", []byte("revision = 0\n[[services]]\nname = ''\n"), 0o600))
	r = step(cmd.ExitInvalid, "bundle check bad.toml --json")
	is.True(strings.Contains(r.out, `"valid": false`))
	is.Equal(strings.Count(r.errors, "\n"), strings.Count(r.out, `"reason"`))
	step(cmd.ExitInvalid, "bundle sign bad.toml --key alice.key")
	step(cmd.ExitFailed, "bundle check none.toml")
	is.NoErr(os.Chmod("bob.key", 0o644))
	is.True(strings.Contains(step(cmd.ExitInvalid, "bundle review bundle.signed --first --key bob.key").errors, "set it to 0600"))
}

// Guards against keys that cannot be read back, and against overwriting an existing key.
func TestKeyNew(t *testing.T) {
	is := is.New(t)
	t.Chdir(t.TempDir())
	is.Equal(run(program(), "key", "new", "--out", "new.key", "--role", "operator").code, 0)
	is.Equal(run(program(), "key", "new", "--out", "new.key").code, cmd.ExitInvalid)
	k, err := bundle.ReadPrivateKey("new.key")
	is.NoErr(err)
	public, err := bundle.ReadPublicKey("new.key.pub")
	is.NoErr(err)
	is.Equal(public, k.Trusted(bundle.RoleOperator))
}

// Guards against an entry VM that starts with unvalidated settings.
func TestEntryAndSettings(t *testing.T) {
	is := is.New(t)
	source, err := os.ReadFile("../settings.example.toml")
	is.NoErr(err)
	t.Chdir(t.TempDir())
	is.NoErr(os.WriteFile("settings.toml", source, 0o600))
	p := program()
	started := ""
	p.Entry = func(_ context.Context, s *settings.Settings) error { started = s.Name(); return io.ErrUnexpectedEOF }
	for _, args := range [][]string{{"settings", "check", "settings.toml"}, {"entry", "--settings", "settings.toml"}} {
		r := run(p, args...)
		is.Equal(r.code, cmd.ExitInvalid)
		is.Equal(strings.Count(r.errors, "error: "), 4) // three key files and one secret file are missing
	}
	is.Equal(started, "")
	for i, name := range []string{"author", "reviewer", "operator"} {
		is.NoErr(bundle.WriteKeyFiles(name+".key", key(t, byte(i))))
	}
	is.NoErr(os.WriteFile("peer.secret", bytes.Repeat([]byte("s"), 32), 0o600))
	r := run(p, "settings", "check", filepath.Join(".", "settings.toml"))
	is.Equal(r.code, 0)
	is.True(!strings.Contains(r.out, "ssss"))
	is.Equal(run(p, "entry", "--settings", "settings.toml").code, cmd.ExitFailed)
	is.Equal(started, "entry-1")
	is.Equal(run(p, "version"), run(p, "--version"))
}
