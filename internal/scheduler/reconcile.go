package scheduler

import (
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// RenewAnswered applies the lists that a worker answered with. sent is when they were
// requested: attempts that were confirmed before that must be listed.
func (s *Shard) RenewAnswered(now, sent Instant, id platform.WorkerID, lists fleet.RenewReply) {
	w, ok := s.workers[id]
	if !ok || lists.Verdict != fleet.Accepted {
		return
	}
	if w.isEarlierRun(lists.Started, sent) {
		s.renewalAnswered(now, sent, w, lists.Started)
		return
	}
	if lists.Started != w.run && lists.Started != 0 {
		if w.run != 0 {
			w.closeRun()
			s.handleRestart(now, w, lists.Started)
		} else {
			s.setFirstRun(now, w, lists.Started, lists.Clock)
		}
	}
	s.renewalAnswered(now, sent, w, lists.Started)
	if !w.listsRead() && w.runBefore != 0 && s.predecessorsMayOrder(now) {
		// Until now orders of earlier owners may have reached this run.
		w.stray.endAt = max(w.stray.endAt, now+s.longestLease())
	}
	w.clock.update(now, lists.Clock)
	s.markHeard(now, w)
	s.markReconciled(now, w)
	s.dirty.add(w)
	w.unresponsiveSince = 0
	w.ended.acknowledged = w.ended.sent
	w.setListsRead(now, sent, lists.Clock)
	w.stray.prove(w.listsReadAt)
	s.applyEnds(now, w, lists.Ended)
	w.ended.goesOn = lists.EndsGoOn()
	if !w.ended.goesOn {
		w.ended.through = now
	}
	s.reconcileAttempts(now, sent, w, lists.Running)
	s.observeLatencies(now, w)
	s.adjustThrottles(now, w)
	s.stopStalled(now, w)
}

// markReconciled records that a worker has accepted this owner's token. Its leases can
// be extended only from then on, so only then must the log tell later owners of the
// worker.
func (s *Shard) markReconciled(now Instant, w *workerState) {
	if !w.reconciled && w.previousClaim != 0 {
		s.takeover.workerReconciled(now)
		if !s.attemptsKnown(now, w) {
			w.earlierEndsAt = now
		}
	}
	w.reconciled = true
	if (!w.enrolled || w.recordedRun != w.run) && !w.enrolling {
		w.enrolling = true
		s.journal.enroll(w)
	}
}

// applyEnds applies listed ends, and then their effect on the tasks that share the worker.
func (s *Shard) applyEnds(now Instant, w *workerState, ends []fleet.Ended) {
	before := len(w.attempts)
	for _, e := range ends {
		s.applyEnd(now, w, e)
	}
	if len(w.attempts) != before {
		s.updateColocation(now, w)
	}
}

// applyEnd applies a listed end, unless that was done before. The worker's colocation is left as it
// was.
func (s *Shard) applyEnd(now Instant, w *workerState, e fleet.Ended) {
	if e.Number <= w.ended.applied {
		return
	}
	t := s.findTask(now, e.Task)
	a := w.attempts[e.Task]
	if a != nil && a.number != e.Attempt {
		a = nil
	}
	note := EndedNote{Task: e.Task, Attempt: e.Attempt, Worker: w.info.ID, Kind: e.Kind}
	if a != nil {
		s.startSeen(a, true)
		if a.startedAt != 0 {
			note.Ran = a.endedBy(now) - a.startedAt
		}
		if e.Kind == fleet.EndStopped && t != nil && !t.step.job.ended() {
			t.step.job.stats.addStop(note.Ran)
		}
		w.ended.through = max(w.ended.through, a.unendedAt)
		s.learnLength(a, e.Kind, note.Ran)
		s.updateWorkerHealth(now, a, e.Kind)
	}
	s.notes.Ended = append(s.notes.Ended, note)
	if a != nil {
		s.removeAttempt(now, a)
	}
	if _, known := s.jobs[e.Task.Job]; !known {
		s.heldEnds = append(s.heldEnds, heldEnd{Ended: e, worker: w.info.ID, listedAt: now, pending: w.ended.add(e.Number, notRecordable)})
		return
	}
	if t != nil {
		s.applyEndToTask(now, t, e)
		s.rescheduleTask(now, t)
	}
	w.ended.add(e.Number, s.journal.lastChange).job = s.jobs[e.Task.Job]
	s.journal.urgent = s.journal.urgent || s.journal.lastChange > s.journal.lastRecorded
}

// heldEnd is a listed end of an attempt whose job the shard does not have. Either the job
// has ended, or an earlier owner has started it and this owner has yet to read it. The
// end is not acknowledged meanwhile, so that a later owner gets it too, but later ends of
// the worker are applied. A worker lists a limited number of unacknowledged ends.
type heldEnd struct {
	fleet.Ended
	worker platform.WorkerID
	// listedAt is when the worker listed the end. The job was in the log by then.
	listedAt Instant
	pending  *pendingEnd
}

// applyHeldEnds applies the ends that were listed before their job was known.
func (s *Shard) applyHeldEnds(now Instant, j *jobState) {
	s.heldEnds = slices.DeleteFunc(s.heldEnds, func(h heldEnd) bool {
		if h.Task.Job != j.id {
			return false
		}
		if t := s.findTask(now, h.Task); t != nil {
			s.applyEndToTask(now, t, h.Ended)
			s.rescheduleTask(now, t)
		}
		h.pending.change, h.pending.job = s.journal.lastChange, j
		s.journal.urgent = s.journal.urgent || s.journal.lastChange > s.journal.lastRecorded
		return true
	})
}

// LogRead records that the shard was given every job that was in the log at the time
// through and has not ended.
func (s *Shard) LogRead(through Instant) {
	s.heldEnds = slices.DeleteFunc(s.heldEnds, func(h heldEnd) bool {
		if h.listedAt > through {
			return false
		}
		h.pending.change = s.journal.lastChange
		return true
	})
}

// updateWorkerHealth updates the worker's health after an attempt ended. A failure
// counts only if the task has not failed before: a task that also failed elsewhere says
// nothing about this worker.
func (s *Shard) updateWorkerHealth(now Instant, a *attempt, kind fleet.EndKind) {
	switch {
	case kind == fleet.EndDone:
		a.worker.health.recordSuccess()
	case kind == fleet.EndFailed && a.task != nil && len(a.task.failures) == 0:
		if a.worker.health.recordFailure(now, a.task.step.job.id) {
			s.noteSetAside(now, a.worker, "tasks fail")
		}
	}
}

// learnLength updates the length model with an attempt that ran undisturbed to
// completion.
func (s *Shard) learnLength(a *attempt, kind fleet.EndKind, ran time.Duration) {
	if a.task == nil || kind != fleet.EndDone || a.startedAt == 0 || a.checkpoint != "" || a.wasThrottled || a.adopted {
		return
	}
	r := a.task.step
	r.longestRun = max(r.longestRun, ran)
	s.lengths.Observe(r.kind, r.spec.Estimate(), ran)
}

// applyEndToTask updates a task after one of its attempts ended.
func (s *Shard) applyEndToTask(now Instant, t *task, e fleet.Ended) {
	s.markStarted(t.step.job)
	t.lastAttempt = max(t.lastAttempt, e.Attempt)
	if e.Checkpoint != "" && !t.done {
		t.saveCheckpoint(e.Checkpoint)
		if e.Kind != fleet.EndDone {
			t.step.job.progress.Checkpoints[t.number] = e.Checkpoint
		}
	}
	switch e.Kind {
	case fleet.EndDone:
		s.completeTask(now, t)
		s.stopAttempts(now, t, reasonDone)
	case fleet.EndFailed:
		s.countFailure(now, t, e.Attempt)
	}
}

// reconcileAttempts compares the attempts that a worker lists with those that the owner
// tracks.
func (s *Shard) reconcileAttempts(now, sent Instant, w *workerState, list []fleet.Running) {
	w.lists++
	for _, r := range list {
		if a := s.observeRunning(now, w, r); a != nil {
			a.listedIn = w.lists
			s.repeatOverdueStop(now, sent, a)
		}
	}
	for _, a := range w.attempts {
		if a.listedIn == w.lists || !a.mustBeListed(sent) {
			continue
		}
		if a.absentAt == 0 {
			a.absentAt, a.endUnread = now, a.run == w.run
		}
		if w.ended.through >= a.absentAt {
			s.loseAttempt(now, a, "not listed")
		}
	}
}

// endedBy returns the earlier of now and when the attempt is known to have ended: its end may be
// listed long after that.
func (a *attempt) endedBy(now Instant) Instant {
	if a.endUnread {
		return a.absentAt
	}
	return now
}

// mustBeListed reports whether lists requested at the time sent contain the attempt if it
// runs or may still start. If it has ended, its end may be behind those listed. Stop orders may
// stay unanswered for as long as the worker is up.
func (a *attempt) mustBeListed(sent Instant) bool {
	switch a.phase {
	case running, stopped:
		return a.confirmedAt < sent
	case stopping:
		return a.startUncertain && a.startExpiresAt < sent || a.run != a.worker.run && a.confirmedAt != 0 && a.confirmedAt < sent
	}
	return false
}

// stopOverdueMargin is added to the stop grace period before a stop counts as overdue. It
// covers a worker's clock that is 2% slow and a worker that is busy.
const stopOverdueMargin = 200 * time.Millisecond

// repeatOverdueStop orders a listed attempt to stop again if its worker accepted a stop
// order so long before the lists were requested that the attempt should have ended. A
// worker that has restarted since knows nothing of the order, and a start order may have
// reached it late.
func (s *Shard) repeatOverdueStop(now, sent Instant, a *attempt) {
	if a == nil || a.phase != stopped || sent < a.confirmedAt+s.bounds.StopGrace+stopOverdueMargin {
		return
	}
	a.phase, a.orderedAt = stopping, now
	s.issueStop(a.worker, a.ref, a.number)
}

// observeRunning applies one listed running attempt and returns it, or nil if a later attempt of
// the task is tracked. An untracked attempt was started by an earlier owner or by an order that
// was carried out late.
func (s *Shard) observeRunning(now Instant, w *workerState, r fleet.Running) *attempt {
	a := w.attempts[r.Task]
	if a != nil && a.number != r.Attempt {
		if a.number > r.Attempt {
			s.ensureStop(w, r.Task, r.Attempt)
			return nil
		}
		s.loseAttempt(now, a, "another attempt runs")
		a = nil
	}
	t := s.findTask(now, r.Task)
	if a == nil {
		a = s.adoptAttempt(now, w, t, r)
	}
	a.run, a.unendedAt, a.absentAt, a.endUnread = w.run, now, 0, false
	s.startSeen(a, false)
	if a.phase == starting {
		a.phase, a.confirmedAt = running, now
		a.startedAt = now
	}
	if t != nil {
		s.markStarted(t.step.job)
	}
	if r.Progress > a.progress {
		a.progressedAt = now
	}
	a.progress, a.load = r.Progress, r.Load
	s.markSettled(now, a)
	s.forgetCrashes(now, a)
	if t != nil && r.Checkpoint != "" {
		t.saveCheckpoint(r.Checkpoint)
	}
	return a
}

// saveCheckpoint stores the state from which a task resumes. The checkpoint of any
// member is valid for the whole gang, and all members have to resume from the same one.
func (t *task) saveCheckpoint(checkpoint string) {
	t.checkpoint = checkpoint
	if !t.step.spec.Gang {
		return
	}
	for _, member := range t.step.tasks {
		member.checkpoint = checkpoint
	}
}

// adoptAttempt tracks a running attempt that was not tracked, and stops it if it should
// not run.
func (s *Shard) adoptAttempt(now Instant, w *workerState, t *task, r fleet.Running) *attempt {
	a := &attempt{ref: r.Task, worker: w, number: r.Attempt, phase: running, confirmedAt: now, startedAt: now, cpuPercent: 100, appliedPercent: unknownPercent, adopted: true}
	if t != nil {
		a.linkTo(t, s)
	}
	s.trackAttempt(now, a)
	unwanted := t == nil || t.done || t.step.job.ended() || len(t.liveAttempts) > 1 && !t.step.spec.Speculative
	if unwanted {
		s.stopAttempt(now, a, reasonUnwanted)
	}
	return a
}

// claimOrphans links the orphans of a job that has become known to its tasks, which may
// not start elsewhere before they have ended. Their stop orders may be under way, so they
// stay on their way to stop.
func (s *Shard) claimOrphans(now Instant, j *jobState) {
	var claimed []*attempt
	for _, w := range s.workers {
		if w.orphans == 0 {
			continue
		}
		for _, a := range w.attempts {
			if a.task == nil && a.ref.Job == j.id {
				claimed = append(claimed, a)
			}
		}
	}
	for _, a := range claimed {
		t := s.findTask(now, a.ref)
		if t == nil {
			continue
		}
		s.untrackAttempt(now, a)
		a.linkTo(t, s)
		s.trackAttempt(now, a)
	}
}

// linkTo sets the task of an attempt that an earlier owner started. The attempt must not
// be tracked.
func (a *attempt) linkTo(t *task, s *Shard) {
	a.task = t
	t.seenRunning = true
	if t.step.job.progress.Settled[t.number] == a.number {
		a.ranBefore = longRunningSettleTime
	}
	a.size, a.image = t.step.spec.Reserved(), s.headroom.Image(t.step.spec.Image)
	s.markStarted(t.step.job)
	s.dequeue(t)
}

// dequeue removes a task from those that wait for a worker.
func (s *Shard) dequeue(t *task) {
	if !t.queued {
		return
	}
	t.queued = false
	r := t.step
	if i := slices.Index(r.startable, t); i >= 0 {
		r.startable = slices.Delete(r.startable, i, i+1)
	}
}

// maxClockDifference is how far the clocks of two owners may be apart: a later owner may be told
// of an occurrence before it is due by its own.
const maxClockDifference = time.Minute

// findTask returns the state of a task, or nil if the shard does not have it or its occurrence
// is over or not due.
func (s *Shard) findTask(now Instant, ref job.TaskRef) *task {
	j, ok := s.jobs[ref.Job]
	if !ok {
		return nil
	}
	spec := &j.sub.Spec
	if ref.Occurrence >= spec.OccurrenceCount() || ref.Step >= len(spec.Steps) || ref.Index >= spec.Steps[ref.Step].Tasks {
		return nil
	}
	if steps, held := j.findOccurrence(ref.Occurrence); held {
		return steps[ref.Step].tasks[ref.Index]
	}
	if s.nowMS != 0 && spec.DueMS(ref.Occurrence) > s.nowMS+maxClockDifference.Milliseconds() || !j.mayHold(ref.Occurrence) {
		return nil
	}
	return s.addOccurrence(now, j, ref.Occurrence)[ref.Step].tasks[ref.Index]
}
