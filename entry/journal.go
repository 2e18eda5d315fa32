package entry

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"clementinepier/backlog"
	"clementinepier/board"
	"clementinepier/job"
	"clementinepier/membership"
	"clementinepier/metrics"
	"clementinepier/trace"
)

const (
	adoptionInterval = 2 * time.Second
	// silentBeforeAdoption is longer than most partitions between two VMs. Taking over too early is safe, because the
	// rack owner and the claims tell one request from another, but may do the work of an idempotent request twice.
	silentBeforeAdoption = 10 * time.Second
	journalTimeout       = 2 * time.Second
)

// persist writes a request that is in flight into the journal, so that it survives this process. It reports whether that
// is certain.
func (v *VM) persist(ctx context.Context, key job.Key) bool {
	h, ok := v.directory.find(key)
	if !ok || h.isEnded() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	record := backlog.Record{Request: h.request, Digest: h.digest, Deadline: h.deadline}
	err := v.journal.Add(ctx, record)
	if !backlog.IsErrTooLarge(err) {
		// A write whose reply was lost may have taken effect, so its record is dropped in the end, too.
		v.directory.setKept(h, h.deadline)
	}
	if err != nil {
		return false
	}
	v.directory.setDurable(h)
	return true
}

// release drops the journal records of requests whose outcome was kept long enough.
func (v *VM) release(ctx context.Context) {
	v.unreleased = v.drop(ctx, append(v.unreleased, v.directory.prune()...))
}

// drop drops records and returns those that it could not drop.
func (v *VM) drop(ctx context.Context, records []keptRecord) []keptRecord {
	var failed []keptRecord
	for _, record := range records {
		if err := v.journal.Remove(ctx, record.key, record.deadline); err != nil {
			failed = append(failed, record)
		}
	}
	return failed
}

// adoptRequests goes on with the kept requests of receivers that are gone, until ctx ends.
func (v *VM) adoptRequests(ctx context.Context) error {
	silentSince := map[string]time.Time{}
	// Records under this VM's own name are those of an earlier process; those of unknown names are found once.
	pending := []string{v.self.VM}
	listed := false
	for ctx.Err() == nil {
		if !listed {
			names, err := v.journal.Receivers(ctx)
			listed = err == nil
			pending = append(pending, names...)
		}
		pending = v.adoptFrom(ctx, append(pending, v.goneReceivers(ctx, silentSince)...), silentSince)
		v.sleep(ctx, adoptionInterval)
	}
	return nil
}

// goneReceivers returns the receivers that have been silent for long and that this VM is responsible for.
func (v *VM) goneReceivers(ctx context.Context, silentSince map[string]time.Time) []string {
	var live, known []string
	now := v.Clock.Now()
	err := v.board.Do(ctx, func(s *board.State) {
		for _, m := range membersOf(s, now) {
			live = append(live, m.Name)
		}
		for name := range s.Reports {
			known = append(known, name)
		}
		for _, r := range s.Registrations {
			known = append(known, r.VM)
		}
	})
	if err != nil {
		return nil
	}
	for _, name := range live {
		delete(silentSince, name)
	}
	var gone []string
	slices.Sort(known)
	for _, name := range slices.Compact(known) {
		if slices.Contains(live, name) {
			continue
		}
		if _, ok := silentSince[name]; !ok {
			silentSince[name] = now
		}
		if now.Sub(silentSince[name]) >= silentBeforeAdoption && membership.Owner(name, live) == v.self.VM {
			gone = append(gone, name)
		}
	}
	return gone
}

// adoptFrom takes over the records of the receivers named and returns those that could not be read.
func (v *VM) adoptFrom(ctx context.Context, names []string, silentSince map[string]time.Time) []string {
	var failed []string
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		_, silent := silentSince[name]
		if name != v.self.VM && !silent {
			// The receiver is live, or not known yet; it is looked at again once it is silent.
			continue
		}
		records, err := v.journal.TakeOver(ctx, name)
		if err != nil {
			failed = append(failed, name)
		}
		for _, record := range records {
			v.adopt(record)
		}
	}
	return failed
}

// adopt goes on with one kept request.
func (v *VM) adopt(record backlog.Record) {
	req := record.Request
	left := record.Deadline.Sub(v.Clock.Now())
	h, created := v.directory.take(req, record.Digest, record.Deadline)
	if h == nil {
		return
	}
	v.directory.setKept(h, record.Deadline)
	if !created {
		return
	}
	v.Metrics.Add(metrics.JournalAdopted, 1)
	klog.InfoS("Took over a request", "request", req.Key().String(), "time-left", left)
	if left <= 0 {
		v.directory.end(h, job.NewUnknown(req.Key(), job.CodeDeadlineExceeded, "the receiver was lost and the deadline passed"))
		return
	}
	req.Timeout = job.Duration(left)
	go v.process(trace.Inject(context.Background()), h, req, record.Digest)
}
