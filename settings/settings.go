// Package settings loads and checks the settings of one entry VM. They do not change while the process runs.
package settings

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"clementinepier/bundle"
	"clementinepier/job"
)

// MinSecretLength is the minimum length of a peer secret in bytes: 32 random bytes take at least that many in any text
// encoding.
const MinSecretLength = 32

// maxFileSize bounds the memory that reading a mistyped path takes.
const maxFileSize = 1 << 20

// ErrSettingsInvalid means that the settings cannot be used; it lists every fault found.
type ErrSettingsInvalid struct{ Faults []bundle.Fault }

// Error implements error.
func (e *ErrSettingsInvalid) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return "settings are invalid: " + strings.Join(lines, "; ")
}

// IsErrSettingsInvalid reports whether err is or wraps an *ErrSettingsInvalid.
func IsErrSettingsInvalid(err error) bool {
	var target *ErrSettingsInvalid
	return errors.As(err, &target)
}

// file is the TOML format of the settings.
type file struct {
	Name            string `toml:"name"`
	FailureDomain   string `toml:"failure-domain"`
	CallersAddress  string `toml:"callers-address"`
	PeersAddress    string `toml:"peers-address"`
	PlatformAddress string `toml:"platform-address"`
	Keys            keys   `toml:"keys"`
	Peers           peers  `toml:"peers"`
	Timing          timing `toml:"timing"`
	Limits          limits `toml:"limits"`
	Trace           trace  `toml:"trace"`
	Log             log    `toml:"log"`
}

type keys struct {
	TrustedFiles []string            `toml:"trusted-files"`
	Trusted      []bundle.TrustedKey `toml:"trusted"`
}

type peers struct {
	SecretFiles []string `toml:"secret-files"`
	Secrets     []string `toml:"secrets"`
}

type timing struct {
	FreshnessWindow job.Duration `toml:"freshness-window"`
	// IsolatedWindow is nil when the source does not set it.
	IsolatedWindow    *job.Duration `toml:"isolated-window"`
	HeartbeatInterval job.Duration  `toml:"heartbeat-interval"`
	HoldLength        job.Duration  `toml:"hold-length"`
	StartWindow       job.Duration  `toml:"start-window"`
	TaskLease         job.Duration  `toml:"task-lease"`
	RenewalInterval   job.Duration  `toml:"renewal-interval"`
	DrainBound        job.Duration  `toml:"drain-bound"`
	ClaimInterval     job.Duration  `toml:"claim-interval"`
}

type limits struct {
	BodySize    int `toml:"body-size"`
	HeaderSize  int `toml:"header-size"`
	Connections int `toml:"connections"`
	QueueLength int `toml:"queue-length"`
}

type trace struct {
	Output   TraceOutput `toml:"output"`
	File     string      `toml:"file"`
	Endpoint string      `toml:"endpoint"`
}

type log struct {
	Verbosity int `toml:"verbosity"`
}

// TraceOutput is where traces are written.
type TraceOutput string

// The outputs of traces. TraceOTLP is reserved; settings that use it are refused.
const (
	TraceOff  TraceOutput = "off"
	TraceFile TraceOutput = "file"
	TraceOTLP TraceOutput = "otlp"
)

// defaults returns the values of settings that the source does not set. See docs/design.md, section 6, for the reasons
// behind the timing.
func defaults() file {
	return file{
		Timing: timing{
			FreshnessWindow:   job.Duration(2 * time.Second),
			HeartbeatInterval: job.Duration(500 * time.Millisecond),
			HoldLength:        job.Duration(1500 * time.Millisecond),
			StartWindow:       job.Duration(2 * time.Second),
			TaskLease:         job.Duration(9 * time.Second),
			RenewalInterval:   job.Duration(3 * time.Second),
			DrainBound:        job.Duration(30 * time.Second),
			ClaimInterval:     job.Duration(50 * time.Millisecond),
		},
		Limits: limits{BodySize: 1_000_000, HeaderSize: 16_384, Connections: 4096, QueueLength: 10_000},
		Trace:  trace{Output: TraceOff},
	}
}

// Settings are the settings of one entry VM. They are immutable. Formatting them does not print secrets.
type Settings struct {
	file    file
	keyring *bundle.Keyring
	secrets []string
}

// Files reads the files to which settings refer. Load reads from the file system; tests set fakes.
type Files struct {
	// PublicKey reads a public key file.
	PublicKey func(path string) (bundle.TrustedKey, error)
	// Secret reads a secret file, which only its owner may access.
	Secret func(path string) (string, error)
}

// Load reads, decodes and checks a settings file. Paths in it are relative to its directory. The error is an
// *ErrSettingsInvalid with every fault.
func Load(path string) (*Settings, error) {
	source, mode, err := readRegularFile(path)
	if err != nil {
		return nil, &ErrSettingsInvalid{Faults: []bundle.Fault{{Key: path, Reason: err.Error()}}}
	}
	dir := filepath.Dir(path)
	resolve := func(name string) string {
		if filepath.IsAbs(name) {
			return name
		}
		return filepath.Join(dir, name)
	}
	s, faults := parse(source, Files{
		PublicKey: func(name string) (bundle.TrustedKey, error) { return bundle.ReadPublicKey(resolve(name)) },
		Secret:    func(name string) (string, error) { return readSecretFile(resolve(name)) },
	})
	if len(s.file.Peers.Secrets) > 0 && mode.Perm()&0o077 != 0 {
		reason := fmt.Sprintf("the settings file holds secrets and has mode %04o; set it to 0600 or use peers.secret-files", mode.Perm())
		faults = append(faults, bundle.Fault{Key: "peers.secrets", Reason: reason})
	}
	if len(faults) > 0 {
		return nil, &ErrSettingsInvalid{Faults: faults}
	}
	if s.file.Trace.File != "" {
		s.file.Trace.File = resolve(s.file.Trace.File)
	}
	return s, nil
}

// Parse decodes and checks a source. The error is an *ErrSettingsInvalid with every fault.
func Parse(source []byte, files Files) (*Settings, error) {
	s, faults := parse(source, files)
	if len(faults) > 0 {
		return nil, &ErrSettingsInvalid{Faults: faults}
	}
	return s, nil
}

func parse(source []byte, files Files) (*Settings, []bundle.Fault) {
	s := &Settings{file: defaults()}
	if faults := bundle.DecodeTOML(source, &s.file); len(faults) > 0 {
		return s, faults
	}
	c := &checker{file: &s.file, files: files}
	c.check()
	s.keyring, s.secrets = c.keyring, c.secrets
	return s, c.faults
}

func readRegularFile(path string) ([]byte, os.FileMode, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return nil, 0, err
	}
	if !info.Mode().IsRegular() {
		return nil, 0, errors.New("is not a regular file")
	}
	data, err := io.ReadAll(io.LimitReader(f, maxFileSize+1))
	if err != nil {
		return nil, 0, err
	}
	if len(data) > maxFileSize {
		return nil, 0, errors.Errorf("has more than %d bytes", maxFileSize)
	}
	return data, info.Mode(), nil
}

func readSecretFile(path string) (string, error) {
	data, mode, err := readRegularFile(path)
	if err != nil {
		return "", err
	}
	if mode.Perm()&0o077 != 0 {
		return "", errors.Errorf("%s has mode %04o, so others can access the secret; set it to 0600", path, mode.Perm())
	}
	return strings.TrimSpace(string(data)), nil
}

// Format implements fmt.Formatter so that no verb prints a secret.
func (s *Settings) Format(f fmt.State, _ rune) {
	_, _ = fmt.Fprintf(f, "settings of entry VM %q in failure domain %q", s.file.Name, s.file.FailureDomain)
}

// Name returns the name of the entry VM.
func (s *Settings) Name() string { return s.file.Name }

// FailureDomain returns the failure domain that the entry VM is in.
func (s *Settings) FailureDomain() string { return s.file.FailureDomain }

// CallersAddress returns the IP address and port on which callers are served.
func (s *Settings) CallersAddress() string { return s.file.CallersAddress }

// PeersAddress returns the IP address and port on which other entry VMs and metrics are served.
func (s *Settings) PeersAddress() string { return s.file.PeersAddress }

// PlatformAddress returns the IP address and port of the platform.
func (s *Settings) PlatformAddress() string { return s.file.PlatformAddress }

// Keyring returns the keys trusted to sign bundles and orders.
func (s *Settings) Keyring() *bundle.Keyring { return s.keyring }

// PeerSecrets returns the secrets with which entry VMs authenticate each other, at least one. The first is used for calls
// to peers; all are accepted from peers, so that a secret can be replaced without downtime.
func (s *Settings) PeerSecrets() []string { return append([]string(nil), s.secrets...) }

// FreshnessWindow returns how long after the configuration was last confirmed as current new tasks may be started.
func (s *Settings) FreshnessWindow() time.Duration { return s.file.Timing.FreshnessWindow.Std() }

// IsolatedWindow returns the freshness window for a failure domain that cannot reach any other; it is at least
// FreshnessWindow.
func (s *Settings) IsolatedWindow() time.Duration {
	if s.file.Timing.IsolatedWindow == nil {
		return s.FreshnessWindow()
	}
	return s.file.Timing.IsolatedWindow.Std()
}

// HeartbeatInterval returns the time between heartbeats to a peer.
func (s *Settings) HeartbeatInterval() time.Duration { return s.file.Timing.HeartbeatInterval.Std() }

// HoldLength returns how long a worker keeps a hold that is not renewed.
func (s *Settings) HoldLength() time.Duration { return s.file.Timing.HoldLength.Std() }

// StartWindow returns the first lease of a started task.
func (s *Settings) StartWindow() time.Duration { return s.file.Timing.StartWindow.Std() }

// TaskLease returns the lease of a running task.
func (s *Settings) TaskLease() time.Duration { return s.file.Timing.TaskLease.Std() }

// RenewalInterval returns the time between renewals of a task lease.
func (s *Settings) RenewalInterval() time.Duration { return s.file.Timing.RenewalInterval.Std() }

// DrainBound returns the maximum duration of a graceful shutdown.
func (s *Settings) DrainBound() time.Duration { return s.file.Timing.DrainBound.Std() }

// ClaimInterval returns the minimum time between two writes of one claim shard.
func (s *Settings) ClaimInterval() time.Duration { return s.file.Timing.ClaimInterval.Std() }

// BodySize returns the maximum size of a request body in bytes.
func (s *Settings) BodySize() int { return s.file.Limits.BodySize }

// HeaderSize returns the maximum size of a request header in bytes.
func (s *Settings) HeaderSize() int { return s.file.Limits.HeaderSize }

// Connections returns the maximum number of concurrent connections from callers.
func (s *Settings) Connections() int { return s.file.Limits.Connections }

// QueueLength returns the maximum number of queued requests.
func (s *Settings) QueueLength() int { return s.file.Limits.QueueLength }

// TraceOutput returns where traces are written: TraceOff or TraceFile.
func (s *Settings) TraceOutput() TraceOutput { return s.file.Trace.Output }

// TraceFile returns the path of the trace file; it is empty unless TraceOutput is TraceFile.
func (s *Settings) TraceFile() string { return s.file.Trace.File }

// LogVerbosity returns the klog verbosity, 0 to 10.
func (s *Settings) LogVerbosity() int { return s.file.Log.Verbosity }
