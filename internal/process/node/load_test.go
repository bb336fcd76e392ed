package node

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/process/keyed"
	"github.com/siskinvane/siskinvane/internal/process/pause"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/standin/memstore"
)

// cutLoads is a store that fails each other page of newest records.
type cutLoads struct {
	store.Store
	calls atomic.Int32
}

// Newest implements store.Store.
func (s *cutLoads) Newest(ctx context.Context, p store.Partition, after *string) (store.NewestPage, error) {
	if s.calls.Add(1)%2 == 0 {
		return store.NewestPage{}, errors.New("no answer in time")
	}
	return s.Store.Newest(ctx, p, after)
}

// TestResumedLoadReadsToTheEnd guards against a takeover that completes a load begun
// earlier and takes the end of its first page for that of the log: the new owner would
// not know of records that were written meanwhile.
func TestResumedLoadReadsToTheEnd(t *testing.T) {
	stored := memstore.New()
	f := newTakeoverFixture(t)
	n := f.node
	n.table = job.NewTable()
	n.reader = keyed.NewReader(&cutLoads{Store: stored.View("h1")}, n.partition)
	for i := range 600 {
		stored.Put(n.partition, submissionRecord(t, job.ID(fmt.Sprintf("%016x", 0x3000+i))))
	}
	must.Error(t, n.Refresh(t.Context()))
	// The key precedes those of the first page.
	early := job.ID(fmt.Sprintf("%016x", 1))
	stored.Put(n.partition, submissionRecord(t, early))
	must.NoError(t, n.Refresh(t.Context()))
	_, known := n.table.Get(early)
	must.True(t, known)
}

// slowLoads is a store behind a narrow link: each page of newest records takes time, and
// so does the first read of the log, of what was written meanwhile.
type slowLoads struct {
	store.Store
	pageTime, firstReadTime time.Duration
	// loaded is set once that read was served.
	loaded atomic.Bool
}

// Newest implements store.Store.
func (s *slowLoads) Newest(ctx context.Context, p store.Partition, after *string) (store.NewestPage, error) {
	if err := pause.For(ctx, s.pageTime); err != nil {
		return store.NewestPage{}, err
	}
	return s.Store.Newest(ctx, p, after)
}

// Read implements store.Store.
func (s *slowLoads) Read(ctx context.Context, p store.Partition, from platform.Offset, wait time.Duration) (store.Page, error) {
	if !s.loaded.Load() {
		if err := pause.For(ctx, s.firstReadTime); err != nil {
			return store.Page{}, err
		}
		defer s.loaded.Store(true)
	}
	return s.Store.Read(ctx, p, from, wait)
}

// TestHostLoadsBeforeItTakesOver guards against a host that fences the owner and then
// gives up, again and again, because it has not loaded the table of jobs.
func TestHostLoadsBeforeItTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		for i := range 2400 {
			c.store.Put(store.Partition{Topic: JobTopic}, submissionRecord(t, job.ID(fmt.Sprintf("%016x", i+1))))
		}
		var link *slowLoads
		c.wrap = func(s store.Store) store.Store {
			link = &slowLoads{Store: s, pageTime: 1200 * time.Millisecond, firstReadTime: 3 * time.Second}
			return link
		}
		n := c.startHost(t, "h1", 1)
		for !link.loaded.Load() {
			must.Zero(t, c.view("h1").Appends())
			must.Less(t, 12*time.Second, time.Since(c.started))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond)
		must.True(t, n.OwnsShard())
		c.stop(n)
	})
}

// TestStartingHostCountsAllWaitingJobs: a host that had just started answered for the
// number of waiting jobs from the part of the table that it had read.
func TestStartingHostCountsAllWaitingJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		for i := range 1200 {
			c.store.Put(store.Partition{Topic: JobTopic}, submissionRecord(t, job.ID(fmt.Sprintf("%016x", i+1))))
		}
		c.wrap = func(s store.Store) store.Store { return &slowLoads{Store: s, pageTime: 700 * time.Millisecond} }
		n := c.startHost(t, "h1", 1)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			if count, err := n.Pending(ctx, "q"); err == nil {
				must.Eq(t, 1200, count)
			}
			cancel()
		}
		count, err := n.Pending(t.Context(), "q")
		must.NoError(t, err)
		must.Eq(t, 1200, count)
		c.stop(n)
	})
}

// TestCutOffHostDoesNotCountWaitingJobs: a host that had not read the log for long answered
// for the number of waiting jobs from what it had read before.
func TestCutOffHostDoesNotCountWaitingJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		n := c.startHost(t, "h1", 1)
		time.Sleep(time.Second)
		c.view("h1").Set(memstore.Unresponsive, 0)
		time.Sleep(2 * maxPendingAge)
		c.store.Put(store.Partition{Topic: JobTopic}, submissionRecord(t, jobID))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := n.Pending(ctx, "q")
		must.Error(t, err)
		c.view("h1").Set(memstore.Healthy, 0)
		time.Sleep(2 * time.Second)
		count, err := n.Pending(t.Context(), "q")
		must.NoError(t, err)
		must.Eq(t, 1, count)
		c.stop(n)
	})
}

// countedReads is a store that counts reads of the log.
type countedReads struct {
	store.Store
	reads atomic.Int32
}

// Read implements store.Store.
func (s *countedReads) Read(ctx context.Context, p store.Partition, from platform.Offset, wait time.Duration) (store.Page, error) {
	s.reads.Add(1)
	return s.Store.Read(ctx, p, from, wait)
}

// TestLookupsOfUnknownJobsShareReads guards against callers that ask for many unknown jobs and
// wait for one read of the log each, one after the other.
func TestLookupsOfUnknownJobsShareReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		var s *countedReads
		c.wrap = func(inner store.Store) store.Store {
			s = &countedReads{Store: inner}
			return s
		}
		n := c.startHost(t, "h1", 1)
		time.Sleep(2 * time.Second)
		before, started := s.reads.Load(), time.Now()
		results := make(chan error, 1000)
		for range cap(results) {
			go func() {
				_, err := n.State(context.Background(), jobID)
				results <- err
			}()
		}
		for range cap(results) {
			must.ErrorIs(t, <-results, ErrUnknownJob)
		}
		must.Less(t, 5, s.reads.Load()-before)
		must.Less(t, 100*time.Millisecond, time.Since(started))
		c.stop(n)
	})
}
