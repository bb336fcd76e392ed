package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// timeliness is what an occurrence of a job can still achieve.
type timeliness uint8

const (
	// inTime: its latency objective can be met.
	inTime timeliness = iota
	// noDeadline: long-running work; it gets what batch work does not need.
	noDeadline
	// late: it can finish within lateFactor times its objective.
	late
	// overdue: it cannot even finish late.
	overdue
)

const (
	// lateFactor is the multiple of its objective within which a job still counts: the
	// platform's payoff rules allow three.
	lateFactor = 3
	// criticalPathFactor is the fraction of the expected critical path that is assumed
	// to be needed, since lengths are known to a factor of two.
	criticalPathFactor = 0.5
)

// timelinessOf returns what can still be achieved if the step starts now.
func timelinessOf(r *stepRun, nowMS int64) timeliness {
	if r.spec.LongRunning {
		return noDeadline
	}
	end := nowMS + int64(criticalPathFactor*float64(r.criticalPath.Milliseconds()))
	switch {
	case end <= r.objectiveMS:
		return inTime
	case end <= r.beginMS+lateFactor*(r.objectiveMS-r.beginMS):
		return late
	}
	return overdue
}

// compareSteps orders waiting steps by priority, then timeliness, then the time that
// the occurrence was submitted or due, then the time left before it must start.
func compareSteps(a, b *stepRun, nowMS int64) int {
	slack := func(r *stepRun) int64 { return r.objectiveMS - nowMS - r.criticalPath.Milliseconds() }
	return cmp.Or(
		cmp.Compare(a.job.sub.Priority, b.job.sub.Priority),
		cmp.Compare(timelinessOf(a, nowMS), timelinessOf(b, nowMS)),
		cmp.Compare(a.beginMS, b.beginMS),
		cmp.Compare(slack(a), slack(b)),
	)
}

// The order of compareSteps alone would keep overdue jobs and jobs of low priority waiting
// for as long as others arrive, when start orders or the headroom of serving tasks are
// scarce. A job with nothing running therefore gets one task ahead of the others.
const (
	// starvedAfter is how long a long-running task may wait before it goes ahead of the others,
	// and idleAfter how long nothing of another job may run before one of its tasks does. The
	// platform's rules allow 3 s while there is room, and in a backlog of short tasks a job runs
	// out of tasks again and again: the time until an end is noticed and the start order is
	// answered comes on top.
	starvedAfter = 2 * time.Second
	idleAfter    = 1200 * time.Millisecond
	// startsPerStarved is the number of start orders of which one is for starved steps.
	startsPerStarved = 4
	// heldUpAfter replaces starvedAfter for long-running tasks while start orders hold tasks
	// up: each of them, not only one of a job, needs an order within the 3 s.
	heldUpAfter = time.Second
	// starvedAtLoadAfter replaces idleAfter for jobs that wait while half of the CPU or more
	// is reserved. They are overdue by then, and others can still be in time, but their wait
	// must end.
	starvedAtLoadAfter = 10 * time.Second
	// starvedAtLoadInterval is the time between two starts of such jobs, for each worker.
	starvedAtLoadInterval = 8 * time.Second
	// startsPerHeldUp replaces startsPerStarved while start orders hold tasks up: long-running
	// and overdue work that was accepted gets no other orders then.
	startsPerHeldUp = 2
)

// starvedSince returns since when a step with waiting tasks has been starved of workers,
// and whether it is starved now. heldUp is set while start orders hold tasks up.
func (r *stepRun) starvedSince(now Instant, heldUp bool) (Instant, bool) {
	if len(r.startable) == 0 || r.job.liveAttempts > 0 && !r.spec.LongRunning {
		return 0, false
	}
	since := r.startable[0].queuedAt
	switch {
	case !r.spec.LongRunning:
		since = max(since, r.job.idleSince)
		return since, now-since >= idleAfter
	case heldUp:
		return since, now-since >= heldUpAfter
	}
	return since, now-since >= starvedAfter
}

// placeStarved starts one task of each starved step, of those that have waited longest
// first, with a share of the start orders.
func (p *placement) placeStarved() {
	s := p.shard
	perStarved, heldUp := startsPerStarved, s.startOrders.holdUp
	if heldUp {
		perStarved = startsPerHeldUp
	}
	s.startsInOrder = min(s.startsInOrder, perStarved)
	share := (s.startsInOrder + p.startsLeft) / perStarved
	if share == 0 {
		return
	}
	var starved []starvedStep
	for _, r := range s.waiting.steps {
		if since, ok := r.starvedSince(p.now, heldUp); ok && (r.spec.LongRunning || p.mostlyFree(r) || p.now-since >= starvedAtLoadAfter) {
			starved = append(starved, starvedStep{r, since})
		}
	}
	slices.SortStableFunc(starved, func(a, b starvedStep) int { return cmp.Compare(a.since, b.since) })
	for _, r := range starved {
		if share <= 0 || p.startsLeft <= 0 {
			break
		}
		atLoad := !r.step.spec.LongRunning && !p.mostlyFree(r.step)
		if atLoad && p.now < s.nextStarvedAtLoad {
			continue
		}
		issued := p.placeOnce(r.step)
		if issued == 0 {
			starved := p.now - r.since
			if atLoad {
				starved = 0
			}
			issued = p.placeOnTrial(r.step, starved)
		}
		if atLoad && issued > 0 {
			s.nextStarvedAtLoad = p.now + starvedAtLoadInterval/time.Duration(max(1, len(s.workers)))
		}
		share -= issued
	}
}

// mostlyFree reports whether under half of the CPU is reserved on the workers of a step's
// service. Where it is not, the jobs that can still be in time need it more than those that
// cannot.
func (p *placement) mostlyFree(r *stepRun) bool {
	service := p.service(r)
	free, known := p.freeServices[service]
	if !known {
		var reserved, capacity int64
		for _, w := range p.schedulableWorkers(service) {
			reserved += w.reserved.MilliCPU
			capacity += w.info.Capacity.MilliCPU
		}
		free = 2*reserved < capacity
		p.freeServices[service] = free
	}
	return free
}

type starvedStep struct {
	step  *stepRun
	since Instant
}

// placeOnce tries a step with one start order and returns the number of orders that it
// took: the members of a gang start together.
func (p *placement) placeOnce(r *stepRun) int {
	left := p.startsLeft
	p.startsLeft, p.starving = 1, true
	p.placeStep(r)
	p.starving = false
	issued := 1 - p.startsLeft
	p.startsLeft = left - issued
	// The steps that this leaves untried are tried in their order, which comes next.
	p.cutShort = false
	if issued > 0 {
		p.shard.startsInOrder = 0
	} else {
		p.unplaceable[r] = true
	}
	return issued
}
