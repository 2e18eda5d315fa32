package breaker

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"clementinepier/job"
)

// TestMain fixes rapid's seed, so that every run tests the same cases. The command line overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

func key(i int) job.Key { return job.Key{Organisation: "org", ID: fmt.Sprint(i)} }

// Guards against a healthy worker that stays quarantined after a job failed by its own fault, although other jobs complete
// there.
func TestAnySuccessEndsQuarantine(t *testing.T) {
	is := is.New(t)
	b, now := New(), time.Unix(1000, 0)
	b.FailureThreshold, b.AnySuccessEndsQuarantine = 1, true
	b.RecordFailure(now, "w", key(1))
	is.True(!b.Allowed(now, "w", true))
	b.RecordSuccess("w", key(2))
	is.True(b.Allowed(now, "w", true))
}

// Guards against wrong quarantine lengths, more than one probe at a time, and probes that are not idempotent.
func TestQuarantineLengthAndProbes(t *testing.T) {
	is := is.New(t)
	b, now := New(), time.Unix(1000, 0)
	for _, k := range []int{1, 2, 2, 1} { // repeated failures of the same requests do not count
		b.RecordFailure(now, "w", key(k))
	}
	is.True(b.Allowed(now, "w", false))
	for _, want := range []time.Duration{30, 60, 120, 240, 480, 600, 600} {
		b.RecordFailure(now, "w", key(3))
		is.True(b.Quarantined("w"))
		now = now.Add(want*time.Second - 1)
		is.True(!b.Allowed(now, "w", true))
		now = now.Add(1)
		is.True(b.Allowed(now, "w", true))
		is.True(!b.Allowed(now, "w", false))
		b.RecordStart(now, "w", key(9))
		b.RecordInconclusive("w", key(9))
		b.RecordStart(now, "w", key(3))
		is.True(!b.Allowed(now, "w", true)) // one probe at a time
		b.RecordSuccess("w", key(4))        // was started before the quarantine
		is.True(b.Quarantined("w"))
		is.True(b.Allowed(now, "other", false))
	}
	b.RecordSuccess("w", key(3))
	is.True(b.Allowed(now, "w", false))
}

// Guards against a worker that gets no other request while its probe takes long, and against a long probe whose failure has no effect.
func TestLongProbeDoesNotDelayNextProbe(t *testing.T) {
	is := is.New(t)
	b, now := New(), time.Unix(1000, 0)
	b.FailureThreshold = 1
	b.RecordFailure(now, "w", key(1))
	now = now.Add(DefaultInitialQuarantine)
	b.RecordStart(now, "w", key(2))
	is.True(!b.Allowed(now, "w", true))
	b.RecordLongProbe("w", key(1)) // is not a probe
	is.True(!b.Allowed(now, "w", true))
	b.RecordLongProbe("w", key(2))
	is.True(b.Allowed(now, "w", true))
	b.RecordStart(now, "w", key(3))
	is.True(!b.Allowed(now, "w", true)) // one new probe at a time
	b.RecordFailure(now, "w", key(2))
	is.True(!b.Allowed(now.Add(2*DefaultInitialQuarantine-1), "w", true))
	is.True(b.Allowed(now.Add(2*DefaultInitialQuarantine), "w", true))
}

// Guards against quarantines without three different failed requests in a row. The oracle looks at the whole history.
func TestQuarantineNeedsConsecutiveFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := New(), time.Unix(1000, 0)
		var failed []int
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			k := rapid.IntRange(0, 4).Draw(t, "key")
			if rapid.IntRange(0, 3).Draw(t, "outcome") == 0 {
				b.RecordSuccess("w", key(k))
				failed = nil
			} else {
				b.RecordFailure(now, "w", key(k))
				failed = append(failed, k)
			}
			different := map[int]bool{}
			for _, f := range failed {
				different[f] = true
			}
			if b.Quarantined("w") != (len(different) >= 3) {
				t.Fatalf("quarantined: %v after failures %v", b.Quarantined("w"), failed)
			}
			if b.Quarantined("w") {
				return
			}
		}
	})
}

// Guards against more retries than the share of requests and the reserve allow.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewRetryBudget()
		requests, retries := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest()
				requests++
				continue
			}
			may := 10*RetryReserve+requests >= 10*(retries+1)
			if got := b.TryRetry(); got != may {
				t.Fatalf("retry %d after %d requests: %v", retries+1, requests, got)
			}
			if may {
				retries++
			}
		}
	})
}
