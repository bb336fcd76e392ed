package scheduler

import (
	"slices"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/headroom"
)

// placeGang starts all members of a gang or none. They share an attempt number, and
// make progress only once all of them run.
func (p *placement) placeGang(r *stepRun, image headroom.ImageID, candidates []*workerState) {
	if len(r.startable) < len(r.tasks) || slices.ContainsFunc(r.tasks, func(t *task) bool { return !p.safeToStart(t) }) {
		return
	}
	number := platform.Attempt(0)
	for _, t := range r.tasks {
		number = max(number, t.nextAttempt(p.shard))
	}
	for _, group := range p.gangGroups(r, candidates) {
		if members := p.assumeGang(r, image, group, number); members != nil {
			for _, a := range members {
				p.issueStart(a)
			}
			return
		}
	}
}

// gangGroups returns the sets of workers to try for a gang, best first: single racks
// for a gang that is slower across racks.
func (p *placement) gangGroups(r *stepRun, candidates []*workerState) [][]*workerState {
	if !r.spec.SameRack {
		return [][]*workerState{candidates}
	}
	racks := map[platform.RackID][]*workerState{}
	var names []platform.RackID
	for _, w := range candidates {
		rack := w.info.Rack
		if racks[rack] == nil {
			names = append(names, rack)
		}
		racks[rack] = append(racks[rack], w)
	}
	slices.SortFunc(names, func(a, b platform.RackID) int {
		switch {
		case a == r.spec.DataRack:
			return -1
		case b == r.spec.DataRack:
			return 1
		case a < b:
			return -1
		}
		return 1
	})
	groups := make([][]*workerState, 0, len(names)+1)
	for _, rack := range names {
		groups = append(groups, racks[rack])
	}
	return append(groups, candidates)
}

// assumeGang reserves resources for all members, or returns nil and reserves none.
func (p *placement) assumeGang(r *stepRun, image headroom.ImageID, candidates []*workerState, number platform.Attempt) []*attempt {
	members := make([]*attempt, 0, len(r.tasks))
	rated := p.rate(r, image, candidates)
	// The others must not take the only workers of these.
	tasks := slices.Clone(r.tasks)
	slices.SortStableFunc(tasks, func(a, b *task) int {
		switch boundA, boundB := p.shard.isBound(p.now, a), p.shard.isBound(p.now, b); {
		case boundA == boundB:
			return 0
		case boundA:
			return -1
		}
		return 1
	})
	for _, t := range tasks {
		w := rated.best(t)
		if w == nil {
			for _, a := range members {
				p.shard.unassume(p.now, a)
			}
			return nil
		}
		members = append(members, p.shard.assume(p.now, t, w, number))
		rated.update(w)
	}
	return members
}

// unassume undoes assume for an attempt whose start order was not sent.
func (s *Shard) unassume(now Instant, a *attempt) {
	queuedAt := a.task.queuedAt
	s.untrackAttempt(now, a)
	a.task.lastAttempt = min(a.task.lastAttempt, a.number-1)
	s.enqueue(queuedAt, a.task)
}

// stopGang stops the remaining members of a gang after one of them ended.
func (s *Shard) stopGang(now Instant, r *stepRun) {
	for _, t := range r.tasks {
		s.stopAttempts(now, t, reasonGangBroken)
	}
}
