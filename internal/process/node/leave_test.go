package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/standin/memstore"
)

// leave calls n.Leave with a timeout and returns how long it took.
func leave(n *Node, timeout time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	started := time.Now()
	err := n.Leave(ctx)
	return time.Since(started), err
}

// TestOwnerKeepsShardUntilTakenOver guards against an owner that releases the shard at
// once when it is stopped during a store outage: the shard had no owner for 3 s,
// although the host kept running for 3.4 s.
func TestOwnerKeepsShardUntilTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		first, second := c.startPair(t)
		c.view("h1").Set(memstore.Busy, 0)
		c.view("h2").Set(memstore.Busy, 0)
		time.Sleep(time.Second)
		go func() {
			time.Sleep(1500 * time.Millisecond)
			must.True(t, first.OwnsShard())
			c.view("h1").Set(memstore.Healthy, 0)
			c.view("h2").Set(memstore.Healthy, 0)
		}()
		took, err := leave(first, 4800*time.Millisecond)
		must.NoError(t, err)
		must.Between(t, 1500*time.Millisecond, took, 2500*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		must.True(t, second.OwnsShard())
		c.stop(first, second)
	})
}

// TestLeaveMeetsDeadline: during a store outage the shard is released while there is
// time left to finish requests.
func TestLeaveMeetsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		n := c.startHost(t, "h1", 1)
		time.Sleep(2 * time.Second)
		c.view("h1").Set(memstore.Busy, 0)
		time.Sleep(time.Second)
		took, err := leave(n, 4800*time.Millisecond)
		must.Error(t, err)
		must.Less(t, 4300*time.Millisecond, took)
		c.stop(n)
	})
}

// TestHandOverLeavesNoGap: at a planned stop the owner continues until the next one has
// taken over, also if the store is slow. An owner that released the shard first left it
// without an owner for 3 s.
func TestHandOverLeavesNoGap(t *testing.T) {
	for _, appendTime := range []time.Duration{0, 600 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			c := newTestCluster()
			first, second := c.startPair(t)
			c.store.SetAppendTime(appendTime)
			left := make(chan time.Duration, 1)
			go func() {
				took, err := leave(first, 4800*time.Millisecond)
				must.NoError(t, err)
				left <- took
			}()
			ownerless := time.Duration(0)
			for !second.OwnsShard() {
				time.Sleep(5 * time.Millisecond)
				if !first.OwnsShard() && !second.OwnsShard() {
					ownerless += 5 * time.Millisecond
				}
			}
			// The first owner stops as soon as the store fences it, while the second
			// still reads the last records.
			must.LessEq(t, 50*time.Millisecond, ownerless)
			must.Less(t, 4300*time.Millisecond, <-left)
			c.stop(first, second)
		})
	}
}

// TestOutageAfterLeavingGroup guards against callers that are refused because a host
// that has left the group sends no joins: their absence was taken for a store outage.
func TestOutageAfterLeavingGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		first, second := c.startPair(t)
		left := make(chan error, 1)
		go func() {
			_, err := leave(first, 4800*time.Millisecond)
			left <- err
		}()
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			must.Less(t, ownerJoinMaxAge, first.Outage())
		}
		must.NoError(t, <-left)
		c.view("h1").Set(memstore.Unresponsive, 0)
		time.Sleep(3 * time.Second)
		must.Greater(t, outageThreshold, first.Outage(), must.Sprint("a real outage is still detected"))
		c.stop(first, second)
	})
}
