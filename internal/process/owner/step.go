package owner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/outage"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

// Step performs one scheduling step for an owned shard: it calls the due workers,
// commits the resulting transitions together with new assignments and evictions,
// and calls the workers affected by these. While the log is unavailable it still
// calls workers as far as the permission allows, and returns the commit's error.
// After a long log outage it makes no new decisions until the state has been
// written to a snapshot.
func (o *Owner) Step(ctx context.Context, desired Desired) error {
	t, ok := o.enterTerm()
	if !ok {
		return fmt.Errorf("step shard %s: %w", o.config.Shard, ErrNotOwner)
	}
	o.callWorkers(ctx, t, o.dueWorkers(t))
	if o.replica.Keep(ctx) {
		return nil
	}
	records := o.takePending()
	n := len(records)
	var evictions []record.Record
	o.follower.View(func() {
		records = append(records, o.planServices(desired)...)
		o.syncPlanner(t, desired)
		if now := o.config.Now(); o.permission(now).MayAssign {
			records = append(records, o.planDrains(now)...)
			records = append(records, o.planAssignments()...)
		}
		evictions = o.planEvictions()
	})
	records = append(records, evictions...)
	if err := o.commitAll(ctx, records); err != nil {
		o.requeuePending(t, records[:n])
		return err
	}
	o.callWorkers(ctx, t, o.workersWithNewWork(evictions))
	return nil
}

// commitAll writes records in commits of at most maxRecordsPerCommit records.
func (o *Owner) commitAll(ctx context.Context, records []record.Record) error {
	for len(records) > 0 {
		n := min(len(records), maxRecordsPerCommit)
		if _, err := o.commit(ctx, records[:n]...); err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}

// permission returns what the owner may do at now. If now was read before the
// permission was computed, a call based on both expires earlier, never later.
func (o *Owner) permission(now time.Time) outage.Permission {
	o.mu.Lock()
	lastRead := o.lastRead
	o.mu.Unlock()
	shardPermission := outage.Decide(outage.Input{Host: o.config.Writer.Host, LogReadAt: lastRead, Now: now})
	if o.config.Permission == nil {
		return shardPermission
	}
	hostPermission := o.config.Permission()
	if hostPermission.Reason == outage.ReasonLogDown {
		return hostPermission
	}
	return outage.Permission{
		MayClaim: hostPermission.MayClaim && shardPermission.MayClaim, MayAssign: hostPermission.MayAssign && shardPermission.MayAssign,
		MayStart: hostPermission.MayStart && shardPermission.MayStart, MayRenew: hostPermission.MayRenew && shardPermission.MayRenew,
		Reason: hostPermission.Reason, Detail: hostPermission.Detail,
	}
}

// setLastRead stores the start time of a successful read of the shard's stream.
func (o *Owner) setLastRead(start time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastRead = start
}

// callWorkers calls the given workers in the pool, except those with calls still
// in progress, and waits at most roundTimeout for them.
func (o *Owner) callWorkers(ctx context.Context, t term, ids []platform.WorkerID) {
	var wg sync.WaitGroup
	for _, id := range ids {
		w := o.beginCalls(id)
		if w == nil {
			continue
		}
		wg.Add(1)
		calls := func() {
			defer wg.Done()
			defer o.endCalls(w)
			o.callWorker(ctx, t, w)
		}
		if o.runInPool(calls) != nil {
			calls()
		}
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	timer := time.NewTimer(roundTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// beginCalls marks a worker as being called. It returns nil if the worker is
// unknown or already being called.
func (o *Owner) beginCalls(id platform.WorkerID) *workerState {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.workers[id]
	if w == nil || w.callInProgress {
		return nil
	}
	w.callInProgress = true
	return w
}

func (o *Owner) endCalls(w *workerState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w.callInProgress = false
}
