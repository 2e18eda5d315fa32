package settings_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementinepier/bundle"
	"clementinepier/settings"
)

const secret = "0123456789abcdef0123456789abcdef"

func key(seed byte) *bundle.PrivateKey {
	k, err := bundle.GenerateKey(bytes.NewReader(bytes.Repeat([]byte{seed}, 32)))
	if err != nil {
		panic(err)
	}
	return k
}

// files returns a key or a secret for each file name in the example and an error for every other name.
var files = settings.Files{
	PublicKey: func(path string) (bundle.TrustedKey, error) {
		for i, role := range []bundle.Role{bundle.RoleAuthor, bundle.RoleReviewer, bundle.RoleOperator} {
			if path == string(role)+".key.pub" {
				return key(byte(i)).Trusted(role), nil
			}
		}
		if path == "both.pub" {
			return key(9).Trusted(bundle.RoleAuthor, bundle.RoleReviewer), nil
		}
		return bundle.TrustedKey{}, errors.New("no such file")
	},
	Secret: func(path string) (string, error) {
		if path == "peer.secret" {
			return secret, nil
		}
		return "", errors.New("no such file")
	},
}

func example(t testing.TB) string {
	source, err := os.ReadFile("../settings.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(source)
}

var commentedKey = regexp.MustCompile(`(?m)^#([a-z\[])`)

// Guards against an example that lacks a key, does not load, or shows defaults that differ from the code.
func TestExampleIsComplete(t *testing.T) {
	is := is.New(t)
	source := example(t)
	s, err := settings.Parse([]byte(source), files)
	is.NoErr(err)
	is.Equal(s.Name(), "entry-1")
	is.Equal(s.FailureDomain(), "tunis-a")
	is.Equal([]string{s.CallersAddress(), s.PeersAddress(), s.PlatformAddress()}, []string{"127.0.0.1:8080", "127.0.0.1:8081", "127.0.0.1:7000"})
	is.Equal(len(s.Keyring().IDs()), 3)
	is.Equal(s.PeerSecrets(), []string{secret})
	is.Equal([]time.Duration{
		s.FreshnessWindow(), s.IsolatedWindow(), s.HeartbeatInterval(), s.HoldLength(), s.StartWindow(),
		s.TaskLease(), s.RenewalInterval(), s.DrainBound(), s.ClaimInterval(),
	}, []time.Duration{2e9, 2e9, 500e6, 1500e6, 2e9, 9e9, 3e9, 30e9, 50e6})
	is.Equal([]int{s.BodySize(), s.HeaderSize(), s.Connections(), s.QueueLength(), s.LogVerbosity()}, []int{1e6, 16384, 4096, 10000, 0})
	is.Equal(s.TraceOutput(), settings.TraceOff)
	is.Equal(s.TraceFile(), "")

	full := commentedKey.ReplaceAllString(source, "$1")
	fromFull, err := settings.Parse([]byte(full), files)
	is.NoErr(err)
	is.Equal(len(fromFull.Keyring().IDs()), 4)
	for i := range reflect.TypeOf(s).NumMethod() {
		name := reflect.TypeOf(s).Method(i).Name
		if name == "Format" || name == "Keyring" {
			continue
		}
		a, b := reflect.ValueOf(s).Method(i).Call(nil), reflect.ValueOf(fromFull).Method(i).Call(nil)
		is.Equal(a[0].Interface(), b[0].Interface()) // default in the example differs from the code
	}
	for _, tag := range settings.KeysForTest() {
		if !regexp.MustCompile(`(?m)^(\[*|.*\.)` + tag + `(\]+| = )`).MatchString(full) {
			t.Errorf("settings.example.toml does not name %q", tag)
		}
	}
}

// Guards against accepting settings with which the entry VM cannot keep its guarantees. Each case changes the example in
// one place.
func TestInvalidSettingIsReported(t *testing.T) {
	for _, test := range []struct{ from, to, want string }{
		{`name = "entry-1"`, ``, `name: ""`},
		{`"entry-1"`, `"Entry 1"`, `name: "Entry 1" must`},
		{`"tunis-a"`, `""`, `failure-domain: ""`},
		{`"127.0.0.1:8080"`, `"localhost:8080"`, `callers-address: "localhost:8080" must be an IP number`},
		{`"127.0.0.1:8080"`, `"127.0.0.1:65536"`, `callers-address: "127.0.0.1:65536" must be`},
		{`"127.0.0.1:8080"`, `"127.0.0.1"`, `callers-address: "127.0.0.1" must be`},
		{`"127.0.0.1:8080"`, `"127.0.0.1:0"`, `callers-address: port must be 1 to 65535`},
		{`"127.0.0.1:8080"`, `"224.0.0.1:8080"`, `callers-address: 224.0.0.1 names more than one`},
		{`"127.0.0.1:8081"`, `"0.0.0.0:8081"`, `peers-address: 0.0.0.0 names no machine`},
		{`"127.0.0.1:8081"`, `"[fe80::1%eth0]:8081"`, `peers-address: fe80::1%eth0 has a zone`},
		{`"127.0.0.1:8080"`, `"0.0.0.0:8081"`, `peers-address: has the port of callers-address`},
		{`"127.0.0.1:7000"`, `"[::]:7000"`, `platform-address: :: names no machine`},
		{`"author.key.pub", `, ``, `keys: no trusted key may sign as author`},
		{`"author.key.pub"`, `"lost.pub"`, `keys.trusted-files[0]: no such file`},
		{`"author.key.pub"`, `"operator.key.pub"`, `is in the keyring more than once`},
		{`trusted-files = [`, `trusted-files = [] # [`, `keys: no trusted key may sign as operator`},
		{`"author.key.pub", "reviewer.key.pub"`, `"both.pub"`, `keys: only one trusted key may sign as author or reviewer`},
		{"#[[keys.trusted]]", "[[keys.trusted]]\npublic-key = 'x'", `keys.trusted[0]: public-key must be`},
		{`secret-files = ["peer.secret"]`, ``, `peers: secret-files or secrets must have`},
		{`"peer.secret"`, `"lost"`, `peers.secret-files[0]: no such file`},
		{`"peer.secret"`, `"peer.secret", "peer.secret"`, `peers.secret-files[1]: is given more than once`},
		{`#secrets = []`, `secrets = ["short"]`, `peers.secrets[0]: must have at least 32 bytes`},
		{`#freshness-window = "2s"`, `freshness-window = "1s"`, `timing.freshness-window: is 1s; must be above twice`},
		{`#isolated-window = "2s"`, `isolated-window = "1.9s"`, `timing.isolated-window: is 1.9s; must be at least`},
		{`#isolated-window = "2s"`, `isolated-window = "0s"`, `timing.isolated-window: is 0s; must be above 0`},
		{`#isolated-window = "2s"`, `isolated-window = 2`, `timing.isolated-window: must be a duration in quotation marks`},
		{`#heartbeat-interval = "500ms"`, `heartbeat-interval = "-1ms"`, `timing.heartbeat-interval: is -1ms`},
		{`#hold-length = "1.5s"`, `hold-length = "50ms"`, `timing.hold-length: is 50ms; must be above claim-interval`},
		{`#start-window = "2s"`, `start-window = "10s"`, `timing.start-window: is 10s; must be at most`},
		{`#task-lease = "9s"`, `task-lease = "6s"`, `timing.task-lease: is 6s; must be above twice`},
		{`#drain-bound = "30s"`, `drain-bound = "2h"`, `timing.drain-bound: is 2h0m0s; must be above 0 and at most`},
		{`#drain-bound = "30s"`, `drain-bnd = "2h"`, `timing.drain-bnd: unknown key`},
		{`#body-size = 1000000`, `body-size = 0`, `limits.body-size: is 0; must be 1024 to`},
		{`#header-size = 16384`, `header-size = -1`, `limits.header-size: is -1`},
		{`#connections = 4096`, `connections = 0`, `limits.connections: is 0`},
		{`#queue-length = 10000`, `queue-length = 0`, `limits.queue-length: is 0`},
		{`#output = "off"`, `output = "otlp"`, `trace.output: "otlp" is not implemented`},
		{`#output = "off"`, `output = "disk"`, `trace.output: "disk" is neither`},
		{`#output = "off"`, `output = "file"`, `trace.file: must be set`},
		{`#file = ""`, `file = "t"`, `trace.file: is set, but`},
		{`#endpoint = ""`, `endpoint = "t"`, `trace.endpoint: is set, but`},
		{`#verbosity = 0`, `verbosity = 11`, `log.verbosity: is 11; must be 0 to 10`},
	} {
		t.Run(test.to, func(t *testing.T) {
			is := is.New(t)
			source := example(t)
			is.True(strings.Contains(source, test.from))
			_, err := settings.Parse([]byte(strings.Replace(source, test.from, test.to, 1)), files)
			is.True(settings.IsErrSettingsInvalid(err))
			t.Log(err)
			is.True(strings.Contains(err.Error(), test.want))
		})
	}
}

// Guards against reporting only the first fault, so that operators would have to correct settings one fault at a time.
func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	_, err := settings.Parse(nil, files)
	var invalid *settings.ErrSettingsInvalid
	is.True(errors.As(err, &invalid))
	is.Equal(len(invalid.Faults), 9)
}

// Guards against secrets in logs, secret files that others can access, and paths that Load does not resolve relative to
// the settings file.
func TestLoadResolvesPathsAndProtectsSecrets(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.toml")
	for i, role := range []bundle.Role{bundle.RoleAuthor, bundle.RoleReviewer, bundle.RoleOperator} {
		is.NoErr(bundle.WriteKeyFiles(filepath.Join(dir, string(role)+".key"), key(byte(i)), role))
	}
	write := func(name, text string, mode os.FileMode) {
		is.Helper()
		is.NoErr(os.WriteFile(filepath.Join(dir, name), []byte(text), mode))
		is.NoErr(os.Chmod(filepath.Join(dir, name), mode))
	}
	write("peer.secret", secret+"\n", 0o600)
	source := strings.NewReplacer(`#output = "off"`, `output = "file"`, `#file = ""`, `file = "trace.json"`).Replace(example(t))
	write("settings.toml", source, 0o644)
	s, err := settings.Load(path)
	is.NoErr(err)
	is.Equal(s.PeerSecrets(), []string{secret})
	is.Equal(s.TraceFile(), filepath.Join(dir, "trace.json"))
	for _, verb := range []string{"%v", "%+v", "%#v", "%s"} {
		is.True(!strings.Contains(fmt.Sprintf(verb, s), secret))
	}

	inline := strings.Replace(source, `#secrets = []`, `secrets = ["`+strings.Repeat("s", 32)+`"]`, 1)
	write("settings.toml", inline, 0o600)
	s, err = settings.Load(path)
	is.NoErr(err)
	is.Equal(len(s.PeerSecrets()), 2)
	write("settings.toml", inline, 0o644)
	write("peer.secret", secret, 0o640)
	_, err = settings.Load(path)
	is.True(settings.IsErrSettingsInvalid(err))
	is.True(strings.Contains(err.Error(), "the settings file holds secrets and has mode 0644"))
	is.True(strings.Contains(err.Error(), "peer.secret has mode 0640"))
	_, err = settings.Load(dir)
	is.True(settings.IsErrSettingsInvalid(err))
	_, err = settings.Load(filepath.Join(dir, "none"))
	is.True(settings.IsErrSettingsInvalid(err))
}

// Guards against sources that make the parser panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(example(f)))
	f.Add([]byte(commentedKey.ReplaceAllString(example(f), "$1")))
	f.Add([]byte("[timing]\nisolated-window = '9223372036854775807ns'\nfreshness-window='1'"))
	f.Fuzz(func(t *testing.T, source []byte) {
		if _, err := settings.Parse(source, files); err != nil && !settings.IsErrSettingsInvalid(err) {
			t.Fatalf("untyped error %T", err)
		}
	})
}
