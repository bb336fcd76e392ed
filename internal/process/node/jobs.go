package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
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

// Cancel records that a job is cancelled.
func (n *Node) Cancel(ctx context.Context, id job.ID) error {
	err := n.cancelJob(ctx, id)
	n.reportCancel(id, err)
	return err
}

func (n *Node) cancelJob(ctx context.Context, id job.ID) error {
	e, err := n.lookup(ctx, id)
	if err != nil {
		return err
	}
	if e.Cancelled || e.Progress.State.Final() {
		return nil
	}
	return n.write(ctx, Proposal{ID: id, Record: job.CancellationRecord(id)})
}

// lookup returns a job's entry. If the table does not have the job it reads the log to
// its end first.
func (n *Node) lookup(ctx context.Context, id job.ID) (job.Entry, error) {
	if e, ok := n.table.Get(id); ok {
		return e, nil
	}
	if err := n.Refresh(ctx); err != nil {
		return job.Entry{}, err
	}
	if e, ok := n.table.Get(id); ok {
		return e, nil
	}
	return job.Entry{}, ErrUnknownJob
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
	if err := n.Refresh(ctx); err != nil {
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
		if err := n.Refresh(ctx); err != nil {
			return 0, fmt.Errorf("count waiting jobs of queue %s: %w", q, err)
		}
	}
	return n.table.Pending(q), nil
}
