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
	// silentBeforeAdoption is how long a receiver must be silent before another one adopts its requests. It is longer than
	// most network partitions between two VMs. Adopting too early is safe, because the rack owner and the claims detect
	// duplicates, but it may run an idempotent request twice.
	silentBeforeAdoption = 10 * time.Second
	journalTimeout       = 2 * time.Second
)

// persist writes a request that is in flight to the journal, so that another process can adopt it if this one fails. It
// reports whether the write is known to have succeeded.
func (v *VM) persist(ctx context.Context, key job.Key) bool {
	h, ok := v.requests.find(key)
	if !ok || h.isEnded() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	record := backlog.Record{Request: h.request, Digest: h.digest, Deadline: h.deadline}
	err := v.journal.Add(ctx, record)
	if !backlog.IsErrTooLarge(err) {
		// A write whose reply was lost may have succeeded, so its record must be removed later as well.
		v.requests.setJournalDeadline(h, h.deadline)
	}
	if err != nil {
		return false
	}
	v.requests.setDurable(h)
	return true
}

// pruneRequests removes outcomes that need not be kept any longer, and their journal records. Records that cannot be removed
// are retried at the next call.
func (v *VM) pruneRequests(ctx context.Context) {
	v.unremovedRecords = v.removeRecords(ctx, append(v.unremovedRecords, v.requests.prune()...))
}

// removeRecords removes journal records and returns those that it could not remove.
func (v *VM) removeRecords(ctx context.Context, records []journalRecordKey) []journalRecordKey {
	var failed []journalRecordKey
	for _, record := range records {
		if err := v.journal.Remove(ctx, record.key, record.deadline); err != nil {
			failed = append(failed, record)
		}
	}
	return failed
}

// adoptRequests continues the journaled requests of receivers that are lost, until ctx is done.
func (v *VM) adoptRequests(ctx context.Context) error {
	silentSince := map[string]time.Time{}
	// Records under this VM's own name were written by an earlier process. The journal's list of receivers is read only
	// once, to find those that neither a report nor a registration names.
	pending := []string{v.self.VM}
	listed := false
	for ctx.Err() == nil {
		if !listed {
			names, err := v.journal.Receivers(ctx)
			listed = err == nil
			pending = append(pending, names...)
		}
		pending = v.adoptFrom(ctx, append(pending, v.lostReceivers(ctx, silentSince)...), silentSince)
		v.sleep(ctx, adoptionInterval)
	}
	return nil
}

// lostReceivers returns the receivers that have been silent for silentBeforeAdoption and whose requests this VM must adopt.
func (v *VM) lostReceivers(ctx context.Context, silentSince map[string]time.Time) []string {
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
	var lost []string
	slices.Sort(known)
	for _, name := range slices.Compact(known) {
		if slices.Contains(live, name) {
			continue
		}
		if _, ok := silentSince[name]; !ok {
			silentSince[name] = now
		}
		if now.Sub(silentSince[name]) >= silentBeforeAdoption && membership.Owner(name, live) == v.self.VM {
			lost = append(lost, name)
		}
	}
	return lost
}

// adoptFrom adopts the journaled requests of the named receivers. It returns the receivers whose records could not all be
// taken over.
func (v *VM) adoptFrom(ctx context.Context, names []string, silentSince map[string]time.Time) []string {
	var failed []string
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		_, silent := silentSince[name]
		if name != v.self.VM && !silent {
			// The receiver is live, or not known yet. It is checked again once it is silent.
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

// adopt continues a request from the journal, unless this VM already tracks it. If the deadline has passed, the outcome is
// unknown.
func (v *VM) adopt(record backlog.Record) {
	req := record.Request
	left := record.Deadline.Sub(v.Clock.Now())
	h, created := v.requests.getOrAdd(req, record.Digest, record.Deadline)
	if h == nil {
		return
	}
	v.requests.setJournalDeadline(h, record.Deadline)
	if !created {
		return
	}
	v.Metrics.Add(metrics.JournalAdopted, 1)
	klog.InfoS("Took over a request", "request", req.Key().String(), "time-left", left)
	if left <= 0 {
		v.requests.end(h, job.NewUnknown(req.Key(), job.CodeDeadlineExceeded, "the receiver was lost and the deadline passed"))
		return
	}
	req.Timeout = job.Duration(left)
	go v.process(trace.Inject(context.Background()), h, req, record.Digest)
}
