// Package owner runs a shard that a host owns: it claims the shard in its stream,
// turns declarations into tasks, assigns queued tasks to workers, starts them
// once the assignment was read back from the log, renews their leases and records
// their outcome.
package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/directory"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/outage"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/shard"
	"github.com/siskinvane/siskinvane/internal/process/snapshot"
	"github.com/siskinvane/siskinvane/internal/process/stream"
	"github.com/siskinvane/siskinvane/internal/process/task"
	"github.com/siskinvane/siskinvane/internal/process/telemetry"
	"github.com/siskinvane/siskinvane/internal/version/declaration"
)

const (
	// ReportPeriod is the minimum time between report calls to a worker whose
	// state is changing.
	ReportPeriod = time.Second
	// IdleReportPeriod is the time between report calls to a worker whose state
	// is not changing.
	IdleReportPeriod = 15 * time.Second
	// maxConcurrentCalls bounds the workers that are called concurrently.
	maxConcurrentCalls = 64
	// roundTimeout bounds the time that a step waits for slow workers; a later
	// step records their results.
	roundTimeout = 500 * time.Millisecond
	// maxRecordsPerCommit bounds the records of one commit.
	maxRecordsPerCommit = 256
)

// Desired is the state of a shard that the declarations require.
type Desired struct {
	ConfigVersion uint64
	Document      *declaration.Document
	// Replicas lists the indexes of each service's replicas in this shard.
	Replicas map[platform.ServiceName][]uint32
	// Shares holds each team's quota in this shard; a team without an entry has
	// none.
	Shares map[platform.TeamName]platform.Resources
}

// Config describes one shard's owner.
type Config struct {
	Shard  platform.ShardID
	Writer record.WriterID
	Log    platform.Log
	Dialer platform.WorkerDialer
	Logger *logrus.Logger
	// Retention is how long the log retains an entry; zero means
	// snapshot.DefaultRetention.
	Retention time.Duration
	// Now is the clock.
	Now func() time.Time
	// Permission returns what the host may do now. If nil, only the reads of the
	// shard's own stream are considered.
	Permission func() outage.Permission
	// Commits configures the stream's writer.
	Commits stream.Options
	// Tracing creates the spans of task starts. Nil disables them.
	Tracing *telemetry.Tracing
}

// Owner runs one shard. Its methods are safe for concurrent use.
type Owner struct {
	config    Config
	replay    *shard.Replayer
	table     *task.Table
	follower  *stream.Follower
	writer    *stream.Writer
	replica   *snapshot.Replica
	placement *placement
	pool      *ants.Pool
	// runInPool runs the calls to one worker in pool; tests replace it.
	runInPool func(calls func()) error

	mu      sync.Mutex
	workers map[platform.WorkerID]*workerState
	term    term
	// lastRead is the start time of the last successful read of the shard's
	// stream.
	lastRead time.Time
	pending  pendingTransitions
}

// term is one uninterrupted period of ownership of the shard.
type term struct {
	epoch platform.Epoch
	// claimed is a time at or after the read-back of the claim.
	claimed time.Time
}

// New returns an owner that has not read its stream yet.
func New(c Config) (*Owner, error) {
	table := task.NewTable()
	replay := shard.NewReplayer(c.Shard, table)
	follower := stream.NewFollower(c.Log, record.ShardStream(c.Shard), replay)
	pool, err := ants.NewPool(maxConcurrentCalls)
	if err != nil {
		return nil, fmt.Errorf("create call pool: %w", err)
	}
	o := &Owner{
		config: c, replay: replay, table: table, follower: follower,
		writer:    stream.NewWriterWith(follower, c.Writer, c.Commits),
		placement: newPlacement(c), pool: pool, runInPool: pool.Submit,
		workers: map[platform.WorkerID]*workerState{},
	}
	o.replica = snapshot.NewReplica(snapshot.Config{
		Log: c.Log, Streams: snapshot.ShardStreams(c.Shard), Writer: c.Writer,
		State: replay, Follower: follower, Policy: snapshot.Policy{Retention: c.Retention}, Now: c.Now,
	}, c.Logger, pool.Submit)
	return o, nil
}

// Close stops the owner's writer and releases its call pool.
func (o *Owner) Close() {
	o.writer.Close()
	o.pool.Release()
}

// Owns reports whether this process is the shard's owner as replayed.
func (o *Owner) Owns() bool {
	var owns bool
	o.follower.View(func() { owns = o.replay.Owner() == o.config.Writer })
	return owns
}

// CurrentOwner returns the shard's owner and epoch as replayed.
func (o *Owner) CurrentOwner() (record.WriterID, platform.Epoch) {
	var w record.WriterID
	var e platform.Epoch
	o.follower.View(func() { w, e = o.replay.Owner(), o.replay.Epoch() })
	return w, e
}

// Claim writes a claim of the shard under the next epoch and reports whether it
// became effective.
func (o *Owner) Claim(ctx context.Context) (bool, error) {
	_, epoch := o.CurrentOwner()
	res, err := o.writer.Commit(ctx, epoch+1, record.Record{Claim: &record.Claim{}})
	if err != nil {
		return false, fmt.Errorf("claim shard %s: %w", o.config.Shard, err)
	}
	won := res.Verdict == record.Effective
	if won {
		event.ShardClaimed.Log(o.config.Logger, logrus.Fields{"shard": o.config.Shard, "epoch": epoch + 1})
	}
	return won, nil
}

// commit writes records under the current epoch and reports whether they became
// effective.
func (o *Owner) commit(ctx context.Context, records ...record.Record) (bool, error) {
	if len(records) == 0 {
		return true, nil
	}
	_, epoch := o.CurrentOwner()
	res, err := o.writer.Commit(ctx, epoch, records...)
	if err != nil {
		return false, err
	}
	return res.Verdict == record.Effective, nil
}

// ErrNotOwner is returned for a change that was not recorded because another host
// has claimed the shard.
var ErrNotOwner = errors.New("shard is owned by another host")

// ErrJobEnded is returned for the identifier of a job that has ended and was
// removed from the table.
var ErrJobEnded = errors.New("a job of this identifier has ended")

// ErrNoJob is returned for a job that the shard does not know.
var ErrNoJob = errors.New("no such job")

// Submit adds a job to the shard and returns once it is recorded. It is
// idempotent. The error matches ErrNotOwner if the job must be submitted to
// another host, ErrJobEnded if the identifier was used by a job that has ended,
// and a *place.UnfitError if no worker of the shard can hold one of its tasks; in
// these cases nothing was recorded.
func (o *Owner) Submit(ctx context.Context, j record.Job) error {
	err := o.checkJobFits(&j)
	if err != nil {
		return fmt.Errorf("submit job %s: %w", j.ID, err)
	}
	_, err = o.commit(ctx, record.Record{Job: &j})
	if err != nil {
		return fmt.Errorf("submit job %s: %w", j.ID, err)
	}
	o.follower.View(func() {
		switch {
		case o.table.Job(j.ID) != nil:
		case o.table.RecentlyPurged(j.ID):
			err = ErrJobEnded
		default:
			err = ErrNotOwner
		}
	})
	if err != nil {
		return fmt.Errorf("submit job %s: %w", j.ID, err)
	}
	return nil
}

// Cancel requests the end of a job's tasks and returns once the request is
// recorded. The job may have ended already. The error matches ErrNotOwner if
// another host owns the shard and ErrNoJob if the shard does not know the job.
func (o *Owner) Cancel(ctx context.Context, id platform.JobID) error {
	recorded, err := o.commit(ctx, record.Record{Cancel: &record.Cancel{Job: id}})
	if err != nil {
		return fmt.Errorf("cancel job %s: %w", id, err)
	}
	if recorded {
		return nil
	}
	if !o.Owns() {
		return fmt.Errorf("cancel job %s: %w", id, ErrNotOwner)
	}
	o.follower.View(func() {
		if o.table.Job(id) == nil && !o.table.RecentlyPurged(id) {
			err = fmt.Errorf("cancel job %s: %w", id, ErrNoJob)
		}
	})
	return err
}

// Endpoints returns the shard's running service replicas.
func (o *Owner) Endpoints() map[platform.ServiceName][]directory.Endpoint {
	out := map[platform.ServiceName][]directory.Endpoint{}
	o.follower.View(func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		add := func(t *task.Task) bool {
			service, w := t.Spec().Service, o.workers[t.Worker]
			if service != "" && w != nil {
				out[service] = append(out[service], newEndpoint(t, w))
			}
			return true
		}
		o.table.EachInState(record.Running, add)
		o.table.EachInState(record.Checkpointing, add)
	})
	return out
}

// TasksOf returns a copy of the tasks of one job, ordered by identifier.
func (o *Owner) TasksOf(id platform.JobID) []task.Task {
	var out []task.Task
	o.follower.View(func() {
		o.table.Each(func(t *task.Task) bool {
			if task.JobOf(t.ID) == id {
				out = append(out, *t)
			}
			return true
		})
	})
	return out
}

// Tasks returns a copy of all tasks, ordered by identifier.
func (o *Owner) Tasks() []task.Task {
	var out []task.Task
	o.follower.View(func() {
		o.table.Each(func(t *task.Task) bool {
			out = append(out, *t)
			return true
		})
	})
	return out
}
