package node

import (
	"errors"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// reportSubmission logs and counts the outcome of a job's submission.
func (n *Node) reportSubmission(id job.ID, s *job.Submission, elapsed time.Duration, err error) {
	var refused *RefusedError
	tasks := s.Spec.OccurrenceCount() * s.Spec.TasksPerOccurrence()
	switch {
	case err == nil:
		metrics.GetOrRegisterTimer("job.accepted", n.Metrics).Update(elapsed)
		event.JobAccepted.Log(n.Logger, logrus.Fields{
			"job": id, "queue": s.Queue, "tasks": tasks, "took_ms": elapsed.Milliseconds(),
			"endless": s.Spec.LongRunning(),
		})
	case OutcomeUnknown(err):
		n.count("jobs.outcome_open")
		event.JobOutcomeUnknown.Log(n.Logger, logrus.Fields{
			"job": id, "queue": s.Queue, "tasks": tasks, "took_ms": elapsed.Milliseconds(), "error": err,
		})
	case errors.As(err, &refused):
		n.count("jobs.refused_" + strings.ReplaceAll(refused.Reason, " ", "_"))
		event.JobRefused.Log(n.Logger, logrus.Fields{
			"job": id, "queue": s.Queue, "tasks": tasks, "reason": refused.Reason, "wait_ms": refused.Wait.Milliseconds(),
			"slack_ms": refused.Slack.Milliseconds(), "retry_after_ms": refused.RetryAfter.Milliseconds(),
		})
	default:
		n.count("jobs.refused_store_unavailable")
		event.JobRefused.Log(n.Logger, logrus.Fields{
			"job": id, "queue": s.Queue, "tasks": tasks, "reason": err.Error(), "store_away_ms": n.Outage().Milliseconds(),
		})
	}
}

// reportCancel logs and counts a cancellation, also one of a job that the log does not have.
func (n *Node) reportCancel(id job.ID, err error) {
	switch {
	case err == nil:
		n.count("jobs.cancel_taken")
		event.JobCancelled.Log(n.Logger, logrus.Fields{"job": id})
	case errors.Is(err, ErrUnknownJob):
		n.count("jobs.cancel_taken_early")
		event.UnknownJobCancelled.Log(n.Logger, logrus.Fields{"job": id, "unsubmitted": n.table.EarlyCancellations()})
	}
}

// reportPartition logs the beginning and the end of an outage of the shard's partition.
func (n *Node) reportPartition(away bool, lasted time.Duration) {
	fields := logrus.Fields{"unserved_ms": lasted.Milliseconds(), "joins_age_ms": n.joinOutage().Milliseconds(), "owner": n.OwnsShard()}
	if away {
		n.count("store.partition_lost")
		event.PartitionLost.Log(n.Logger, fields)
		return
	}
	event.PartitionRegained.Log(n.Logger, fields)
}

// reportOwnerUnreachable logs that the shard's owner did not answer a call.
func (n *Node) reportOwnerUnreachable(call string, err error, fields logrus.Fields) {
	fields["question"], fields["error"] = call, err
	event.OwnerUnreachable.Log(n.Logger, fields)
}

func (n *Node) count(name string) { metrics.GetOrRegisterCounter(name, n.Metrics).Inc(1) }
