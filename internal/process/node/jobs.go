package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

// ErrUnknownJob reports that the log holds no job of this ID.
var ErrUnknownJob = errors.New("no such job")

// Submit records a job. It returns nil once the job is stored. An error that matches
// store.ErrUnavailable, or is a *RefusedError, means that the job was certainly not
// stored; after any other error it may have been.
func (n *Node) Submit(ctx context.Context, id job.ID, s *job.Submission) error {
	started := n.Clock()
	err := n.submit(ctx, id, s)
	n.reportSubmission(id, s, n.Clock()-started, err)
	return err
}

func (n *Node) submit(ctx context.Context, id job.ID, s *job.Submission) error {
	if _, known := n.table.Get(id); known {
		return nil
	}
	r, err := job.SubmissionRecord(id, s)
	if err != nil {
		return err
	}
	return n.write(ctx, Proposal{ID: id, Submission: s, Record: r})
}

// Cancel records that a job is cancelled. After ErrUnknownJob the log had no such job, and
// one whose submission is still under way will not run.
func (n *Node) Cancel(ctx context.Context, id job.ID) error {
	err := n.cancelJob(ctx, id)
	n.reportCancel(id, err)
	return err
}

func (n *Node) cancelJob(ctx context.Context, id job.ID) error {
	e, err := n.lookup(ctx, id)
	switch {
	case errors.Is(err, ErrUnknownJob):
		return n.cancelUnknownJob(ctx, id)
	case err != nil:
		return err
	case e.Cancelled || e.Progress.State.Final():
		return nil
	}
	return n.writeCancellation(ctx, id)
}

func (n *Node) writeCancellation(ctx context.Context, id job.ID) error {
	return n.write(ctx, Proposal{ID: id, Record: job.CancellationRecord(id, time.Now().UnixMilli())})
}

// maxEarlyCancellations limits the memory and the room in the log that the cancellations of
// jobs take that were not submitted.
const maxEarlyCancellations = 10_000

// errTooManyCancellations reports that a cancellation was not recorded.
var errTooManyCancellations = errors.New("too many cancelled jobs that were not submitted")

// cancelUnknownJob records the cancellation of a job that the log does not have: another host
// may be about to append its submission, or an append without an answer may still be carried
// out. The job's state is final once the submission follows. It returns ErrUnknownJob if the
// submission has not come by then.
func (n *Node) cancelUnknownJob(ctx context.Context, id job.ID) error {
	age, cancelled := n.table.EarlyCancellation(id, n.Clock(), time.Now().UnixMilli())
	switch {
	case cancelled && age < n.cancellationRetention()/2:
		return ErrUnknownJob
	case !cancelled && n.table.EarlyCancellations() >= maxEarlyCancellations:
		return errTooManyCancellations
	}
	if err := n.writeCancellation(ctx, id); err != nil {
		return err
	}
	if _, known := n.table.Get(id); known {
		return nil
	}
	return ErrUnknownJob
}

// cancellationRetention is how long the cancellation of a job is kept that is not submitted:
// like an ended job, but longer than a submission takes that is under way.
func (n *Node) cancellationRetention() time.Duration {
	return max(n.Retention, 2*lateAppend) + retentionSkew
}

// expiredRecords returns the records that delete up to limit ended jobs, and as many
// cancellations of jobs that were not submitted, whose retention time is over.
func (n *Node) expiredRecords(limit int) []store.Record {
	var records []store.Record
	now := time.Now()
	for _, id := range n.table.Expired(now.Add(-n.Retention-retentionSkew).UnixMilli(), limit) {
		records = append(records, job.DeletionRecords(id, n.table.Parts(id)...)...)
	}
	for _, id := range n.table.ExpiredCancellations(n.Clock(), now.UnixMilli(), n.cancellationRetention(), limit) {
		records = append(records, job.CancellationDeletionRecord(id))
	}
	return records
}

// lookup returns a job's entry. If the table does not have the job it reads the log to
// its end first.
func (n *Node) lookup(ctx context.Context, id job.ID) (job.Entry, error) {
	if e, ok := n.table.Get(id); ok {
		return e, nil
	}
	if err := n.refreshForCaller(ctx); err != nil {
		return job.Entry{}, err
	}
	if e, ok := n.table.Get(id); ok {
		return e, nil
	}
	return job.Entry{}, ErrUnknownJob
}

// refreshForCaller reads the log to its end, unless the store does not serve its partition.
func (n *Node) refreshForCaller(ctx context.Context) error {
	untilAway, stop := n.answers.untilAway(ctx)
	defer stop()
	err := n.Refresh(untilAway)
	if lasted, away := n.answers.away(); away && err != nil {
		return &AwayError{Lasted: lasted}
	}
	return err
}

// State returns a job's state for callers. It asks the shard's owner about jobs that
// have not ended.
func (n *Node) State(ctx context.Context, id job.ID) (job.State, error) {
	e, err := n.lookup(ctx, id)
	if err != nil {
		return 0, err
	}
	if state := e.State(); state.Final() {
		return state, nil
	}
	if d := n.ownedDispatcher(); d != nil {
		if state, held := d.State(id); held {
			return state, nil
		}
		e, _ = n.table.Get(id)
		return e.State(), nil
	}
	if addr, ok := n.owner(); ok {
		var reply StateReply
		err := n.peers.Call(addr, peerService, "State", StateArgs{ID: id}, &reply)
		if err == nil && reply.Held {
			return reply.State, nil
		}
		if err != nil {
			n.reportOwnerUnreachable("state", err, logrus.Fields{"job": id})
		}
	}
	if err := n.refreshForCaller(ctx); err != nil {
		// Answer from what was read earlier; the store outage is logged separately.
		return e.State(), nil
	}
	e, _ = n.table.Get(id)
	return e.State(), nil
}

// maxPendingAge is how old the count of waiting jobs may be that callers are told.
const maxPendingAge = 2 * time.Second

// Pending counts the jobs of a queue that have not started any task, as of maxPendingAge
// ago or later. It reads the log first if the host has not done so lately, as after its
// start, and returns the error of that read.
func (n *Node) Pending(ctx context.Context, q queue.Name) (int, error) {
	if n.SinceCaughtUp() > maxPendingAge {
		if err := n.refreshForCaller(ctx); err != nil {
			return 0, fmt.Errorf("count waiting jobs of queue %s: %w", q, err)
		}
	}
	return n.table.Pending(q), nil
}
