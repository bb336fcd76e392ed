package dispatch

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestOrdersToLostWorkersDoNotHoldUpLane: stop orders to lost workers took up the lane until
// they timed out, and stops to the other workers waited for seconds behind them.
func TestOrdersToLostWorkersDoNotHoldUpLane(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls sync.WaitGroup
		l := &lane{goroutines: &calls, limit: 2}
		started := time.Now()
		for range 4 {
			l.submit(func() { time.Sleep(orderTimeout) })
		}
		var waited time.Duration
		l.submit(func() { waited = time.Since(started) })
		must.Eq(t, 5, l.load())
		calls.Wait()
		must.Eq(t, 2*laneHold, waited)
		must.Zero(t, l.load())
	})
}

// TestLaneBoundsConcurrency: calls that end in time never exceed the limit.
func TestLaneBoundsConcurrency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls sync.WaitGroup
		var mu sync.Mutex
		running, most := 0, 0
		l := &lane{goroutines: &calls, limit: 3}
		for range 20 {
			l.submit(func() {
				mu.Lock()
				running++
				most = max(most, running)
				mu.Unlock()
				time.Sleep(laneHold / 2)
				mu.Lock()
				running--
				mu.Unlock()
			})
		}
		calls.Wait()
		must.Eq(t, 3, most)
	})
}
