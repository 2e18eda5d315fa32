package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"clementinepier/bundle"
	"clementinepier/job"
)

const (
	// maxDuration bounds every duration; a longer one is assumed to be a typing error.
	maxDuration = job.Duration(time.Hour)
	// maxVerbosity is the highest verbosity level that the log uses.
	maxVerbosity = 10
)

type checker struct {
	file    *file
	files   Files
	faults  []bundle.Fault
	keyring *bundle.Keyring
	secrets []string
}

func (c *checker) addFault(key, format string, args ...any) {
	c.faults = append(c.faults, bundle.Fault{Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) check() {
	c.checkName("name", c.file.Name)
	c.checkName("failure-domain", c.file.FailureDomain)
	c.checkAddresses()
	c.checkTrustedKeys()
	c.checkPeerSecrets()
	c.checkTiming()
	c.checkLimits()
	c.checkTrace()
	c.checkRange("log.verbosity", c.file.Log.Verbosity, 0, maxVerbosity)
}

func (c *checker) checkName(key, name string) {
	if !bundle.IsName(name) {
		c.addFault(key, "%q must have 1 to 63 characters, all from a-z, 0-9 and \"-\"", name)
	}
}

func (c *checker) checkAddresses() {
	callers := c.checkAddress("callers-address", c.file.CallersAddress, true)
	// Peers connect to peers-address and this entry VM to platform-address, so each must identify one machine.
	peers := c.checkAddress("peers-address", c.file.PeersAddress, false)
	c.checkAddress("platform-address", c.file.PlatformAddress, false)
	if callers.IsValid() && callers.Port() == peers.Port() && (callers.Addr() == peers.Addr() || callers.Addr().IsUnspecified()) {
		c.addFault("peers-address", "has the port of callers-address")
	}
}

// checkAddress checks an IP address with a port. The unspecified address is allowed only for listening.
func (c *checker) checkAddress(key, text string, listenOnly bool) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	switch ip := address.Addr(); {
	case err != nil:
		c.addFault(key, "%q must be an IP number and a port, such as \"10.0.0.1:8080\" or \"[::1]:8080\"", text)
		return netip.AddrPort{}
	case address.Port() == 0:
		c.addFault(key, "port must be 1 to 65535")
	case ip.IsMulticast() || ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
		c.addFault(key, "%s names more than one machine", ip)
	case ip.IsUnspecified() && !listenOnly:
		c.addFault(key, "%s names no machine; others need an address that they can reach", ip)
	case ip.Zone() != "":
		c.addFault(key, "%s has a zone, which other machines do not know", ip)
	}
	return address
}

// checkTrustedKeys builds the keyring and checks that its keys suffice to sign a bundle and an order.
func (c *checker) checkTrustedKeys() {
	trusted := slices.Clone(c.file.Keys.Trusted)
	usable := true
	for i, t := range trusted {
		if _, err := t.Check(); err != nil {
			usable = false
			c.addFault(fmt.Sprintf("keys.trusted[%d]", i), "%s", err)
		}
	}
	for i, path := range c.file.Keys.TrustedFiles {
		t, err := c.files.PublicKey(path)
		if err != nil {
			usable = false
			c.addFault(fmt.Sprintf("keys.trusted-files[%d]", i), "%s", err)
			continue
		}
		trusted = append(trusted, t)
	}
	if !usable {
		return
	}
	keyring, err := bundle.NewKeyring(trusted)
	if err != nil {
		c.addFault("keys", "%s", err)
		return
	}
	c.keyring = keyring
	keysByRole := map[bundle.Role][]int{}
	for _, role := range []bundle.Role{bundle.RoleAuthor, bundle.RoleReviewer, bundle.RoleOperator} {
		for i, t := range trusted {
			if len(t.Roles) == 0 || slices.Contains(t.Roles, role) {
				keysByRole[role] = append(keysByRole[role], i)
			}
		}
		if len(keysByRole[role]) == 0 {
			c.addFault("keys", "no trusted key may sign as %s", role)
		}
	}
	if authors := keysByRole[bundle.RoleAuthor]; len(authors) == 1 && slices.Equal(authors, keysByRole[bundle.RoleReviewer]) {
		c.addFault("keys", "only one trusted key may sign as author or reviewer; a bundle needs two different keys")
	}
}

func (c *checker) checkPeerSecrets() {
	checkSecret := func(key, text string) {
		if len(text) < MinSecretLength {
			c.addFault(key, "must have at least %d bytes", MinSecretLength)
		}
		if slices.Contains(c.secrets, text) {
			c.addFault(key, "is given more than once")
		}
		c.secrets = append(c.secrets, text)
	}
	for i, text := range c.file.Peers.Secrets {
		checkSecret(fmt.Sprintf("peers.secrets[%d]", i), text)
	}
	for i, path := range c.file.Peers.SecretFiles {
		key := fmt.Sprintf("peers.secret-files[%d]", i)
		text, err := c.files.Secret(path)
		if err != nil {
			c.addFault(key, "%s", err)
			continue
		}
		checkSecret(key, text)
	}
	if len(c.file.Peers.Secrets)+len(c.file.Peers.SecretFiles) == 0 {
		c.addFault("peers", "secret-files or secrets must have at least one entry")
	}
}

func (c *checker) checkTiming() {
	t := &c.file.Timing
	isolated := t.FreshnessWindow
	if t.IsolatedWindow != nil {
		isolated = *t.IsolatedWindow
	}
	faultsBefore := len(c.faults)
	for _, d := range []struct {
		key   string
		value job.Duration
	}{
		{"freshness-window", t.FreshnessWindow},
		{"isolated-window", isolated},
		{"heartbeat-interval", t.HeartbeatInterval},
		{"hold-length", t.HoldLength},
		{"start-window", t.StartWindow},
		{"task-lease", t.TaskLease},
		{"renewal-interval", t.RenewalInterval},
		{"drain-bound", t.DrainBound},
		{"claim-interval", t.ClaimInterval},
	} {
		if d.value <= 0 || d.value > maxDuration {
			c.addFault("timing."+d.key, "is %s; must be above 0 and at most %s", d.value, maxDuration)
		}
	}
	if len(c.faults) > faultsBefore {
		return
	}
	// A single lost heartbeat or renewal must not let a window or a lease expire.
	if t.FreshnessWindow <= 2*t.HeartbeatInterval {
		c.addFault("timing.freshness-window", "is %s; must be above twice heartbeat-interval (%s)", t.FreshnessWindow, t.HeartbeatInterval)
	}
	if t.TaskLease <= 2*t.RenewalInterval {
		c.addFault("timing.task-lease", "is %s; must be above twice renewal-interval (%s)", t.TaskLease, t.RenewalInterval)
	}
	if isolated < t.FreshnessWindow {
		c.addFault("timing.isolated-window", "is %s; must be at least freshness-window (%s)", isolated, t.FreshnessWindow)
	}
	if t.StartWindow > t.TaskLease {
		c.addFault("timing.start-window", "is %s; must be at most task-lease (%s)", t.StartWindow, t.TaskLease)
	}
	// A non-idempotent request is claimed while its hold is live.
	if t.HoldLength <= t.ClaimInterval {
		c.addFault("timing.hold-length", "is %s; must be above claim-interval (%s)", t.HoldLength, t.ClaimInterval)
	}
}

func (c *checker) checkRange(key string, value, lowest, highest int) {
	if value < lowest || value > highest {
		c.addFault(key, "is %d; must be %d to %d", value, lowest, highest)
	}
}

func (c *checker) checkLimits() {
	l := c.file.Limits
	c.checkRange("limits.body-size", l.BodySize, 1024, 1<<30)
	c.checkRange("limits.header-size", l.HeaderSize, 1024, 1<<20)
	c.checkRange("limits.connections", l.Connections, 1, 1<<20)
	c.checkRange("limits.queue-length", l.QueueLength, 1, 1<<20)
}

func (c *checker) checkTrace() {
	t := c.file.Trace
	switch t.Output {
	case TraceOff:
	case TraceFile:
		if t.File == "" {
			c.addFault("trace.file", "must be set when trace.output is \"file\"")
		}
	case TraceOTLP:
		c.addFault("trace.output", "\"otlp\" is not implemented; use \"off\" or \"file\"")
	default:
		c.addFault("trace.output", "%q is neither \"off\" nor \"file\"", string(t.Output))
	}
	if t.File != "" && t.Output != TraceFile {
		c.addFault("trace.file", "is set, but trace.output is %q", string(t.Output))
	}
	if t.Endpoint != "" && t.Output != TraceOTLP {
		c.addFault("trace.endpoint", "is set, but trace.output is %q", string(t.Output))
	}
}
