package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
)

// answerAll finishes n orders to a worker one after the other in a full window, each sent
// took earlier, and returns the time after the last answer. The answers are interval
// apart.
func (w *startWindow) answerAll(now, interval, took time.Duration, n int, worker platform.WorkerID, answered bool) time.Duration {
	var others []*windowOrder
	for range n {
		now += interval
		o := w.add(now-took, worker)
		for w.counted < int(w.size) {
			others = append(others, w.add(now, worker))
		}
		w.finish(now, o, took, answered)
	}
	for _, o := range others {
		w.withdraw(o)
	}
	return now
}

// TestUnusedWindowDoesNotGrow: the window grew with answers to a few orders, and the next
// burst filled the link at once.
func TestUnusedWindowDoesNotGrow(t *testing.T) {
	w, now := newStartWindow(), time.Minute
	for range 500 {
		now += time.Millisecond
		w.finish(now, w.add(now-4*time.Millisecond, "w"), 4*time.Millisecond, true)
	}
	must.Eq(t, initialStartWindow, w.available(now))
}

// TestWindowStaysSmallOnAFullLink: with a fixed number of orders in flight the queue on
// a full link never shrank, and every order timed out.
func TestWindowStaysSmallOnAFullLink(t *testing.T) {
	w := newStartWindow()
	now := w.answerAll(time.Minute, time.Millisecond, 4*time.Millisecond, 300, "w", true)
	must.Eq(t, maxStartWindow, w.available(now))
	now = w.answerAll(now, 2*time.Millisecond, 400*time.Millisecond, 40, "w", false)
	must.Eq(t, 179, w.available(now), must.Sprint("shrinks once per interval"))
	now = w.answerAll(now, 2*time.Millisecond, 400*time.Millisecond, 1000, "w", false)
	must.Eq(t, minStartWindow, w.available(now))
}

// TestLagDoesNotCloseWindow: on a host that is short of processor time answers are slow
// because the process runs late. The window shrank as on a full link, to two orders, and
// the owner started next to nothing although its link was free.
func TestLagDoesNotCloseWindow(t *testing.T) {
	w := newStartWindow()
	now := w.answerAll(time.Minute, time.Millisecond, 4*time.Millisecond, 100, "w", true)
	w.lag = 150 * time.Millisecond
	now = w.answerAll(now, 2*time.Millisecond, 200*time.Millisecond, 1000, "w", true)
	must.GreaterEq(t, initialStartWindow+100, w.available(now))
	now = w.answerAll(now, 2*time.Millisecond, 400*time.Millisecond, 1000, "w", false)
	must.Eq(t, minStartWindow, w.available(now), must.Sprint("orders time out"))
}

// TestLagRisesAtOnceAndDecays checks the smoothed lag of a process that was suspended.
func TestLagRisesAtOnceAndDecays(t *testing.T) {
	lag := smoothLag(0, 4*time.Second)
	must.Eq(t, 4*time.Second, lag)
	for range 20 {
		lag = smoothLag(lag, 0)
	}
	must.Less(t, 10*time.Millisecond, lag)
}

// TestWindowHoldsBetweenThresholds: a window that always grows or shrinks oscillates.
func TestWindowHoldsBetweenThresholds(t *testing.T) {
	w := newStartWindow()
	now := w.answerAll(time.Minute, time.Millisecond, 4*time.Millisecond, 20, "w", true)
	w.answerTime = 100 * time.Millisecond
	now = w.answerAll(now, time.Millisecond, 100*time.Millisecond, 500, "w", true)
	must.Eq(t, initialStartWindow+20, w.available(now))
}

// TestDeadWorkersDoNotShrinkWindow: the unanswered orders of a tenth of the workers
// must not hold up the starts on the others.
func TestDeadWorkersDoNotShrinkWindow(t *testing.T) {
	w := newStartWindow()
	now := time.Minute
	for i := range 200 {
		now = w.answerAll(now, 2*time.Millisecond, 4*time.Millisecond, 9, "live", true)
		now = w.answerAll(now, 2*time.Millisecond, 400*time.Millisecond, 1, platform.WorkerID(fmt.Sprint("dead", i%10)), false)
	}
	must.Eq(t, maxStartWindow, w.available(now))
}

// TestSilentWorkersDoNotCloseWindow: as workers that answered no starts seemed empty,
// they got most of them, and the window closed for all others.
func TestSilentWorkersDoNotCloseWindow(t *testing.T) {
	w, now := newStartWindow(), time.Minute
	for range 200 {
		now = w.answerAll(now, 2*time.Millisecond, 4*time.Millisecond, 1, "live", true)
		for i := range 10 {
			now = w.answerAll(now, 2*time.Millisecond, 400*time.Millisecond, 1, platform.WorkerID(fmt.Sprint("dead", i)), false)
		}
	}
	must.Greater(t, 150, w.available(now))
}

// TestWithdrawnStartLeavesWindow: an order that was not sent must not take up room in
// the window for good, nor count as an answer.
func TestWithdrawnStartLeavesWindow(t *testing.T) {
	w, now := newStartWindow(), time.Minute
	var orders []*windowOrder
	for range initialStartWindow + 3 {
		orders = append(orders, w.add(now, "w"))
	}
	must.Eq(t, 0, w.available(now))
	for _, o := range orders[2:6] {
		w.withdraw(o)
	}
	must.Eq(t, 1, w.available(now))
}

// TestOverdueStartLeavesWindowOnce: the unanswered orders to a lost rack took up the
// whole window. An overdue order leaves room for others, and none a second time when it
// is given up.
func TestOverdueStartLeavesWindowOnce(t *testing.T) {
	w, now := newStartWindow(), time.Minute
	late := w.add(now, "w")
	for range initialStartWindow - 1 {
		w.add(now+overdueAfter, "w")
	}
	must.Eq(t, 0, w.available(now+overdueAfter))
	must.Eq(t, 1, w.available(now+overdueAfter+1))
	must.Eq(t, initialStartWindow, w.inFlight)
	w.finish(now+400*time.Millisecond, late, 400*time.Millisecond, false)
	must.Eq(t, 1, w.available(now+overdueAfter+1))
	must.Eq(t, initialStartWindow-1, w.inFlight)
}

// TestRenewalsPauseOnAFullLink: renewals grew with the ends of tasks and took most of a
// full link, so that starts and stops timed out.
func TestRenewalsPauseOnAFullLink(t *testing.T) {
	w, now := newStartWindow(), time.Minute
	now = w.answerAll(now, time.Millisecond, 4*time.Millisecond, 20, "w", true)
	w.add(now, "w")
	must.Zero(t, w.renewPause())
	w.answerTime = time.Second
	must.Eq(t, maxRenewPause, w.renewPause())
	w.answerTime = 80 * time.Millisecond
	must.Eq(t, 320*time.Millisecond, w.renewPause())
}
