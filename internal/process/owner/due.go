package owner

import (
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/lease"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/task"
)

// dueWorkers returns the workers with a due report, renewal or throttle call,
// sorted by ID.
func (o *Owner) dueWorkers(t term) []platform.WorkerID {
	now := o.config.Now()
	var ids []platform.WorkerID
	o.follower.View(func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		for id, w := range o.workers {
			if w.reportDue(now, o.expectsTransition(id)) || w.renewalDue(now) || len(o.dueThrottles(t, w)) > 0 {
				ids = append(ids, id)
			}
		}
	})
	slices.Sort(ids)
	return ids
}

// workersWithNewWork returns the workers that have an assigned task or a task
// that evictions is about to end, sorted by ID.
func (o *Owner) workersWithNewWork(evictions []record.Record) []platform.WorkerID {
	seen := map[platform.WorkerID]bool{}
	var ids []platform.WorkerID
	add := func(t *task.Task) bool {
		if !seen[t.Worker] {
			seen[t.Worker] = true
			ids = append(ids, t.Worker)
		}
		return true
	}
	o.follower.View(func() {
		o.table.EachInState(record.Assigned, add)
		for _, r := range evictions {
			if t := o.table.Task(r.Transition.Task); t != nil && t.Active() {
				add(t)
			}
		}
	})
	slices.Sort(ids)
	return ids
}

// expectsTransition reports whether an attempt on the worker is expected to
// change its state. The caller is inside follower.View.
func (o *Owner) expectsTransition(id platform.WorkerID) bool {
	expected := false
	o.table.EachOnWorker(id, func(t *task.Task) bool {
		expected = t.State != record.Running || t.Cancelled
		return !expected
	})
	return expected
}

// reportDue reports whether w's report should be fetched now.
// transitionPending is set when an attempt on w is expected to change its state.
// The caller holds mu.
func (w *workerState) reportDue(now time.Time, transitionExpected bool) bool {
	if now.Sub(w.lastReportAttempt) < ReportPeriod {
		return false
	}
	c := &w.contact
	if c.Report == nil || c.Silent(now) || transitionExpected || c.Report.Generation == 0 {
		return true
	}
	return c.Generation != c.Report.Generation || now.Sub(c.ReportedAt) >= IdleReportPeriod
}

// renewalDue reports whether w's leases should be renewed now. The first renewal
// under a claim is retried more often, since it fences off earlier owners. The
// caller holds mu.
func (w *workerState) renewalDue(now time.Time) bool {
	since := now.Sub(w.lastRenewalAttempt)
	return since >= lease.RenewPeriod || (w.contact.FencedAt.IsZero() && since >= ReportPeriod)
}

// renewalGeneration returns the generation that identifies the set of attempts
// to renew, or zero if the renewal has to list them. The caller holds mu.
func (w *workerState) renewalGeneration(actions lease.Actions) uint64 {
	r := w.contact.Report
	if r == nil || r.Generation != w.contact.Generation || !actions.RenewsAllRunning(r) {
		return 0
	}
	return r.Generation
}

// backingOff reports whether a call to w failed within the last ReportPeriod.
// The caller holds mu.
func (w *workerState) backingOff(now time.Time) bool {
	return now.Sub(w.lastCallFailure) < ReportPeriod
}
