package scheduler

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/headroom"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// Levels of latency headroom, which is 1 at the target.
const (
	// placeFloor is what a serving task must keep after a task was placed beside
	// it, and leastFloor what it must keep if its neighbours take next to
	// nothing. In between the floor rises with what they take: that much of a
	// fall is put down to them.
	placeFloor = 1.2
	leastFloor = 1.0
	// floorSlope is how the floor rises with what the neighbours take.
	floorSlope = 0.15
	// paceMargin is how far below the floor neighbours are paced.
	paceMargin = 0.05
	// caution is how many standard deviations of a cost are added to it.
	caution = 1.0
	// unmeasuredDoubt is the part by which the effect of neighbours may be
	// underestimated of which no figure tells yet. On a day of 66 workers the serving
	// tasks that went over their target had lost 1.7 times what was expected of the
	// neighbours of the last 0.7 s, half of them more.
	unmeasuredDoubt = 0.9
)

const (
	// pacePeriod is the least time between two changes on a worker: an order
	// takes 100 ms to show.
	pacePeriod = 200 * time.Millisecond
	// leastPace is the share in percent below which a task that can resume is
	// moved instead: elsewhere it is done sooner.
	leastPace = 60
	// patience is how long a serving task may be over its target until all its
	// neighbours that fill are halted. It is a third of the time that the
	// platform's rules allow, and three measurements.
	patience = 1400 * time.Millisecond
	// leastRise is the least rise of a share that is worth an order, in percent.
	leastRise = 20
)

// cost returns the headroom that a share of an image takes from a serving task,
// at the cautious end.
func (s *Shard) cost(victim *attempt, culprit headroom.Image, share float64) float64 {
	mean, deviation := s.headroom.Cost(victim.image, culprit, s.now)
	return (mean + caution*deviation) * share
}

// floor returns the headroom that a serving task must keep from which its
// neighbours take the given amount.
func floor(taken float64) float64 { return min(placeFloor, leastFloor+floorSlope*taken) }

// harmless reports whether a task of a step can join a worker without bringing a
// serving task there too close to its target.
func (s *Shard) harmless(now Instant, step *job.Step, image headroom.Image, w *workerState) bool {
	share := w.share(step, 100)
	for _, a := range w.mix.serving {
		if a.pressed(now) {
			return false
		}
		cost := s.cost(a, image, share)
		doubt := unmeasuredDoubt * s.unmeasured(now, a, w)
		if a.room-cost-doubt < floor(a.taken+cost) {
			return false
		}
	}
	return true
}

// unmeasured returns the headroom that the neighbours of a serving task take that came
// so late that no figure tells of their whole effect. They mostly are tasks of one job
// and so of one image: if one takes more than expected, all do.
func (s *Shard) unmeasured(now Instant, victim *attempt, w *workerState) float64 {
	total := 0.0
	for _, a := range w.mix.fillers {
		if a.begun == 0 || now-a.begun < measuredOver {
			total += s.cost(victim, a.image, w.share(a.task.step.step, a.percent))
		}
	}
	return total
}

// pace slows what disturbs the serving tasks of a worker, and lets it go on when
// there is headroom for it.
func (s *Shard) pace(now Instant, w *workerState) {
	if len(w.mix.fillers) == 0 || now-w.paced < pacePeriod {
		return
	}
	changed := false
	calm := true
	for _, a := range w.mix.serving {
		switch {
		case a.over != 0 && now-a.over >= patience:
			calm = false
			changed = s.halt(now, w) || changed
		case a.room < max(leastFloor, floor(a.taken)-paceMargin):
			calm = false
			changed = s.slow(now, a, w) || changed
		}
	}
	if calm {
		changed = s.quicken(w)
	}
	if changed {
		w.paced = now
		s.remix(now, w)
	}
}

// halt stops all fillers on a worker, whatever the model holds against them: a
// serving task has been over its target for too long.
func (s *Shard) halt(now Instant, w *workerState) bool {
	changed := false
	for _, a := range slices.Clone(w.mix.fillers) {
		if a.phase != running || a.percent == 0 {
			continue
		}
		s.setPace(a, 0)
		if a.task.step.step.Checkpointing {
			s.stop(now, a, reasonHarm)
		}
		changed = true
	}
	return changed
}

// slow paces or stops the fillers beside a serving task until it is expected to have
// enough headroom. Tasks of jobs that cannot be in time any more go first, then those
// that cost most.
func (s *Shard) slow(now Instant, victim *attempt, w *workerState) bool {
	lacking := floor(victim.taken) - victim.room
	taken := func(a *attempt) float64 {
		if a.phase != running {
			return 0
		}
		return s.cost(victim, a.image, w.share(a.task.step.step, a.percent))
	}
	order := slices.Clone(w.mix.fillers)
	slices.SortStableFunc(order, func(a, b *attempt) int {
		return cmp.Or(
			cmp.Compare(chanceOf(b.task.step, s.nowMS), chanceOf(a.task.step, s.nowMS)),
			cmp.Compare(taken(b), taken(a)),
		)
	})
	changed := false
	for _, a := range order {
		part := taken(a)
		if lacking <= 0 || part <= 0 {
			break
		}
		cut := min(part, lacking)
		lacking -= cut
		percent := int(float64(a.percent) * (1 - cut/part))
		if percent < leastPace && a.task.step.step.Checkpointing && a.phase == running {
			s.stop(now, a, reasonHarm)
		} else {
			s.setPace(a, percent)
		}
		changed = true
	}
	return changed
}

// quicken raises the share of one paced task as far as the headroom allows.
func (s *Shard) quicken(w *workerState) bool {
	for _, a := range w.mix.fillers {
		if a.percent == 100 || a.phase != running {
			continue
		}
		rise := 100 - a.percent
		for _, victim := range w.mix.serving {
			if whole := s.cost(victim, a.image, w.share(a.task.step.step, 100)); whole > 0 {
				rise = min(rise, int(100*(victim.room-floor(victim.taken+whole))/whole))
			}
		}
		if rise >= leastRise || rise > 0 && a.percent+rise == 100 {
			return s.setPace(a, a.percent+rise)
		}
	}
	return false
}

// setPace sets the share of a running attempt; orderPaces gives the order.
func (s *Shard) setPace(a *attempt, percent int) bool {
	percent = max(0, min(100, percent))
	if percent == a.percent || a.phase != running {
		return false
	}
	a.percent, a.slowed = percent, true
	s.notes.Paced = append(s.notes.Paced, PacedNote{Task: a.ref, Worker: a.worker.info.ID, Percent: percent})
	return true
}

// paceRepeat is the time between two orders for the same share while an earlier
// order may still be carried out late.
const paceRepeat = time.Second

// unknownPace is the share of an attempt of which it is not known.
const unknownPace = -1

// orderPaces gives the orders for the shares that the worker does not know. An
// attempt has one order under way at a time: of two, the earlier might be carried
// out last.
func (s *Shard) orderPaces(now Instant, w *workerState) {
	for _, a := range w.mix.fillers {
		settled := a.told == a.percent && (now >= a.paceDoubt || now < a.paceAgain)
		if a.phase != running || a.telling || settled {
			continue
		}
		a.telling = true
		s.pending.Paces = append(s.pending.Paces, PaceAction{
			Worker: w.info,
			Order:  fleet.PaceOrder{Task: a.ref, Attempt: a.number, Percent: a.percent, Token: s.epoch},
		})
	}
}

// PaceAnswered takes the answer to an order to pace in.
func (s *Shard) PaceAnswered(now Instant, action PaceAction, answer fleet.Answer, err error) {
	w, ok := s.workers[action.Worker.ID]
	if !ok {
		return
	}
	a := w.attempts[action.Order.Task]
	if a == nil || a.number != action.Order.Attempt {
		return
	}
	s.agenda.change(w)
	a.telling = false
	a.told = action.Order.Percent
	if err != nil {
		a.told = unknownPace
	}
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		a.paceDoubt = now + lateOrders
	}
	a.paceAgain = now + paceRepeat
}
