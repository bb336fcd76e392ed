package node

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/standin/memstore"
)

// isolatedPair starts two hosts. The first owns the shard and cannot be reached by the
// second.
func isolatedPair(t *testing.T, c *testCluster) (owner, other *Node) {
	t.Helper()
	owner, other = c.startPair(t)
	c.network.SetPartitioned(netip.AddrFrom4([4]byte{127, 0, 1, 1}), true)
	return owner, other
}

// submitMany submits jobs concurrently and returns the result of each.
func submitMany(n *Node, count int, timeout time.Duration) []error {
	errs := make([]error, count)
	var callers sync.WaitGroup
	for i := range count {
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			errs[i] = n.Submit(ctx, job.ID(fmt.Sprintf("%016x", i+1)), submission())
		})
	}
	callers.Wait()
	return errs
}

// TestDirectWritesShareAppends guards against one append per job on a host that cannot
// reach the owner. Appends are made one at a time, so with a slow store most callers
// timed out.
func TestDirectWritesShareAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		owner, other := isolatedPair(t, c)
		c.store.SetAppendTime(100 * time.Millisecond)
		before := c.view("h2").Appends()
		for _, err := range submitMany(other, 60, 3*time.Second) {
			must.NoError(t, err)
		}
		must.LessEq(t, 8, c.view("h2").Appends()-before)
		c.stop(owner, other)
	})
}

// TestCancellationReachesOwnerCutOffFromStore: an owner whose joins went unanswered refused
// the notice of a cancellation and went on starting the job's tasks until it read the log.
func TestCancellationReachesOwnerCutOffFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		owner, other := c.startPair(t)
		defer c.stop(owner, other)
		must.NoError(t, submit(other, 3*time.Second))
		c.view("h1").Set(memstore.Unresponsive, 0)
		time.Sleep(ownerJoinMaxAge + 100*time.Millisecond)
		must.NoError(t, other.Submit(t.Context(), otherJobID, submission()))
		must.NoError(t, other.Cancel(t.Context(), jobID))
		time.Sleep(50 * time.Millisecond)
		must.True(t, owner.OwnsShard())
		cancelled, known := owner.table.Get(jobID)
		must.True(t, known && cancelled.Cancelled)
		// An end that is not recorded yet is reported as running.
		state, _ := owner.ownedDispatcher().State(jobID)
		must.Eq(t, job.Running, state)
		// A later owner may start what it finds in the log beyond ownerOverlap.
		_, known = owner.table.Get(otherJobID)
		must.False(t, known)
	})
}

// TestUnsentRecordReportsUnavailable: a caller whose record was never sent gets
// store.ErrUnavailable; one whose record may be in the log does not.
func TestUnsentRecordReportsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		n := c.startHost(t, "h1", 1)
		time.Sleep(2 * time.Second)
		c.view("h1").Set(memstore.Healthy, 5*time.Second)
		// Shorter than the timeout of the first append.
		ctx, cancel := context.WithTimeout(context.Background(), minAppendTimeout/2)
		defer cancel()
		record := job.CancellationRecord(jobID, 1)
		first, second := make(chan error, 1), make(chan error, 1)
		go func() { first <- n.direct.append(ctx, record, false) }()
		time.Sleep(10 * time.Millisecond)
		go func() { second <- n.direct.append(ctx, record, false) }()
		must.False(t, errors.Is(<-first, store.ErrUnavailable))
		must.ErrorIs(t, <-second, store.ErrUnavailable)
		c.stop(n)
	})
}

func TestAdaptiveTimeout(t *testing.T) {
	var timeout adaptiveTimeout
	must.Eq(t, minAppendTimeout, timeout.next(), must.Sprint("initially"))
	timeout.recordTimeout()
	must.Eq(t, 2*minAppendTimeout, timeout.next(), must.Sprint("after one append timed out"))
	timeout.recordAnswer(300 * time.Millisecond)
	must.Eq(t, 900*time.Millisecond, timeout.next(), must.Sprint("after a slow answer"))
	timeout.recordTimeout()
	must.Eq(t, maxAppendTimeout, timeout.next(), must.Sprint("limited to the maximum"))
	for range 20 {
		timeout.recordAnswer(4 * time.Millisecond)
	}
	must.Eq(t, minAppendTimeout, timeout.next(), must.Sprint("after a series of fast answers"))
}
