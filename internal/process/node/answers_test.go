package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/standin/memstore"
)

// answered is how a submission ended.
type answered struct {
	at, took time.Duration
	err      error
}

// failJobs makes the store fail the calls of hosts to the partition of the jobs.
func (c *testCluster) failJobs(m memstore.Mode, hosts ...string) {
	for _, name := range hosts {
		c.view(name).FailPartition(store.Partition{Topic: JobTopic}, m)
	}
}

// submitSteadily submits jobs in turn through hosts, perSecond for the given time, each with a
// limit of 3 s, and returns how they ended.
func submitSteadily(lasts time.Duration, perSecond int, hosts ...*Node) []answered {
	list := make([]answered, int(lasts.Seconds()*float64(perSecond)))
	var callers sync.WaitGroup
	started := time.Now()
	for i := range list {
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			sent := time.Now()
			err := hosts[i%len(hosts)].Submit(ctx, job.ID(fmt.Sprintf("%016x", i+1)), submission())
			list[i] = answered{at: sent.Sub(started), took: time.Since(sent), err: err}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	callers.Wait()
	return list
}

// TestSilentPartitionHoldsNoCallers guards against callers held to their time limit and outcomes
// left open while the store answers joins but leaves the partition of the jobs unanswered, or
// resets its calls. Load: 40 jobs a second at two hosts, a silence of 5.5 s.
func TestSilentPartitionHoldsNoCallers(t *testing.T) {
	for name, mode := range map[string]memstore.Mode{"silent": memstore.Unresponsive, "reset": memstore.Reset} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCluster()
				first, second := c.startPair(t)
				c.failJobs(mode, "h1", "h2")
				open := 0
				for i, a := range submitSteadily(5500*time.Millisecond, 40, first, second) {
					if OutcomeUnknown(a.err) {
						open++
						must.Less(t, outageThreshold, a.at)
					} else {
						must.ErrorIs(t, a.err, store.ErrUnavailable)
						must.Nil(t, c.store.Newest(first.partition, fmt.Sprintf("j%016x", i+1)))
					}
					limit := outageThreshold + ownerSilenceCheck + 100*time.Millisecond
					if a.at > 2*outageThreshold {
						limit = 20 * time.Millisecond
					}
					must.Less(t, limit, a.took, must.Sprint(a))
				}
				must.LessEq(t, 2, open)
				started := time.Now()
				_, err := second.State(t.Context(), otherJobID)
				must.ErrorIs(t, err, store.ErrUnavailable)
				must.Less(t, 20*time.Millisecond, time.Since(started))
				c.failJobs(memstore.Healthy, "h1", "h2")
				time.Sleep(probeInterval + 50*time.Millisecond)
				for _, n := range []*Node{first, second} {
					must.Less(t, outageThreshold, n.Outage())
				}
				must.NoError(t, submit(second, 200*time.Millisecond))
				c.stop(first, second)
			})
		})
	}
}

// TestRepetitionDuringSilenceIsNotRefused guards against a caller that is told that its job never
// runs by a second host, while the owner's append of it may still be carried out.
func TestRepetitionDuringSilenceIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		first, second := c.startPair(t)
		c.failJobs(memstore.Unresponsive, "h1", "h2")
		must.True(t, OutcomeUnknown(submit(first, 3*time.Second)))
		started := time.Now()
		must.True(t, OutcomeUnknown(submit(second, 3*time.Second)))
		must.Less(t, ownerSilenceCheck+50*time.Millisecond, time.Since(started))
		c.stop(first, second)
	})
}

// TestSlowOrLossyStoreIsNotSilent guards against jobs refused because a slow store answers late
// or loses answers of appends, as long as it answers reads.
func TestSlowOrLossyStoreIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		first, second := c.startPair(t)
		for _, n := range []string{"h1", "h2"} {
			c.view(n).Set(memstore.Healthy, 240*time.Millisecond)
		}
		c.store.SetAppendTime(120 * time.Millisecond)
		for _, a := range submitSteadily(5*time.Second, 40, first, second) {
			var refused *RefusedError
			must.True(t, a.err == nil || errors.As(a.err, &refused), must.Sprint(a))
		}
		c.view("h1").Set(memstore.LateAppends, 0)
		for range 30 {
			_ = submit(first, 200*time.Millisecond)
			must.Less(t, outageThreshold, first.Outage())
		}
		c.stop(first, second)
	})
}

// TestHostWritesWhileOwnerAloneIsUnanswered guards against a host that believes an owner which
// gets no answers, although the store serves the host.
func TestHostWritesWhileOwnerAloneIsUnanswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		first, second := c.startPair(t)
		c.failJobs(memstore.Unresponsive, "h1")
		time.Sleep(2 * outageThreshold)
		must.True(t, first.OwnsShard())
		must.NoError(t, submit(second, 3*time.Second))
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		must.ErrorIs(t, first.Submit(ctx, otherJobID, submission()), store.ErrUnavailable)
		c.stop(first, second)
	})
}

// TestSilenceCountsFromTheFirstUnservedCall checks the measure on its own: a call that is served ends
// it for those still under way, and one that its caller gave up tells nothing.
func TestSilenceCountsFromTheFirstUnservedCall(t *testing.T) {
	var s unservedTime
	must.Zero(t, s.lasts(5))
	s.begin(10)
	s.begin(20)
	must.Eq(t, 20, s.lasts(30))
	s.end(30, callServed)
	must.Eq(t, 5, s.lasts(35))
	s.end(40, callAbandoned)
	must.Zero(t, s.lasts(50))
	s.begin(60)
	s.end(70, callUnserved)
	s.begin(80)
	must.Eq(t, 30, s.lasts(90))
	must.Eq(t, callUnserved, resultOf(errors.New("reset"), true))
}

// TestStartingHostDoesNotTakeStoreForAway guards against callers refused by hosts whose first join is still
// under way: they were told that the store had not answered for centuries. Load: callers who return to hosts
// that have just started, after the loss of all, to a slow store.
func TestStartingHostDoesNotTakeStoreForAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		c.view("h1").Set(memstore.Healthy, 240*time.Millisecond)
		n := c.startHost(t, "h1", 1)
		must.Less(t, outageThreshold, n.Outage())
		must.NoError(t, submit(n, 3*time.Second))
		c.stop(n)
	})
}

// TestSuspendedHostDoesNotTakePartitionForAway guards against a host that refuses jobs when it wakes up, since
// a read was under way while it was suspended.
func TestSuspendedHostDoesNotTakePartitionForAway(t *testing.T) {
	now, probes := time.Duration(0), 0
	a := newPartitionAnswers(func() time.Duration { return now }, func() { probes++ }, func(bool, time.Duration) {})
	defer a.close()
	must.NoError(t, a.observe(t.Context(), func() error {
		now = 5 * time.Second
		a.check()
		_, away := a.away()
		must.False(t, away)
		must.Eq(t, 1, probes)
		now += probeInterval
		a.check()
		_, away = a.away()
		must.True(t, away)
		return nil
	}))
	_, away := a.away()
	must.False(t, away)
}
