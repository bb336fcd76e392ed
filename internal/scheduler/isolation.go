package scheduler

import "time"

// isolationPatience is how long a suspect waits for a worker on which no other task
// has just started. On a busy service there may be none.
const isolationPatience = time.Second

// mayStartBeside reports whether a task may start on a worker where others may have just
// started: a suspect must be the only one that has, unless that has held it for long, and
// never one of two that start together. The worker must have answered since the others count
// as settled, or it may be down by now.
func (p *placement) mayStartBeside(t *task, w *workerState) bool {
	if p.isolated(t, w) {
		return true
	}
	if !t.isSuspect() || p.now < w.soloUntil {
		return false
	}
	if t.heldSince == 0 {
		t.heldSince = p.now
	}
	return p.now >= t.heldSince+isolationPatience
}

// isolated reports whether no task has just started on a worker that could be taken for the
// cause of a crash of this one, or this one for the cause of its crash.
func (p *placement) isolated(t *task, w *workerState) bool {
	if t.isSuspect() {
		return w.heardAt >= w.placedAt+settleTime
	}
	return p.now >= w.soloUntil
}
