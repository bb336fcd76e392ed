package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/scheduler/reservation"
)

const (
	// reserveAfter is how long a task finds no room before a worker is reserved for it, if its job
	// is in time then. A late one waits for reserveLateAfter: room that is kept for it is missing
	// where objectives can still be met.
	reserveAfter     = 100 * time.Millisecond
	reserveLateAfter = 3 * time.Second
	// shortageMemory is for how long after a batch task has found no room batch tasks are placed
	// so that large gaps stay whole.
	shortageMemory = 15 * time.Second
	// maxSearches is the number of steps for which a plan looks for workers to reserve, and
	// searchInterval the time after which it looks again for a step that got none.
	maxSearches    = 8
	searchInterval = 300 * time.Millisecond
	// minProgress is the progress, in percent, from which the pace of a task predicts its end.
	minProgress = 10
	// overrunFactor is the time that a task is expected to take which has run for longer than
	// predicted, as a fraction of the time that it has run.
	overrunFactor = 0.5
)

// reservations is the room kept for the steps of a shard that find none.
type reservations = reservation.Book[*workerState, *stepRun]

// isPlain reports whether the tasks of a step reserve processors for a limited time.
func isPlain(step *job.Step) bool { return !step.Fills && !step.LongRunning }

// inShortage reports whether batch tasks have lately found no room.
func (s *Shard) inShortage(now Instant) bool { return now < s.shortageUntil }

// updateReservations ends the reservations that are over. The waiting steps are tried on their workers,
// and on those whose reservation the last plan has used.
func (s *Shard) updateReservations(now Instant) {
	freed := s.unreserved
	s.unreserved = nil
	if s.reservations.Len() > 0 {
		freed = append(freed, s.reservations.Update(now, func(w *workerState) bool {
			return w.schedulable() && w.runCertain(now) && w.health.accepts(now, w)
		}, func(r *stepRun) int { return len(r.startable) })...)
	}
	for _, w := range freed {
		s.dirty.add(w)
	}
}

// useReservation ends the reservation of a step for which an attempt is about to start.
func (s *Shard) useReservation(a *attempt) {
	if s.reservations.Used(a.worker, a.task.step) {
		s.unreserved = append(s.unreserved, a.worker)
	}
}

// reserve keeps workers for the waiting tasks of a batch step that has found no room. All members
// of a gang get one, or none does.
func (p *placement) reserve(r *stepRun) {
	if !p.full || p.cutShort || !isPlain(r.spec) || r.advice != nil || !p.safeToStart(r.startable[0]) {
		return
	}
	p.noteShortage(r)
	book := p.shard.reservations
	waited := p.now - r.startable[0].queuedAt
	overdue := waited >= reserveLateAfter
	left := book.Left(len(p.shard.workers), overdue)
	wanted := len(r.startable) - book.Count(r)
	if wanted <= 0 || left <= 0 || waited < reserveAfter || !overdue && timelinessOf(r, p.shard.nowMS) != inTime || !book.MayReserve(p.now, r) || p.searches >= maxSearches {
		return
	}
	p.searches++
	chosen := p.chooseReserved(r, overdue, min(wanted, left))
	if len(chosen) == 0 {
		book.Rest(r, p.now+searchInterval)
	}
	p.addReservations(r, chosen)
}

// chooseReserved returns up to n workers to reserve for a step, for a gang one for each member or none.
func (p *placement) chooseReserved(r *stepRun, overdue bool, n int) []readyWorker {
	workers := p.schedulableWorkers(p.service(r))
	if !r.spec.Gang {
		return p.soonest(r, workers, overdue, n)
	}
	if n < len(r.tasks) {
		return nil
	}
	for _, group := range p.gangGroups(r, workers) {
		if chosen := p.soonest(r, group, overdue, n); len(chosen) == n {
			return chosen
		}
	}
	return nil
}

// noteShortage notes that batch tasks find no room, if no worker has room for those of a step.
func (p *placement) noteShortage(r *stepRun) {
	until := p.now + shortageMemory
	workers := p.schedulableWorkers(p.service(r))
	if p.shard.shortageUntil == until || len(workers) == 0 {
		return
	}
	if !slices.ContainsFunc(workers, func(w *workerState) bool { return r.spec.Reserved().Fits(w.free()) }) {
		p.shard.shortageUntil = until
	}
}

// readyWorker is a worker that can be reserved, with the time at which it is expected to have room.
type readyWorker struct {
	worker *workerState
	ready  Instant
}

// soonest returns up to n workers without a reservation that have room for a task of a step
// soonest, and early enough for its objective unless it is overdue.
func (p *placement) soonest(r *stepRun, workers []*workerState, overdue bool, n int) []readyWorker {
	size := r.spec.Reserved()
	var list []readyWorker
	for _, w := range workers {
		if w.batchAttempts == 0 || p.shard.reservations.On(w) != nil || !r.hasProperties(w) || !size.Fits(w.info.Capacity) {
			continue
		}
		ready, ok := reservation.ReadyAt(p.now, size, w.free(), p.ends(w))
		// What has room now was not chosen for another reason, or not for all members of a gang.
		if ok && (ready > p.now || r.spec.Gang) && (overdue || p.shard.meetsObjective(r, ready-p.now)) {
			list = append(list, readyWorker{w, ready})
		}
	}
	slices.SortStableFunc(list, func(a, b readyWorker) int { return cmp.Compare(a.ready, b.ready) })
	return list[:min(n, len(list))]
}

// meetsObjective reports whether a step is expected to meet its objective if it starts after a
// delay.
func (s *Shard) meetsObjective(r *stepRun, delay time.Duration) bool {
	return s.nowMS+(delay+r.criticalPath).Milliseconds() <= r.objectiveMS
}

func (p *placement) addReservations(r *stepRun, workers []readyWorker) {
	for _, c := range workers {
		p.shard.reservations.Add(p.now, reservation.Reservation[*workerState, *stepRun]{
			Worker: c.worker, Step: r, Size: r.spec.Reserved(), Priority: r.job.sub.Priority, Ready: c.ready,
		})
		p.shard.notes.Reserved = append(p.shard.notes.Reserved, ReservedNote{
			Job: r.job.id, Occurrence: r.occurrence, Step: r.stepIndex, Worker: c.worker.info.ID, Size: r.spec.Reserved(),
			Waited: p.now - r.startable[0].queuedAt, Ready: c.ready - p.now,
		})
	}
}

// leavesReserved reports whether a task of a step may start on a worker that may be reserved for
// others. A job that is starved goes ahead.
func (p *placement) leavesReserved(r *stepRun, w *workerState) bool {
	book := p.shard.reservations
	if book.Len() == 0 || p.starving {
		return true
	}
	return book.Allows(w, r, r.job.sub.Priority, r.spec.Reserved(), w.free(), func() Instant {
		if r.spec.LongRunning {
			return p.now + 2*reservation.Horizon
		}
		return p.now + p.shard.lengths.UpperBound(r.kind, r.spec.Estimate())
	})
}

// ends returns the expected ends of what runs on a worker, as far as they are known.
func (p *placement) ends(w *workerState) []reservation.End {
	ends := make([]reservation.End, 0, len(w.attempts))
	for _, a := range w.attempts {
		if at, ok := p.shard.expectedEnd(p.now, a); ok {
			ends = append(ends, reservation.End{At: at, Size: a.size})
		}
	}
	return ends
}

// expectedEnd returns when an attempt is expected to end, if that is known.
func (s *Shard) expectedEnd(now Instant, a *attempt) (Instant, bool) {
	switch {
	case a.phase == stopping || a.phase == stopped:
		return now + s.bounds.StopGrace, true
	case a.task == nil || a.isLongRunning() || a.cpuPercent < 100:
		return 0, false
	}
	if a.expectedRun == 0 {
		a.expectedRun = s.lengths.Predict(a.task.step.kind, a.task.step.spec.Estimate())
	}
	if a.phase != running {
		return now + a.expectedRun, true
	}
	if a.progress >= minProgress && a.checkpoint == "" && !a.adopted && a.progressedAt > a.startedAt {
		whole := (a.progressedAt - a.startedAt) * 100 / time.Duration(a.progress)
		return max(now, a.startedAt+whole), true
	}
	ran := now - a.startedAt
	return a.startedAt + max(a.expectedRun, ran+time.Duration(overrunFactor*float64(ran))), true
}
