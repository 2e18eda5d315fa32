package quota

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Key identifies one limit.
type Key struct {
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
}

// Limit is what an organisation may use of a service in the whole system. A field that is 0 sets no limit.
type Limit struct {
	RequestsPerSecond float64
	Running           int
}

// Report is the demand of one VM, sent in its heartbeats.
type Report struct {
	VM      string         `json:"vm"`
	Demands map[Key]Demand `json:"demands"`
}

// DefaultStaleAfter is four heartbeats of 500 ms.
const DefaultStaleAfter = 2 * time.Second

// smoothingFactor is the weight of the latest interval in the reported rate, an exponential moving average.
const smoothingFactor = 0.5

// Splitter computes one VM's shares of all limits and counts their use. StaleAfter is set before the first call.
type Splitter struct {
	// StaleAfter is the age at which the report of a registered VM is ignored. Without a current report of every registered
	// VM, this VM uses an equal part of every limit.
	StaleAfter time.Duration

	self       string
	limits     map[Key]Limit
	registered []string
	reports    map[string]receivedReport
	usage      map[Key]*usage
	// reportedAt is when NextReport was last called.
	reportedAt time.Time
	// shares are cached until an input changes; stale is true when they are the equal parts used without current reports.
	shares map[Key]Share
	stale  bool
}

type receivedReport struct {
	receivedAt time.Time
	report     Report
}

type usage struct {
	limiter   *rate.Limiter
	requested int
	meanRate  float64
	running   int
	waiting   int
}

// New returns the splitter of the named VM.
func New(self string) *Splitter {
	return &Splitter{
		StaleAfter: DefaultStaleAfter, self: self, limits: map[Key]Limit{}, registered: []string{self},
		reports: map[string]receivedReport{}, usage: map[Key]*usage{},
	}
}

// SetLimits replaces the limits.
func (s *Splitter) SetLimits(limits map[Key]Limit) {
	s.limits, s.shares = limits, nil
}

// SetRegistered replaces the names of the registered VMs. This VM is always included.
func (s *Splitter) SetRegistered(names []string) {
	set := append([]string{s.self}, names...)
	slices.Sort(set)
	s.registered, s.shares = slices.Compact(set), nil
}

// RecordReport records the report of another VM.
func (s *Splitter) RecordReport(now time.Time, r Report) {
	if r.VM != s.self {
		s.reports[r.VM], s.shares = receivedReport{receivedAt: now, report: r}, nil
	}
}

// NextReport returns this VM's report for the time since the last one. It is called once per heartbeat interval, and the
// same report is sent to all other VMs.
func (s *Splitter) NextReport(now time.Time) Report {
	r := Report{VM: s.self, Demands: map[Key]Demand{}}
	elapsed := now.Sub(s.reportedAt).Seconds()
	for key, u := range s.usage {
		if !s.reportedAt.IsZero() && elapsed > 0 {
			u.meanRate += smoothingFactor * (float64(u.requested)/elapsed - u.meanRate)
			u.requested = 0
		}
		r.Demands[key] = Demand{Rate: u.meanRate, Running: u.running, Waiting: u.waiting}
	}
	s.reportedAt = now
	s.reports[s.self], s.shares = receivedReport{receivedAt: now, report: r}, nil
	return r
}

// Share returns this VM's part of a limit.
func (s *Splitter) Share(now time.Time, key Key) Share {
	if stale := s.reportsMissing(now); s.shares == nil || stale != s.stale {
		s.shares, s.stale = map[Key]Share{}, stale
	}
	if share, ok := s.shares[key]; ok {
		return share
	}
	demands := make([]Demand, len(s.registered))
	if !s.stale {
		for i, name := range s.registered {
			demands[i] = s.reports[name].report.Demands[key]
		}
	}
	share := split(s.limits[key], demands)[slices.Index(s.registered, s.self)]
	s.shares[key] = share
	return share
}

// reportsMissing reports whether there is no current report of some registered VM.
func (s *Splitter) reportsMissing(now time.Time) bool {
	for _, name := range s.registered {
		if h, ok := s.reports[name]; name != s.self && (!ok || now.Sub(h.receivedAt) > s.StaleAfter) {
			return true
		}
	}
	return false
}

// Allow reports whether a request is within the rate limit, and counts it. The burst is one second's worth of the share, at
// least one request.
func (s *Splitter) Allow(now time.Time, key Key) bool {
	u := s.usageOf(key)
	u.requested++
	share := s.Share(now, key).Rate
	if share < 0 {
		u.limiter = nil
		return true
	}
	burst := max(1, int(math.Floor(share)))
	if u.limiter == nil {
		u.limiter = rate.NewLimiter(rate.Limit(share), burst)
	}
	if u.limiter.Limit() != rate.Limit(share) {
		u.limiter.SetLimitAt(now, rate.Limit(share))
		u.limiter.SetBurstAt(now, burst)
	}
	return share > 0 && u.limiter.AllowN(now, 1)
}

// Acquire reports whether one more request may run, and counts it until Release.
func (s *Splitter) Acquire(now time.Time, key Key) bool {
	u := s.usageOf(key)
	if share := s.Share(now, key).Running; share >= 0 && u.running >= share {
		return false
	}
	u.running++
	return true
}

// Release stops counting a running request.
func (s *Splitter) Release(key Key) {
	if u := s.usageOf(key); u.running > 0 {
		u.running--
	}
}

// SetWaiting sets how many requests wait for the running limit.
func (s *Splitter) SetWaiting(key Key, n int) { s.usageOf(key).waiting = n }

func (s *Splitter) usageOf(key Key) *usage {
	u := s.usage[key]
	if u == nil {
		u = &usage{}
		s.usage[key] = u
	}
	return u
}
