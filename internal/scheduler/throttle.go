package scheduler

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/headroom"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// Thresholds of latency headroom, which is 1 at the target.
const (
	// maxFloor is the headroom that a serving task must keep after a task is placed
	// beside it, and minFloor the headroom that it must keep if its neighbours take
	// almost none. In between the floor rises with the headroom that the neighbours
	// take, since only that much of a drop can be attributed to them.
	maxFloor = 1.2
	minFloor = 1.0
	// floorSlope is how much the floor rises per unit of headroom that the neighbours
	// take.
	floorSlope = 0.15
	// throttleTolerance is how far headroom may fall below the floor before neighbours
	// are throttled.
	throttleTolerance = 0.05
	// costDeviations is the number of standard deviations added to an estimated cost.
	costDeviations = 1.0
	// unmeasuredMargin is the fraction by which the effect of neighbours may be
	// underestimated that no measurement covers yet. On 66 workers, the serving tasks
	// that exceeded their target had lost a median of 1.7 times the headroom expected
	// for the neighbours of the last 0.7 s.
	unmeasuredMargin = 0.9
)

const (
	// minThrottleInterval is the least time between two changes on a worker: an order
	// takes 100 ms to take effect.
	minThrottleInterval = 200 * time.Millisecond
	// minThrottlePercent is the CPU limit below which a resumable task is moved instead
	// of throttled: it finishes sooner elsewhere.
	minThrottlePercent = 60
	// maxOverTarget is how long a serving task may be over its target before all
	// fillers beside it are halted. It is a third of the time that the platform's rules
	// allow, and three measurements.
	maxOverTarget = 1400 * time.Millisecond
	// maxHalted is how long a task may have next to no CPU before it moves to where there is
	// headroom for it, or goes on on trial.
	maxHalted = 3 * time.Second
	// haltedCheckInterval is the time between two looks for room for a halted task. The one
	// that moved has started elsewhere by then.
	haltedCheckInterval = time.Second
	// minRaisePercent is the least raise, in percentage points, that is worth an order.
	minRaisePercent = 20
)

// headroomCost returns a conservative estimate of the headroom that a CPU share of an
// image takes from a serving task.
func (s *Shard) headroomCost(victim *attempt, neighbour headroom.ImageID, share float64) float64 {
	mean, deviation := s.headroom.Cost(victim.image, neighbour, s.now)
	return (mean + costDeviations*deviation) * share
}

// headroomFloor returns the headroom that a serving task must keep if its neighbours
// take the given amount.
func headroomFloor(interference float64) float64 {
	return min(maxFloor, minFloor+floorSlope*interference)
}

// headroomAllows reports whether a task of a step can join a worker without bringing a
// serving task there too close to its target.
func (s *Shard) headroomAllows(now Instant, step *job.Step, image headroom.ImageID, w *workerState) bool {
	for _, a := range w.colocation.serving {
		if a.rejectsNeighbours(now) {
			return false
		}
	}
	return s.lackingHeadroom(now, step, image, w) <= 0
}

// lackingHeadroom returns the largest headroom that a serving task on a worker would lack
// beside a task of a step, or a value of at most zero if none would lack any.
func (s *Shard) lackingHeadroom(now Instant, step *job.Step, image headroom.ImageID, w *workerState) float64 {
	share := w.cpuShare(step, 100)
	lacking := math.Inf(-1)
	for _, a := range w.colocation.serving {
		cost := s.headroomCost(a, image, share)
		margin := unmeasuredMargin * s.unmeasuredCost(now, a, w)
		lacking = max(lacking, headroomFloor(a.interference+cost)-(a.headroom-cost-margin))
	}
	return lacking
}

// unmeasuredCost returns the headroom that recently started neighbours take from a
// serving task, as far as no measurement covers their whole effect. They are mostly
// tasks of one job and so of one image: if one takes more than expected, all do.
func (s *Shard) unmeasuredCost(now Instant, victim *attempt, w *workerState) float64 {
	total := 0.0
	for _, a := range w.colocation.fillers {
		if a.startedAt == 0 || now-a.startedAt < measurementWindow {
			total += s.headroomCost(victim, a.image, w.cpuShare(a.task.step.spec, a.cpuPercent))
		}
	}
	return total
}

// adjustThrottles throttles or stops the fillers that interfere with the worker's
// serving tasks, and raises the limit of a throttled one when there is headroom for it.
func (s *Shard) adjustThrottles(now Instant, w *workerState) {
	s.assessTrials(now, w)
	s.relieveHalted(now, w)
	if len(w.colocation.fillers) == 0 || now-w.lastThrottleChange < minThrottleInterval {
		return
	}
	changed := false
	withinTarget := true
	maxOver := maxOverTarget
	if w.onTrial(now) && w.harmedByFillers() {
		maxOver = maxOverOnTrial
	}
	for _, a := range w.colocation.serving {
		switch {
		case a.overBesideFillers(now) >= maxOver:
			withinTarget = false
			changed = s.haltFillers(now, w) || changed
		case !w.onTrial(now) && a.headroom < max(minFloor, headroomFloor(a.interference)-throttleTolerance):
			withinTarget = false
			changed = s.slowFillers(now, a, w) || changed
		}
	}
	if withinTarget {
		changed = s.raiseCPUPercent(w)
	}
	if changed {
		w.lastThrottleChange = now
		s.updateColocation(now, w)
	}
}

// relieveHalted moves or resumes the filler on a worker that has been halted for longest, once
// that is longer than maxHalted: the headroom need not come back. A task without checkpoints
// moves if another worker has room, one per haltedCheckInterval, so that several do not move
// to the same free place. Otherwise it goes on where it is, on trial.
func (s *Shard) relieveHalted(now Instant, w *workerState) {
	var longest *attempt
	for _, a := range w.colocation.fillers {
		if a.phase == running && a.haltedSince != 0 && (longest == nil || a.haltedSince < longest.haltedSince) {
			longest = a
		}
	}
	if longest == nil || now-longest.haltedSince < maxHalted {
		return
	}
	if step := longest.task.step.spec; !step.LongRunning && !step.Gang {
		if now-s.haltedCheckedAt >= haltedCheckInterval {
			s.haltedCheckedAt = now
			if s.fitsElsewhere(now, longest) {
				s.stopAttempt(now, longest, reasonInterference)
				return
			}
		} else if now-longest.haltedSince < 2*maxHalted {
			return
		}
	}
	if w.mayTry(now, false) && s.trialsLeft(now) > 0 && s.setCPUPercent(longest, 100) {
		s.beginTrial(now, longest)
		s.updateColocation(now, w)
	}
}

// fitsElsewhere reports whether the task of an attempt could start on another worker.
func (s *Shard) fitsElsewhere(now Instant, a *attempt) bool {
	p, r := &placement{shard: s, now: now}, a.task.step
	return slices.ContainsFunc(p.schedulableWorkers(p.service(r)), func(w *workerState) bool {
		return w != a.worker && p.accepts(r, a.image, w)
	})
}

// haltFillers limits all fillers on a worker to no CPU, regardless of their estimated
// cost, because a serving task has been over its target for too long. Resumable ones
// are stopped, so that they continue elsewhere.
func (s *Shard) haltFillers(now Instant, w *workerState) bool {
	s.endTrial(now, w)
	changed := false
	for _, a := range slices.Clone(w.colocation.fillers) {
		if a.phase != running || a.cpuPercent == 0 {
			continue
		}
		s.setCPUPercent(a, 0)
		if a.task.step.spec.Checkpointing && a.mayStop() {
			s.stopAttempt(now, a, reasonInterference)
		}
		changed = true
	}
	return changed
}

// slowFillers throttles or stops the fillers beside a serving task until it is expected
// to have enough headroom. Tasks of jobs that cannot meet their objective any more go
// first, then those with the highest cost.
func (s *Shard) slowFillers(now Instant, victim *attempt, w *workerState) bool {
	lacking := headroomFloor(victim.interference) - victim.headroom
	costOf := func(a *attempt) float64 {
		if a.phase != running {
			return 0
		}
		return s.headroomCost(victim, a.image, w.cpuShare(a.task.step.spec, a.cpuPercent))
	}
	byPriority := slices.Clone(w.colocation.fillers)
	slices.SortStableFunc(byPriority, func(a, b *attempt) int {
		return cmp.Or(
			cmp.Compare(timelinessOf(b.task.step, s.nowMS), timelinessOf(a.task.step, s.nowMS)),
			cmp.Compare(costOf(b), costOf(a)),
		)
	})
	changed := false
	for _, a := range byPriority {
		cost := costOf(a)
		if lacking <= 0 || cost <= 0 {
			break
		}
		cut := min(cost, lacking)
		lacking -= cut
		percent := int(float64(a.cpuPercent) * (1 - cut/cost))
		if percent < minThrottlePercent && a.task.step.spec.Checkpointing && a.phase == running && a.mayStop() {
			s.stopAttempt(now, a, reasonInterference)
		} else {
			s.setCPUPercent(a, percent)
		}
		changed = true
	}
	return changed
}

// raiseCPUPercent raises the CPU limit of one throttled task as far as the headroom
// allows.
func (s *Shard) raiseCPUPercent(w *workerState) bool {
	for _, a := range w.colocation.fillers {
		if a.cpuPercent == 100 || a.phase != running {
			continue
		}
		raise := 100 - a.cpuPercent
		for _, victim := range w.colocation.serving {
			if fullCost := s.headroomCost(victim, a.image, w.cpuShare(a.task.step.spec, 100)); fullCost > 0 {
				raise = min(raise, int(100*(victim.headroom-headroomFloor(victim.interference+fullCost))/fullCost))
			}
		}
		if raise >= minRaisePercent || raise > 0 && a.cpuPercent+raise == 100 {
			return s.setCPUPercent(a, a.cpuPercent+raise)
		}
	}
	return false
}

// setCPUPercent sets the CPU limit that a running attempt should have and reports
// whether it changed. issueThrottleOrders sends the order.
func (s *Shard) setCPUPercent(a *attempt, percent int) bool {
	percent = max(0, min(100, percent))
	if percent == a.cpuPercent || a.phase != running {
		return false
	}
	if a.cpuPercent == 0 {
		a.resumedAt = s.now
	}
	a.cpuPercent, a.wasThrottled = percent, true
	switch {
	case percent >= minRaisePercent:
		a.haltedSince = 0
	case a.haltedSince == 0:
		a.haltedSince = s.now
	}
	s.notes.Throttled = append(s.notes.Throttled, ThrottledNote{Task: a.ref, Worker: a.worker.info.ID, Percent: percent})
	return true
}

// throttleRepeatInterval is the time between two orders for the same limit while an
// earlier order may still be carried out late.
const throttleRepeatInterval = time.Second

// unknownPercent means that the limit applied by the worker is not known.
const unknownPercent = -1

// issueThrottleOrders sends orders for the limits that the worker has not applied. An
// attempt has at most one order in flight: of two, the earlier might be carried out
// last.
func (s *Shard) issueThrottleOrders(now Instant, w *workerState) {
	for _, a := range w.colocation.fillers {
		upToDate := a.appliedPercent == a.cpuPercent && (now >= a.throttleUncertainUntil || now < a.throttleRepeatAt)
		refusedLately := a.appliedPercent == unknownPercent && now < a.throttleRetryAt
		if a.phase != running || a.throttlePending || upToDate || refusedLately {
			continue
		}
		a.throttlePending = true
		s.pending.Throttles = append(s.pending.Throttles, ThrottleAction{
			Worker: w.info,
			Order:  fleet.ThrottleOrder{Task: a.ref, Attempt: a.number, Percent: a.cpuPercent, Token: s.epoch},
		})
	}
}

// ThrottleAnswered handles the answer to a throttle order.
func (s *Shard) ThrottleAnswered(now Instant, action ThrottleAction, answer fleet.Answer, err error) {
	w, ok := s.workers[action.Worker.ID]
	if !ok {
		return
	}
	a := w.attempts[action.Order.Task]
	if a == nil || a.number != action.Order.Attempt {
		return
	}
	s.dirty.add(w)
	a.throttlePending = false
	a.appliedPercent = action.Order.Percent
	if err != nil || answer.Verdict != fleet.Accepted {
		a.appliedPercent = unknownPercent
	}
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		a.throttleUncertainUntil = now + maxOrderDelay
	}
	a.throttleRepeatAt, a.throttleRetryAt = now+throttleRepeatInterval, now+minThrottleInterval
}
