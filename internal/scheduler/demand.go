package scheduler

import (
	"math"
	"time"
)

const (
	// maxStartDelay is how long start orders may be expected to hold up a task of a job
	// that is accepted: half of the 3 s that the platform's rules allow. The estimate leaves
	// out the job's own tasks, and long-running work comes behind work with an objective.
	maxStartDelay = 1500 * time.Millisecond
	// minHoldUp is how long start orders have to hold tasks up before their rate is known:
	// the window of orders grows and shrinks within this time.
	minHoldUp = time.Second
	// maxPlanGap is the time without a plan after which the rate is no longer known: an
	// owner that may not act makes no plans.
	maxPlanGap = 5 * PlanPeriod
	// demandInterval is the time that one element of a startDemand stands for.
	demandInterval = 500 * time.Millisecond
	// demandIntervals bounds how far ahead start orders are counted, to 30 s: what comes
	// later is known too roughly.
	demandIntervals = 60
)

// startDemand counts the tasks that need a start order by when they are expected to become
// startable, in intervals from now on.
type startDemand [demandIntervals]int

// add counts tasks that become startable after the given time.
func (d *startDemand) add(after time.Duration, tasks int) {
	if i := int(after / demandInterval); i < demandIntervals {
		d[i] += tasks
	}
}

// addSteps counts the tasks of an occurrence that need a start order. When a step becomes
// startable is estimated without the time for which the steps before it wait.
func (d *startDemand) addSteps(s *Shard, steps []*stepRun) {
	ends := make([]time.Duration, len(steps))
	for i, r := range steps {
		if r.remaining == 0 {
			continue
		}
		var begin time.Duration
		for _, dependency := range r.spec.DependsOn {
			begin = max(begin, ends[dependency])
		}
		ends[i] = begin + s.lengths.Predict(r.kind, r.spec.Estimate())
		if r.blockedBy > 0 {
			d.add(begin, r.remaining)
		} else {
			d.add(0, len(r.startable))
		}
	}
}

// delay returns the longest time for which a task has to wait if perSecond start orders go
// out, in the order in which the tasks become startable.
func (d *startDemand) delay(perSecond float64) time.Duration {
	longest, tasks := time.Duration(0), 0
	for i, n := range d {
		tasks += n
		clearedAt := time.Duration(float64(tasks) / perSecond * float64(time.Second))
		longest = max(longest, clearedAt-time.Duration(i)*demandInterval)
	}
	return longest
}

// startOrders measures how many start orders go out while they hold tasks up.
type startOrders struct {
	// holdUp is set while each plan leaves tasks to a later one because no start orders
	// are left, and heldUpSince is the time of the first such plan.
	holdUp      bool
	heldUpSince Instant
	// plannedAt is the time of the last plan.
	plannedAt Instant
	// rate counts the orders since heldUpSince.
	rate startRate
	// notedAt is the time of the last note on a step that they hold up.
	notedAt Instant
	// demand is what the jobs need. It is kept while holdUp is set.
	demand startDemand
}

// planned updates the measurement by a plan that has issued start orders, and reports
// whether start orders hold tasks up.
func (o *startOrders) planned(now Instant, issued int, heldUp bool) bool {
	if heldUp && (!o.holdUp || now-o.plannedAt > maxPlanGap) {
		o.heldUpSince, o.rate = now, startRate{at: now}
	}
	o.holdUp, o.plannedAt = heldUp, now
	for range issued {
		o.rate.add(now)
	}
	return heldUp
}

// perSecond returns the start orders per second, or false if they hold nothing up or have
// not done so for long enough to be measured.
func (o *startOrders) perSecond(now Instant) (float64, bool) {
	measured := now - o.heldUpSince
	if !o.holdUp || measured < minHoldUp || now-o.plannedAt > maxPlanGap {
		return 0, false
	}
	// Of the weight of an endless past, this much falls into the measured time.
	weight := 1 - math.Exp(-measured.Seconds()/startRateWindow.Seconds())
	// Below one order per window the rate is not known, but it is low.
	return max(o.rate.perSecond(now)/weight, 1/startRateWindow.Seconds()), true
}

// updateStartDemand counts the start orders that the accepted jobs need.
func (s *Shard) updateStartDemand() {
	s.startOrders.demand = startDemand{}
	for _, j := range s.jobs {
		s.addStartDemand(j)
	}
}

// addStartDemand counts the start orders that a job needs. Several occurrences that have missed
// their objective need one: they yield to jobs that can meet theirs while a task of the job runs.
func (s *Shard) addStartDemand(j *jobState) {
	if !s.startOrders.holdUp || j.ended() {
		return
	}
	missed := 0
	for _, o := range j.occurrences {
		if t := timelinessOf(o.steps[0], s.nowMS); len(j.occurrences) > 1 && (t == late || t == overdue) {
			missed = 1
			continue
		}
		s.startOrders.demand.addSteps(s, o.steps)
	}
	s.startOrders.demand.add(0, missed)
}

// startDelay returns how long start orders are expected to hold up tasks, or zero if they
// do not limit what is started.
func (s *Shard) startDelay(now Instant) time.Duration {
	perSecond, measured := s.startOrders.perSecond(now)
	if !measured {
		return 0
	}
	return s.startOrders.demand.delay(perSecond)
}

// admitStarts refuses a job while the accepted ones need more start orders than can be
// sent in time: it would wait itself, or keep others waiting.
func (s *Shard) admitStarts(now Instant) Admission {
	delay := s.startDelay(now)
	if delay <= maxStartDelay {
		return Admission{Admitted: true, Wait: delay}
	}
	return Admission{
		Reason: reasonStarts, Wait: delay, Slack: maxStartDelay,
		RetryAfter: min(maxRetryAfter, max(minRetryAfter, delay-maxStartDelay)),
	}
}
