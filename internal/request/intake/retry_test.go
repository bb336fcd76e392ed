package intake

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestRetryAfterLeavesTimeToBeServed guards against callers that are told to return when their
// time is over. Load: an outage of 5.5 s; callers with 3 s each come all the while, are refused at
// once, and return when they are told to. Those of its last 2 s can be served after two whole seconds.
func TestRetryAfterLeavesTimeToBeServed(t *testing.T) {
	const outage, limit, step = 5500 * time.Millisecond, 3 * time.Second, 25 * time.Millisecond
	callers, served := 0, 0
	for came := step; came < outage; came += step {
		callers++
		now, end := came, came+limit
		for now < outage && now < end {
			now += time.Duration(retryAfter(now, end-now, 0.5)) * time.Second
		}
		if now >= outage && now+servingTime <= end {
			served++
		}
	}
	must.GreaterEq(t, int(2*time.Second/step), served)
	must.Less(t, callers/2, served)
}

// TestRetryAfterSpreadsCallers guards against refused callers that all return in the same second.
func TestRetryAfterSpreadsCallers(t *testing.T) {
	at := map[int]int{}
	for i := range 100 {
		at[retryAfter(2300*time.Millisecond, time.Minute, float64(i)/100)]++
	}
	must.Eq(t, map[int]int{2: 70, 3: 30}, at)
	must.Eq(t, 5, retryAfter(time.Hour, time.Minute, 0))
	must.Eq(t, 1, retryAfter(0, time.Minute, 0))
	// A caller that cannot be served in time is told when it is worth to try anew.
	must.Eq(t, 4, retryAfter(4*time.Second, 700*time.Millisecond, 0))
}
