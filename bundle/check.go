package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"slices"

	"clementinepier/job"
)

const (
	// maxNumber bounds every count in a bundle, so that products of three counts fit into an int.
	maxNumber = 100_000
	// saturated is where sums stop growing instead of overflowing.
	saturated = 1 << 60
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9-]{1,63}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// IsName reports whether name may name an object of a bundle: 1 to 63 characters of a-z, 0-9 and "-".
func IsName(name string) bool { return namePattern.MatchString(name) }

// Check returns every fault of the bundle, in the order of the source. A bundle without faults can be rolled out.
func (b *Bundle) Check() []Fault {
	c := &checker{bundle: b, digests: map[string]string{}}
	if b.Revision < 1 {
		c.add("revision", "must be at least 1")
	}
	c.positiveDuration("reclaim-bound", b.ReclaimBound)
	c.organisations()
	c.capacity()
	c.failureDomains()
	c.services()
	return c.faults
}

type checker struct {
	bundle *Bundle
	faults []Fault
	// digests maps a token digest to the organisation that has it.
	digests map[string]string
}

func (c *checker) add(key, format string, args ...any) {
	c.faults = append(c.faults, Fault{Key: key, Reason: fmt.Sprintf(format, args...)})
}

// name checks a name and its uniqueness within seen.
func (c *checker) name(key, name string, seen map[string]bool) {
	switch {
	case name == "":
		c.add(key+".name", "must not be empty")
	case !IsName(name):
		c.add(key+".name", "%q must have at most 63 characters, all from a-z, 0-9 and \"-\"", name)
	case seen[name]:
		c.add(key+".name", "%q is used more than once", name)
	}
	seen[name] = true
}

func (c *checker) number(key string, value, lowest int) {
	switch {
	case value < lowest:
		c.add(key, "is %d; must be at least %d", value, lowest)
	case value > maxNumber:
		c.add(key, "is %d; must be at most %d", value, maxNumber)
	}
}

func (c *checker) positiveDuration(key string, value job.Duration) {
	if value <= 0 {
		c.add(key, "is %s; must be above 0", value)
	}
}

// itemKey names an entry of a list by its name if that is valid, else by its index.
func itemKey(list string, index int, name string) string {
	if !IsName(name) {
		return fmt.Sprintf("%s[%d]", list, index)
	}
	return list + "." + name
}

func (c *checker) organisations() {
	seen := map[string]bool{}
	for i := range c.bundle.Organisations {
		o := &c.bundle.Organisations[i]
		key := itemKey("organisations", i, o.Name)
		c.name(key, o.Name, seen)
		c.number(key+".weight", o.Weight, 1)
		c.digest(key+".token-digest", o)
		c.guarantees(key+".guarantees", o.Guarantees)
		c.limits(key+".limits", o.Limits)
	}
}

func (c *checker) digest(key string, o *Organisation) {
	empty := sha256.Sum256(nil)
	switch other, shared := c.digests[o.TokenDigest]; {
	case !digestPattern.MatchString(o.TokenDigest):
		c.add(key, "must be a SHA-256 digest, 64 lower-case hexadecimal digits")
	case o.TokenDigest == hex.EncodeToString(empty[:]):
		c.add(key, "is the digest of an empty token")
	case shared:
		c.add(key, "is the same as that of organisation %q", other)
	default:
		c.digests[o.TokenDigest] = o.Name
	}
}

func (c *checker) guarantees(list string, guarantees []Guarantee) {
	seen := map[string]bool{}
	for i, g := range guarantees {
		key := itemKey(list, i, g.Name)
		c.name(key, g.Name, seen)
		before := len(c.faults)
		c.number(key+".count", g.Count, 1)
		c.number(key+".shape.tasks", g.Shape.Tasks, 1)
		c.number(key+".shape.accelerators", g.Shape.Accelerators, 0)
		c.number(key+".shape.slots", g.Shape.Slots, 1)
		if len(c.faults) == before {
			c.instances(key, g)
		}
	}
}

// instances checks that the racks have room for the guarantee when nothing else uses them.
func (c *checker) instances(key string, g Guarantee) {
	room := 0
	for _, d := range c.bundle.FailureDomains {
		for _, r := range d.Racks {
			room = addSaturated(room, r.Instances(g.Shape))
		}
	}
	switch {
	case room == 0:
		c.add(key+".shape", "fits no rack")
	case room < g.Count:
		c.add(key+".count", "is %d; the failure domains have room for %d of this shape", g.Count, room)
	}
}

// Instances returns how many times the shape fits into the empty rack.
func (r Rack) Instances(s job.Shape) int {
	if s.Tasks < 1 || s.Slots < 1 || r.Workers < 1 {
		return 0
	}
	perWorker := r.Slots / s.Slots
	if s.Accelerators > 0 {
		perWorker = min(perWorker, r.Accelerators/s.Accelerators)
	}
	return max(0, r.Workers*perWorker/s.Tasks)
}

func (c *checker) limits(list string, limits []Limit) {
	seen := map[string]bool{}
	for i, l := range limits {
		key := itemKey(list, i, l.Service)
		known := slices.ContainsFunc(c.bundle.Services, func(s Service) bool { return s.Name == l.Service })
		switch {
		case !known:
			c.add(key+".service", "service %q does not exist", l.Service)
		case seen[l.Service]:
			c.add(key+".service", "service %q has more than one limit", l.Service)
		}
		seen[l.Service] = true
		if !(l.RequestsPerSecond > 0) || math.IsInf(l.RequestsPerSecond, 0) {
			c.add(key+".requests-per-second", "is %v; must be a number above 0", l.RequestsPerSecond)
		}
		c.number(key+".running", l.Running, 1)
	}
}

// amount is capacity in accelerators and slots.
type amount struct{ accelerators, slots int }

func (a amount) plus(b amount) amount {
	return amount{addSaturated(a.accelerators, b.accelerators), addSaturated(a.slots, b.slots)}
}

func addSaturated(a, b int) int { return min(a+min(b, saturated), saturated) }

// times multiplies counts that number has checked; others count as 0, as they are reported already.
func times(counts ...int) int {
	product := 1
	for _, n := range counts {
		if n < 0 || n > maxNumber {
			return 0
		}
		product *= n
	}
	return product
}

// capacity compares the guarantees, per organisation and all together, with the racks. It is a necessary condition:
// guarantees that pass may still not fit beside each other in the racks.
func (c *checker) capacity() {
	var total amount
	for _, d := range c.bundle.FailureDomains {
		for _, r := range d.Racks {
			total = total.plus(amount{times(r.Workers, r.Accelerators), times(r.Workers, r.Slots)})
		}
	}
	var sum amount
	for i, o := range c.bundle.Organisations {
		var own amount
		for _, g := range o.Guarantees {
			s := g.Shape
			own = own.plus(amount{times(g.Count, s.Tasks, s.Accelerators), times(g.Count, s.Tasks, s.Slots)})
		}
		c.within(itemKey("organisations", i, o.Name)+".guarantees", "the guarantees of this organisation", own, total)
		sum = sum.plus(own)
	}
	c.within("organisations", "the guarantees of all organisations together", sum, total)
}

func (c *checker) within(key, what string, need, total amount) {
	if need.accelerators > total.accelerators {
		c.add(key, "%s need %d accelerators; the failure domains have %d", what, need.accelerators, total.accelerators)
	}
	if need.slots > total.slots {
		c.add(key, "%s need %d slots; the failure domains have %d", what, need.slots, total.slots)
	}
}

func (c *checker) failureDomains() {
	domains := c.bundle.FailureDomains
	if len(domains) < 1 {
		c.add("failure-domains", "must have at least one entry")
	}
	if len(domains) > MaxFailureDomains {
		c.add("failure-domains", "has %d entries; must have at most %d", len(domains), MaxFailureDomains)
	}
	seen, racks := map[string]bool{}, map[string]bool{}
	for i, d := range domains {
		key := itemKey("failure-domains", i, d.Name)
		c.name(key, d.Name, seen)
		if !IsName(d.Region) {
			c.add(key+".region", "%q must have 1 to 63 characters, all from a-z, 0-9 and \"-\"", d.Region)
		}
		if len(d.Racks) == 0 {
			c.add(key+".racks", "must have at least one entry")
		}
		for j, r := range d.Racks {
			rack := itemKey(key+".racks", j, r.Name)
			c.name(rack, r.Name, racks)
			c.number(rack+".workers", r.Workers, 1)
			c.number(rack+".slots", r.Slots, 1)
			c.number(rack+".accelerators", r.Accelerators, 0)
		}
	}
}

func (c *checker) services() {
	seen := map[string]bool{}
	for i, s := range c.bundle.Services {
		key := itemKey("services", i, s.Name)
		c.name(key, s.Name, seen)
		c.positiveDuration(key+".default-timeout", s.DefaultTimeout)
		c.positiveDuration(key+".max-timeout", s.MaxTimeout)
		if s.DefaultTimeout > s.MaxTimeout {
			c.add(key+".default-timeout", "is %s, above max-timeout (%s)", s.DefaultTimeout, s.MaxTimeout)
		}
		if s.MaxPayload < 1 {
			c.add(key+".max-payload", "is %d; must be at least 1", s.MaxPayload)
		}
	}
}
