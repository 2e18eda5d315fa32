package cmd_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"clementinepier/cmd"
	"clementinepier/front"
)

const frontSettings = `name = "a"
failure-domain = "z"
callers-address = "127.0.0.1:1"
ready-address = "127.0.0.1:2"
peers-address = "127.0.0.1:3"
metrics-address = "127.0.0.1:4"
store-address = "127.0.0.1:5"
max-files = 1024
max-memory-mb = 96
cores = 1
[bounds]
shutdown-grace = "6s"
max-lease = "4s"
stop-grace = "400ms"
gang-timeout = "3s"
retention = "4m"
apply-time = "2s"
`

// Guards against a machine whose size on the command line is not used, so that callers may hold more memory than it has.
func TestMemoryOnCommandLineTakesPlaceOfSetting(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "front.toml")
	is.NoErr(os.WriteFile(path, []byte(frontSettings), 0o600))
	started := 0
	p := program()
	p.Front = func(_ context.Context, s *front.Settings, _ string) error {
		started = s.MaxMemoryMB
		return nil
	}
	is.Equal(run(p, "front", "--settings", path).code, cmd.ExitOK)
	is.Equal(started, 96)
	is.Equal(run(p, "front", "--settings", path, "--max-memory-mb", "144").code, cmd.ExitOK)
	is.Equal(started, 144)
	started = 0
	is.Equal(run(p, "front", "--settings", path, "--max-memory-mb", "-1").code, cmd.ExitUsage)
	is.Equal(started, 0)
}
