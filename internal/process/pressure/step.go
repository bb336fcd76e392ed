package pressure

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/interference"
	"github.com/siskinvane/siskinvane/internal/process/place"
)

// throttleLevels are the processor limits in percent, from unthrottled to tightest.
var throttleLevels = [...]int{100, 50, 20}

// tighterThrottle returns the next level below percent, and whether there is one.
func tighterThrottle(percent int) (int, bool) {
	for _, level := range throttleLevels {
		if level < percent {
			return level, true
		}
	}
	return percent, false
}

// looserThrottle returns the next level above percent, at most 100.
func looserThrottle(percent int) int {
	for i := len(throttleLevels) - 1; i >= 0; i-- {
		if throttleLevels[i] > percent {
			return throttleLevels[i]
		}
	}
	return throttleLevels[0]
}

// step is the state of one call of Controller.Step.
type step struct {
	controller *Controller
	now        time.Time
	cache      *place.Cache
	model      InterferenceModel
	budget     *place.EvictionBudget
	actions    []Action
}

// handleVictim checks the mitigation in progress for a service, or starts one if the
// service misses its target.
func (s *step) handleVictim(id platform.TaskID, v *victim) {
	w := s.cache.Worker(v.worker)
	r := s.cache.Resident(id)
	if w == nil || r == nil || r.Worker != v.worker {
		return
	}
	if v.mitigation != nil && !s.checkMitigation(v, w) {
		return
	}
	if v.misses < missesToMitigate {
		return
	}
	for _, e := range s.model.RankAntagonists(v.class, w.Load(), w.Neighbours) {
		if s.isLikelyAntagonist(e, v, w) && s.mitigate(e, id, v, w) {
			return
		}
	}
	s.moveService(id, v, r)
}

// checkMitigation ends the mitigation in progress once there are enough measurements or
// verifyTimeout has passed, and reports whether it ended. If the mitigation did not
// help, its throttles are undone.
func (s *step) checkMitigation(v *victim, w *place.WorkerView) bool {
	m := v.mitigation
	if m.measurements < measurementsToVerify && s.now.Sub(m.startedAt) < verifyTimeout {
		return false
	}
	v.mitigation = nil
	if m.measurements == 0 || m.ratioAfter < 1 || m.ratioAfter < effectiveRatio*m.ratioBefore {
		return true
	}
	v.ineffectiveAt[m.antagonist] = s.now
	s.model.WeakenEstimate(v.class, m.antagonist, w.Load())
	for _, t := range m.undo {
		if r := s.cache.Resident(t.task); r != nil && r.Worker == v.worker {
			s.throttle(r, t.percent, fmt.Sprintf("the throttle of class %s did not help", m.antagonist))
		}
	}
	return true
}

// isLikelyAntagonist reports whether a class is likely to slow the victim: its tasks
// together are estimated to do so by at least minAntagonistSlowdown, and no recent
// mitigation against it was ineffective.
func (s *step) isLikelyAntagonist(e interference.Estimate, v *victim, w *place.WorkerView) bool {
	if at, ok := v.ineffectiveAt[e.Antagonist]; ok && s.now.Sub(at) < ineffectiveCooldown {
		return false
	}
	return math.Pow(e.Slowdown, interference.AmountOf(w.Neighbours, e.Antagonist)) >= minAntagonistSlowdown
}

// mitigate throttles the tasks of a class on the victim's worker, or moves one of them
// if all are at the tightest level. It reports whether it took any action.
func (s *step) mitigate(e interference.Estimate, id platform.TaskID, v *victim, w *place.WorkerView) bool {
	residents := evictableTasks(w, e.Antagonist)
	if len(residents) == 0 {
		return false
	}
	m := &mitigation{antagonist: e.Antagonist, startedAt: s.now, ratioBefore: v.ratio}
	reason := fmt.Sprintf("service task %s is at %.2f of its target, class %s slows it by %.2f", id, v.ratio, e.Antagonist, e.Slowdown)
	for _, r := range residents {
		if percent, ok := tighterThrottle(r.EffectiveCPUPercent()); ok {
			m.undo = append(m.undo, throttleSetting{r.Task, r.EffectiveCPUPercent()})
			s.throttle(r, percent, reason)
		}
	}
	if len(m.undo) == 0 && !s.move(residents[0], reason) {
		return false
	}
	v.mitigation = m
	v.misses = 0
	s.controller.ensureBackoff(v.worker).extend(s.now)
	return true
}

// moveService moves a replica for which no other mitigation is left, if the budget and
// moveCooldown allow.
func (s *step) moveService(id platform.TaskID, v *victim, r *place.Resident) {
	if r.Evicting || v.misses < missesToMoveService || s.now.Sub(v.movedAt) < moveCooldown || s.budget.Available() == 0 {
		return
	}
	s.budget.Spend(1)
	s.cache.MarkEvicting(id)
	v.movedAt = s.now
	v.misses = 0
	s.actions = append(s.actions, Action{
		Kind: MoveService, Task: id, Worker: r.Worker,
		Reason: fmt.Sprintf("at %.2f of its target, and no other act helped", v.ratio),
	})
}

// throttle sets the throttle of a task. 100 percent ends its throttling.
func (s *step) throttle(r *place.Resident, percent int, reason string) {
	s.cache.SetThrottle(r.Task, percent)
	if percent == throttleLevels[0] {
		delete(s.controller.throttledSince, r.Task)
	} else if _, ok := s.controller.throttledSince[r.Task]; !ok {
		s.controller.throttledSince[r.Task] = s.now
	}
	s.actions = append(s.actions, Action{Kind: Throttle, Task: r.Task, Worker: r.Worker, Percent: percent, Reason: reason})
}

// move evicts a batch task if the budget allows, and reports whether it did.
func (s *step) move(r *place.Resident, reason string) bool {
	if s.budget.Available() == 0 {
		return false
	}
	s.budget.Spend(1)
	s.cache.MarkEvicting(r.Task)
	delete(s.controller.throttledSince, r.Task)
	s.actions = append(s.actions, Action{Kind: Move, Task: r.Task, Worker: r.Worker, Reason: reason})
	return true
}

// evictableTasks returns the tasks of a class that may be moved off a worker, those
// with the latest checkpoint first, since they lose the least work.
func evictableTasks(w *place.WorkerView, class platform.ClassName) []*place.Resident {
	var list []*place.Resident
	w.EachResident(func(r *place.Resident) {
		if r.Class == class && r.Evictable() {
			list = append(list, r)
		}
	})
	sort.Slice(list, func(i, j int) bool {
		if !list[i].SavedAt.Equal(list[j].SavedAt) {
			return list[i].SavedAt.After(list[j].SavedAt)
		}
		return list[i].Task < list[j].Task
	})
	return list
}
