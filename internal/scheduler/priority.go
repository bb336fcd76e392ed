package scheduler

import "cmp"

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
