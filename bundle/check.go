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
	// maxCount bounds every count in a bundle, so that the product of three counts fits into an int.
	maxCount = 100_000
	// maxSum is the value at which sums saturate instead of overflowing.
	maxSum = 1 << 60
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9-]{1,63}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// IsName reports whether name is a valid name for an object of a bundle: 1 to 63 characters of a-z, 0-9 and "-".
func IsName(name string) bool { return namePattern.MatchString(name) }

// Check returns every fault of the bundle, in the order of the source. A bundle without faults can be rolled out.
func (b *Bundle) Check() []Fault {
	c := &checker{bundle: b, organisationByDigest: map[string]string{}}
	if b.Revision < 1 {
		c.addFault("revision", "must be at least 1")
	}
	c.checkPositiveDuration("reclaim-bound", b.ReclaimBound)
	c.checkOrganisations()
	c.checkCapacity()
	c.checkFailureDomains()
	c.checkServices()
	return c.faults
}

type checker struct {
	bundle *Bundle
	faults []Fault
	// organisationByDigest maps a token digest to the name of its organisation.
	organisationByDigest map[string]string
}

func (c *checker) addFault(key, format string, args ...any) {
	c.faults = append(c.faults, Fault{Key: key, Reason: fmt.Sprintf(format, args...)})
}

// checkName checks that a name is valid and not in seen, and adds it to seen.
func (c *checker) checkName(key, name string, seen map[string]bool) {
	switch {
	case name == "":
		c.addFault(key+".name", "must not be empty")
	case !IsName(name):
		c.addFault(key+".name", "%q must have at most 63 characters, all from a-z, 0-9 and \"-\"", name)
	case seen[name]:
		c.addFault(key+".name", "%q is used more than once", name)
	}
	seen[name] = true
}

func (c *checker) checkCount(key string, value, lowest int) {
	switch {
	case value < lowest:
		c.addFault(key, "is %d; must be at least %d", value, lowest)
	case value > maxCount:
		c.addFault(key, "is %d; must be at most %d", value, maxCount)
	}
}

func (c *checker) checkPositiveDuration(key string, value job.Duration) {
	if value <= 0 {
		c.addFault(key, "is %s; must be above 0", value)
	}
}

// itemKey returns the key of a list entry: with its name if that is valid, else with its index.
func itemKey(list string, index int, name string) string {
	if !IsName(name) {
		return fmt.Sprintf("%s[%d]", list, index)
	}
	return list + "." + name
}

func (c *checker) checkOrganisations() {
	seen := map[string]bool{}
	for i := range c.bundle.Organisations {
		o := &c.bundle.Organisations[i]
		key := itemKey("organisations", i, o.Name)
		c.checkName(key, o.Name, seen)
		c.checkCount(key+".weight", o.Weight, 1)
		c.checkTokenDigest(key+".token-digest", o)
		c.checkGuarantees(key+".guarantees", o.Guarantees)
		c.checkLimits(key+".limits", o.Limits)
	}
}

func (c *checker) checkTokenDigest(key string, o *Organisation) {
	empty := sha256.Sum256(nil)
	switch other, shared := c.organisationByDigest[o.TokenDigest]; {
	case !digestPattern.MatchString(o.TokenDigest):
		c.addFault(key, "must be a SHA-256 digest, 64 lower-case hexadecimal digits")
	case o.TokenDigest == hex.EncodeToString(empty[:]):
		c.addFault(key, "is the digest of an empty token")
	case shared:
		c.addFault(key, "is the same as that of organisation %q", other)
	default:
		c.organisationByDigest[o.TokenDigest] = o.Name
	}
}

func (c *checker) checkGuarantees(list string, guarantees []Guarantee) {
	seen := map[string]bool{}
	for i, g := range guarantees {
		key := itemKey(list, i, g.Name)
		c.checkName(key, g.Name, seen)
		faultsBefore := len(c.faults)
		c.checkCount(key+".count", g.Count, 1)
		c.checkCount(key+".shape.tasks", g.Shape.Tasks, 1)
		c.checkCount(key+".shape.accelerators", g.Shape.Accelerators, 0)
		c.checkCount(key+".shape.slots", g.Shape.Slots, 1)
		if len(c.faults) == faultsBefore {
			c.checkInstances(key, g)
		}
	}
}

// checkInstances checks that the guarantee fits into the racks when nothing else uses them.
func (c *checker) checkInstances(key string, g Guarantee) {
	instances := 0
	for _, d := range c.bundle.FailureDomains {
		for _, r := range d.Racks {
			instances = addSaturated(instances, r.Instances(g.Shape))
		}
	}
	switch {
	case instances == 0:
		c.addFault(key+".shape", "fits no rack")
	case instances < g.Count:
		c.addFault(key+".count", "is %d; the failure domains have room for %d of this shape", g.Count, instances)
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

func (c *checker) checkLimits(list string, limits []Limit) {
	seen := map[string]bool{}
	for i, l := range limits {
		key := itemKey(list, i, l.Service)
		known := slices.ContainsFunc(c.bundle.Services, func(s Service) bool { return s.Name == l.Service })
		switch {
		case !known:
			c.addFault(key+".service", "service %q does not exist", l.Service)
		case seen[l.Service]:
			c.addFault(key+".service", "service %q has more than one limit", l.Service)
		}
		seen[l.Service] = true
		if !(l.RequestsPerSecond > 0) || math.IsInf(l.RequestsPerSecond, 0) {
			c.addFault(key+".requests-per-second", "is %v; must be a number above 0", l.RequestsPerSecond)
		}
		c.checkCount(key+".running", l.Running, 1)
	}
}

// resources is an amount of accelerators and slots.
type resources struct{ accelerators, slots int }

func (a resources) add(b resources) resources {
	return resources{addSaturated(a.accelerators, b.accelerators), addSaturated(a.slots, b.slots)}
}

func addSaturated(a, b int) int { return min(a+min(b, maxSum), maxSum) }

// multiplyCounts returns the product of counts. It returns 0 if a count is out of range, which checkCount reports.
func multiplyCounts(counts ...int) int {
	product := 1
	for _, n := range counts {
		if n < 0 || n > maxCount {
			return 0
		}
		product *= n
	}
	return product
}

// checkCapacity compares the guarantees of each organisation, and of all together, with the capacity of all racks. This
// is a necessary condition only: guarantees that pass may still not fit into the racks together.
func (c *checker) checkCapacity() {
	var total resources
	for _, d := range c.bundle.FailureDomains {
		for _, r := range d.Racks {
			total = total.add(resources{multiplyCounts(r.Workers, r.Accelerators), multiplyCounts(r.Workers, r.Slots)})
		}
	}
	var sum resources
	for i, o := range c.bundle.Organisations {
		var own resources
		for _, g := range o.Guarantees {
			s := g.Shape
			own = own.add(resources{multiplyCounts(g.Count, s.Tasks, s.Accelerators), multiplyCounts(g.Count, s.Tasks, s.Slots)})
		}
		c.checkGuaranteesFit(itemKey("organisations", i, o.Name)+".guarantees", "the guarantees of this organisation", own, total)
		sum = sum.add(own)
	}
	c.checkGuaranteesFit("organisations", "the guarantees of all organisations together", sum, total)
}

func (c *checker) checkGuaranteesFit(key, what string, need, total resources) {
	if need.accelerators > total.accelerators {
		c.addFault(key, "%s need %d accelerators; the failure domains have %d", what, need.accelerators, total.accelerators)
	}
	if need.slots > total.slots {
		c.addFault(key, "%s need %d slots; the failure domains have %d", what, need.slots, total.slots)
	}
}

func (c *checker) checkFailureDomains() {
	domains := c.bundle.FailureDomains
	if len(domains) < 1 {
		c.addFault("failure-domains", "must have at least one entry")
	}
	if len(domains) > MaxFailureDomains {
		c.addFault("failure-domains", "has %d entries; must have at most %d", len(domains), MaxFailureDomains)
	}
	seen, racks := map[string]bool{}, map[string]bool{}
	for i, d := range domains {
		key := itemKey("failure-domains", i, d.Name)
		c.checkName(key, d.Name, seen)
		if !IsName(d.Region) {
			c.addFault(key+".region", "%q must have 1 to 63 characters, all from a-z, 0-9 and \"-\"", d.Region)
		}
		if len(d.Racks) == 0 {
			c.addFault(key+".racks", "must have at least one entry")
		}
		for j, r := range d.Racks {
			rack := itemKey(key+".racks", j, r.Name)
			c.checkName(rack, r.Name, racks)
			c.checkCount(rack+".workers", r.Workers, 1)
			c.checkCount(rack+".slots", r.Slots, 1)
			c.checkCount(rack+".accelerators", r.Accelerators, 0)
		}
	}
}

func (c *checker) checkServices() {
	seen := map[string]bool{}
	for i, s := range c.bundle.Services {
		key := itemKey("services", i, s.Name)
		c.checkName(key, s.Name, seen)
		c.checkPositiveDuration(key+".default-timeout", s.DefaultTimeout)
		c.checkPositiveDuration(key+".max-timeout", s.MaxTimeout)
		if s.DefaultTimeout > s.MaxTimeout {
			c.addFault(key+".default-timeout", "is %s, above max-timeout (%s)", s.DefaultTimeout, s.MaxTimeout)
		}
		if s.MaxPayload < 1 {
			c.addFault(key+".max-payload", "is %d; must be at least 1", s.MaxPayload)
		}
	}
}
