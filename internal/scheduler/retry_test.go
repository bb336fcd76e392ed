package scheduler_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// callerTry is the next try of a caller that came first at the given time.
type callerTry struct {
	at, first time.Duration
	number    int
}

// offerToReturners offers jobs for the given time to callers that wait for limit at most and try up to
// five times, after the whole seconds that they are told. It returns the number of refused tries and of
// accepted jobs.
func (o *overload) offerToReturners(d, limit time.Duration) (refused, accepted int) {
	random := rand.New(rand.NewSource(1))
	var tries []callerTry
	for end := o.now + d; o.now < end || len(tries) > 0; {
		o.tick()
		for due := int((min(o.now, end) - time.Minute).Seconds() * float64(o.jobsPerSecond)); o.offered < due; o.offered++ {
			tries = append(tries, callerTry{at: o.now, first: o.now, number: 1})
		}
		slices.SortStableFunc(tries, func(a, b callerTry) int { return cmp.Compare(a.at, b.at) })
		for len(tries) > 0 && tries[0].at <= o.now {
			c := tries[0]
			tries = tries[1:]
			a := o.admit()
			if a.Admitted {
				accepted++
				o.submit(fmt.Sprintf("%016x", 0x1000+accepted), nil, nil, o.steps...)
				continue
			}
			refused++
			c.number++
			c.at = o.now + time.Duration(math.Floor(a.RetryAfter.Seconds()+random.Float64()))*time.Second
			if c.number <= 5 && c.at < c.first+limit {
				tries = append(tries, c)
			}
		}
	}
	return refused, accepted
}

// TestRefusedCallersReturnInTurn guards against refused callers that are all told to return at the
// same time, of whom only the first few find room again. Load: for 8 s 30 jobs a second, of which the
// workers bear 12; callers wait for 20 s at most and return when they are told to.
func TestRefusedCallersReturnInTurn(t *testing.T) {
	for name, step := range map[string]job.Step{"batch": fourCores(batchStep(8)), "fillers": fourCores(fillerStep(8, "f"))} {
		t.Run(name, func(t *testing.T) {
			o := newOverload(newHarness(t, 8), 30, step)
			refused, accepted := o.offerToReturners(8*time.Second, 20*time.Second)
			t.Logf("refused tries: %d, accepted: %d of %d", refused, accepted, o.offered)
			must.Greater(t, o.offered*9/10, accepted)
			must.Less(t, 3*accepted/2, refused)
			o.checkViolations()
		})
	}
}

// TestRefusedEndlessWorkReturnsWhenThereIsRoom guards against endless work that is told to return after a
// constant time, although the peak of batch work passes sooner, and against one that is told a time at which
// only the end of other endless work could make room. Load: batch work that fills the workers, and then none.
func TestRefusedEndlessWorkReturnsWhenThereIsRoom(t *testing.T) {
	endless := fourCores(servingStep(10, "web"))
	o := newOverload(newHarness(t, 8), 0, endless)
	o.submit(firstID, nil, nil, fourCores(batchStep(64)))
	o.run(4 * time.Second)
	told := o.admit()
	must.False(t, told.Admitted)
	must.Between(t, time.Second, told.RetryAfter, 4500*time.Millisecond)
	o.run(told.RetryAfter / 2)
	must.False(t, o.admit().Admitted)
	o.run(told.RetryAfter/2 + 100*time.Millisecond)
	must.True(t, o.admit().Admitted, must.Sprint(told))
	o.steps = []job.Step{fourCores(servingStep(1000, "web"))}
	must.Eq(t, 5*time.Second, o.admit().RetryAfter)
	o.checkViolations()
}
