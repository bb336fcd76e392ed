package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Refused callers are told when to return. Each is given the time at which the load that refuses it
// has drained, after the work of those who were refused before it and have not returned: otherwise
// all callers refused in a burst return together and find room for the first few only.

// returnQueue holds up to when the capacity that drains is promised to callers who were refused for
// want of the same capacity.
type returnQueue map[capacityClass]Instant

// maxQueuedReturn limits how far ahead capacity is promised. Callers who were told so have mostly
// given up by then.
const maxQueuedReturn = maxRetryAfter

// delay returns when a refused caller should return. drained is the time until its job would be
// admitted if nobody else came, own the time for which the job keeps the class busy. The capacity
// of that time is then promised to it.
func (q returnQueue) delay(now Instant, class capacityClass, drained, own time.Duration) time.Duration {
	at := max(now+drained, min(q[class], now+maxQueuedReturn))
	q[class] = min(at+own, now+maxQueuedReturn)
	for other, until := range q {
		if until < now {
			delete(q, other)
		}
	}
	return min(maxRetryAfter, max(minRetryAfter, at-now))
}

// taskEnd is the expected end of a running task and the CPU that it frees, in thousandths of a core.
type taskEnd struct {
	in       time.Duration
	milliCPU int64
}

// room is what decides when long-running work fits. All are thousandths of a core.
type room struct {
	// need is what the work reserves, free what tasks of its size can use now.
	need, free int64
	// reserved is what running batch tasks reserve, wanted that and what waiting ones want.
	reserved, wanted int64
	// peak is the decaying peak of wanted.
	peak float64
}

// expectedIn returns after which time the work fits: running batch tasks have freed enough, and the
// peak of batch work for which room is kept has decayed enough. It is maxRetryAfter if that is not
// known, as when only the end of other long-running work makes room.
func (r room) expectedIn(ends []taskEnd) time.Duration {
	// What batch tasks free adds to free as much as it takes from reserved.
	left := float64(r.free + r.reserved - r.need)
	if left <= 0 {
		return maxRetryAfter
	}
	decayed := time.Duration(batchPeakDecay.Seconds() * math.Log(max(1, batchPeakFactor*r.peak/left)) * float64(time.Second))
	missing := max(r.need-r.free, r.wanted-int64(left/batchPeakFactor))
	slices.SortFunc(ends, func(a, b taskEnd) int { return cmp.Compare(a.in, b.in) })
	freed := time.Duration(0)
	for _, e := range ends {
		if missing <= 0 {
			break
		}
		missing -= e.milliCPU
		freed = e.in
	}
	if missing > 0 {
		return maxRetryAfter
	}
	return max(decayed, freed)
}

// batchEnds returns the expected ends of the running batch tasks. Tasks that run longer than
// expected are left out, as it is not known when they end.
func (s *Shard) batchEnds(now Instant) []taskEnd {
	var ends []taskEnd
	for _, w := range s.workers {
		if w.batchAttempts == 0 {
			continue
		}
		for _, a := range w.attempts {
			if !a.isBatch() || !a.startConfirmed() {
				continue
			}
			step := a.task.step
			if in := s.lengths.Predict(step.kind, step.spec.Estimate()) - (now - a.startedAt) - a.ranBefore; in > 0 {
				ends = append(ends, taskEnd{in: in, milliCPU: a.size.MilliCPU})
			}
		}
	}
	return ends
}
