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
	// maxDuration bounds every duration; longer ones are typing errors.
	maxDuration = job.Duration(time.Hour)
	// maxVerbosity is the most detailed level that the log uses.
	maxVerbosity = 10
)

type checker struct {
	file    *file
	files   Files
	faults  []bundle.Fault
	keyring *bundle.Keyring
	secrets []string
}

func (c *checker) add(key, format string, args ...any) {
	c.faults = append(c.faults, bundle.Fault{Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) check() {
	c.name("name", c.file.Name)
	c.name("failure-domain", c.file.FailureDomain)
	c.addresses()
	c.trusted()
	c.peerSecrets()
	c.timing()
	c.limits()
	c.trace()
	c.within("log.verbosity", c.file.Log.Verbosity, 0, maxVerbosity)
}

func (c *checker) name(key, name string) {
	if !bundle.IsName(name) {
		c.add(key, "%q must have 1 to 63 characters, all from a-z, 0-9 and \"-\"", name)
	}
}

func (c *checker) addresses() {
	callers := c.address("callers-address", c.file.CallersAddress, true)
	// Peers and platform are told or called by this address, so it must name one machine.
	peers := c.address("peers-address", c.file.PeersAddress, false)
	c.address("platform-address", c.file.PlatformAddress, false)
	if callers.IsValid() && callers.Port() == peers.Port() && (callers.Addr() == peers.Addr() || callers.Addr().IsUnspecified()) {
		c.add("peers-address", "has the port of callers-address")
	}
}

// address checks an IP number with a port. The unspecified address is allowed only for listening.
func (c *checker) address(key, text string, listenOnly bool) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	switch ip := address.Addr(); {
	case err != nil:
		c.add(key, "%q must be an IP number and a port, such as \"10.0.0.1:8080\" or \"[::1]:8080\"", text)
		return netip.AddrPort{}
	case address.Port() == 0:
		c.add(key, "port must be 1 to 65535")
	case ip.IsMulticast() || ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
		c.add(key, "%s names more than one machine", ip)
	case ip.IsUnspecified() && !listenOnly:
		c.add(key, "%s names no machine; others need an address that they can reach", ip)
	case ip.Zone() != "":
		c.add(key, "%s has a zone, which other machines do not know", ip)
	}
	return address
}

// trusted builds the keyring and checks that its keys together can sign a bundle and an order.
func (c *checker) trusted() {
	trusted := slices.Clone(c.file.Keys.Trusted)
	usable := true
	for i, t := range trusted {
		if _, err := t.Check(); err != nil {
			usable = false
			c.add(fmt.Sprintf("keys.trusted[%d]", i), "%s", err)
		}
	}
	for i, path := range c.file.Keys.TrustedFiles {
		t, err := c.files.PublicKey(path)
		if err != nil {
			usable = false
			c.add(fmt.Sprintf("keys.trusted-files[%d]", i), "%s", err)
			continue
		}
		trusted = append(trusted, t)
	}
	if !usable {
		return
	}
	keyring, err := bundle.NewKeyring(trusted)
	if err != nil {
		c.add("keys", "%s", err)
		return
	}
	c.keyring = keyring
	may := map[bundle.Role][]int{}
	for _, role := range []bundle.Role{bundle.RoleAuthor, bundle.RoleReviewer, bundle.RoleOperator} {
		for i, t := range trusted {
			if len(t.Roles) == 0 || slices.Contains(t.Roles, role) {
				may[role] = append(may[role], i)
			}
		}
		if len(may[role]) == 0 {
			c.add("keys", "no trusted key may sign as %s", role)
		}
	}
	if authors := may[bundle.RoleAuthor]; len(authors) == 1 && slices.Equal(authors, may[bundle.RoleReviewer]) {
		c.add("keys", "only one trusted key may sign as author or reviewer; a bundle needs two different keys")
	}
}

func (c *checker) peerSecrets() {
	secret := func(key, text string) {
		if len(text) < MinSecretLength {
			c.add(key, "must have at least %d bytes", MinSecretLength)
		}
		if slices.Contains(c.secrets, text) {
			c.add(key, "is given more than once")
		}
		c.secrets = append(c.secrets, text)
	}
	for i, text := range c.file.Peers.Secrets {
		secret(fmt.Sprintf("peers.secrets[%d]", i), text)
	}
	for i, path := range c.file.Peers.SecretFiles {
		key := fmt.Sprintf("peers.secret-files[%d]", i)
		text, err := c.files.Secret(path)
		if err != nil {
			c.add(key, "%s", err)
			continue
		}
		secret(key, text)
	}
	if len(c.file.Peers.Secrets)+len(c.file.Peers.SecretFiles) == 0 {
		c.add("peers", "secret-files or secrets must have at least one entry")
	}
}

func (c *checker) timing() {
	t := &c.file.Timing
	isolated := t.FreshnessWindow
	if t.IsolatedWindow != nil {
		isolated = *t.IsolatedWindow
	}
	before := len(c.faults)
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
			c.add("timing."+d.key, "is %s; must be above 0 and at most %s", d.value, maxDuration)
		}
	}
	if len(c.faults) > before {
		return
	}
	// One lost heartbeat or renewal must not end a window or a lease.
	if t.FreshnessWindow <= 2*t.HeartbeatInterval {
		c.add("timing.freshness-window", "is %s; must be above twice heartbeat-interval (%s)", t.FreshnessWindow, t.HeartbeatInterval)
	}
	if t.TaskLease <= 2*t.RenewalInterval {
		c.add("timing.task-lease", "is %s; must be above twice renewal-interval (%s)", t.TaskLease, t.RenewalInterval)
	}
	if isolated < t.FreshnessWindow {
		c.add("timing.isolated-window", "is %s; must be at least freshness-window (%s)", isolated, t.FreshnessWindow)
	}
	if t.StartWindow > t.TaskLease {
		c.add("timing.start-window", "is %s; must be at most task-lease (%s)", t.StartWindow, t.TaskLease)
	}
	// A non-idempotent request is claimed while its hold is live.
	if t.HoldLength <= t.ClaimInterval {
		c.add("timing.hold-length", "is %s; must be above claim-interval (%s)", t.HoldLength, t.ClaimInterval)
	}
}

func (c *checker) within(key string, value, lowest, highest int) {
	if value < lowest || value > highest {
		c.add(key, "is %d; must be %d to %d", value, lowest, highest)
	}
}

func (c *checker) limits() {
	l := c.file.Limits
	c.within("limits.body-size", l.BodySize, 1024, 1<<30)
	c.within("limits.header-size", l.HeaderSize, 1024, 1<<20)
	c.within("limits.connections", l.Connections, 1, 1<<20)
	c.within("limits.queue-length", l.QueueLength, 1, 1<<20)
}

func (c *checker) trace() {
	t := c.file.Trace
	switch t.Output {
	case TraceOff:
	case TraceFile:
		if t.File == "" {
			c.add("trace.file", "must be set when trace.output is \"file\"")
		}
	case TraceOTLP:
		c.add("trace.output", "\"otlp\" is not implemented; use \"off\" or \"file\"")
	default:
		c.add("trace.output", "%q is neither \"off\" nor \"file\"", string(t.Output))
	}
	if t.File != "" && t.Output != TraceFile {
		c.add("trace.file", "is set, but trace.output is %q", string(t.Output))
	}
	if t.Endpoint != "" && t.Output != TraceOTLP {
		c.add("trace.endpoint", "is set, but trace.output is %q", string(t.Output))
	}
}
