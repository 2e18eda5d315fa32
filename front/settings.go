package front

import (
	"bytes"
	"net"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"clementinepier/bundle"
	"clementinepier/engine"
	"clementinepier/job"
	"clementinepier/settings"
)

// Settings are the settings of an entry VM. Durations are strings such as "1.5s".
type Settings struct {
	// Name identifies the entry VM.
	Name          string `toml:"name"`
	FailureDomain string `toml:"failure-domain"`
	// CallersAddress is where callers connect, ReadyAddress where the platform checks the readiness of this entry VM.
	CallersAddress string `toml:"callers-address"`
	ReadyAddress   string `toml:"ready-address"`
	// PeersAddress is where other entry VMs connect, MetricsAddress where metrics are served in text format.
	PeersAddress   string `toml:"peers-address"`
	MetricsAddress string `toml:"metrics-address"`
	StoreAddress   string `toml:"store-address"`
	// Cores is the CPU share that the process may use, in cores. Entry VMs with more cores are preferred as the planner.
	Cores float64 `toml:"cores"`
	// MaxFiles is the limit on open files and connections of the process.
	MaxFiles int `toml:"max-files"`
	// MaxMemoryMB is the limit on the memory of the process in megabytes (2^20 bytes); 0 means that it is not known.
	MaxMemoryMB int    `toml:"max-memory-mb"`
	Bounds      Bounds `toml:"bounds"`
	Log         struct {
		// Verbosity is the klog verbosity, 0 to 10.
		Verbosity int `toml:"verbosity"`
		// Budget is the maximum number of log lines of one kind per second; 0 means the default. An error of the TOML library names
		// the field.
		Budget int `toml:"lines-per-second"`
	} `toml:"log"`
}

const (
	// defaultMemoryMB is assumed if the settings do not give the memory of the process.
	defaultMemoryMB = 128
	megabyte        = 1 << 20
)

// Memory returns the memory of the process in bytes, or a default if it is not known.
func (s *Settings) Memory() int64 {
	if s.MaxMemoryMB == 0 {
		return defaultMemoryMB * megabyte
	}
	return int64(s.MaxMemoryMB) * megabyte
}

// Bounds are the time limits that the deployment sets.
type Bounds struct {
	// ShutdownGrace is the time between the request to stop and the forced termination of the process.
	ShutdownGrace job.Duration `toml:"shutdown-grace"`
	MaxLease      job.Duration `toml:"max-lease"`
	StopGrace     job.Duration `toml:"stop-grace"`
	GangTimeout   job.Duration `toml:"gang-timeout"`
	Retention     job.Duration `toml:"retention"`
	// ApplyTime is the time within which a change of the operators' documents has to be in force.
	ApplyTime job.Duration `toml:"apply-time"`
	// MinStoreLease is the shortest lease that the store grants; 0 means any.
	MinStoreLease job.Duration `toml:"min-store-lease"`
}

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseSettings(data)
}

// ParseSettings decodes and checks settings. Unknown keys are rejected.
func ParseSettings(data []byte) (*Settings, error) {
	var s Settings
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return nil, errors.Wrap(err, "decode settings")
	}
	if faults := s.check(); len(faults) > 0 {
		return nil, &settings.ErrSettingsInvalid{Faults: faults}
	}
	return &s, nil
}

// check returns every fault of the settings.
func (s *Settings) check() []bundle.Fault {
	var faults []bundle.Fault
	add := func(path, message string) { faults = append(faults, bundle.Fault{Key: path, Reason: message}) }
	if s.Name == "" {
		add("name", "is missing")
	}
	if s.FailureDomain == "" {
		add("failure-domain", "is missing")
	}
	if s.Cores <= 0 {
		add("cores", "must be above 0")
	}
	if s.MaxFiles <= 0 {
		add("max-files", "must be above 0")
	}
	if s.MaxMemoryMB < 0 {
		add("max-memory-mb", "must not be negative")
	}
	for _, a := range []struct{ path, value string }{
		{"callers-address", s.CallersAddress},
		{"ready-address", s.ReadyAddress},
		{"peers-address", s.PeersAddress},
		{"metrics-address", s.MetricsAddress},
		{"store-address", s.StoreAddress},
	} {
		host, _, err := net.SplitHostPort(a.value)
		if err != nil || net.ParseIP(host) == nil {
			add(a.path, "must be an IP address and a port")
		}
	}
	for _, d := range []struct {
		path  string
		value job.Duration
	}{
		{"bounds.shutdown-grace", s.Bounds.ShutdownGrace},
		{"bounds.max-lease", s.Bounds.MaxLease},
		{"bounds.stop-grace", s.Bounds.StopGrace},
		{"bounds.gang-timeout", s.Bounds.GangTimeout},
		{"bounds.retention", s.Bounds.Retention},
		{"bounds.apply-time", s.Bounds.ApplyTime},
	} {
		if d.value <= 0 {
			add(d.path, "must be longer than 0s")
		}
	}
	if s.Bounds.MinStoreLease < 0 {
		add("bounds.min-store-lease", "must not be negative")
	}
	if s.Log.Verbosity < 0 || s.Log.Verbosity > 10 {
		add("log.verbosity", "must be from 0 to 10")
	}
	if s.Log.Budget < 0 {
		add("log.lines-per-second", "must not be negative")
	}
	return faults
}

func (b Bounds) engine() engine.Bounds {
	return engine.Bounds{
		MaxLease: time.Duration(b.MaxLease), StopGrace: time.Duration(b.StopGrace), GangTimeout: time.Duration(b.GangTimeout),
		Retention: time.Duration(b.Retention),
	}
}
