// Package fleet defines the interfaces of the platform's workers, of the machines
// that they run on, and of the advice service.
package fleet

import (
	"context"
	"net/netip"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// Worker is a worker's entry in the platform's store.
type Worker struct {
	ID      platform.WorkerID
	Addr    netip.AddrPort
	Service platform.ServiceName
	Domain  platform.FailureDomain
	Rack    platform.RackID
	// Labels are the labels that a step may require, including the rack.
	Labels []string
	// Capacity is the total that tasks may reserve.
	Capacity platform.Resources
	// Draining is set once the worker must get no new tasks.
	Draining bool
	// Remaining is the minimum time until a draining worker stops.
	Remaining time.Duration
	// Started identifies the worker's run: Unix milliseconds of its start.
	Started int64
}

// StartOrder asks a worker to run one attempt of a task. It is idempotent.
type StartOrder struct {
	Task    job.TaskRef
	Attempt platform.Attempt
	Payload string
	// LeaseEnd is the reading of the worker's clock at which all of its attempts
	// end, unless a later call extends it.
	LeaseEnd platform.WorkerTime
	// Token is the fencing token. The worker refuses an order whose token is
	// lower than one that it has seen.
	Token platform.Epoch
	// Checkpoint is the state to resume from, or empty.
	Checkpoint string
	// Ticket is the advice service's permission, or empty.
	Ticket string
}

// StopOrder ends an attempt; the worker then rejects it and all earlier ones.
type StopOrder struct {
	Task    job.TaskRef
	Attempt platform.Attempt
	Token   platform.Epoch
}

// ThrottleOrder limits a running attempt to a share of its processor time.
type ThrottleOrder struct {
	Task    job.TaskRef
	Attempt platform.Attempt
	// Percent is 0 to 100.
	Percent int
	Token   platform.Epoch
}

// RenewOrder extends the leases of all attempts on a worker and requests the
// lists of its running and ended attempts.
type RenewOrder struct {
	LeaseEnd platform.WorkerTime
	Token    platform.Epoch
	// Acknowledged is the highest Ended.Number that is recorded; the worker
	// forgets the ended attempts up to it.
	Acknowledged uint64
	// Wait is how long the worker may wait for an attempt to end before it
	// responds.
	Wait time.Duration
}

// Verdict is a worker's decision on an order.
type Verdict uint8

// Verdicts of workers.
const (
	// Accepted: the order took effect now or had taken effect before.
	Accepted Verdict = iota + 1
	// RefusedFenced: a higher token was seen; the order had no effect.
	RefusedFenced
	// RefusedEnded: this attempt or a later one has ended or was stopped there.
	RefusedEnded
	// RefusedExpired: the lease would have ended already; the order had no effect.
	RefusedExpired
	// RefusedCapacity: the task does not fit; the order had no effect.
	RefusedCapacity
	// RefusedTicket: the ticket is missing or no longer valid; the order had no
	// effect.
	RefusedTicket
	// RefusedInvalid: the order is malformed; it had no effect.
	RefusedInvalid
	// RefusedUnhealthy: the worker is unhealthy; the order had no effect.
	RefusedUnhealthy
	// RefusedOtherRun: the order is for another run of the worker.
	RefusedOtherRun
)

// String returns the verdict's name in logs.
func (v Verdict) String() string {
	words := [...]string{"none", "accepted", "fenced", "old", "late", "room", "ticket", "invalid", "unhealthy", "other_run"}
	if int(v) >= len(words) {
		return "unknown"
	}
	return words[v]
}

// Answer is a worker's response to an order about one attempt.
type Answer struct {
	Verdict Verdict
	// Clock is the worker's clock, or zero if the response did not include it.
	Clock platform.WorkerTime
}

// Running is one attempt that a worker runs.
type Running struct {
	Task       job.TaskRef
	Attempt    platform.Attempt
	Checkpoint string
	// Progress is 0 to 100. A task without an end reports 100 once it is in
	// operation.
	Progress int
	// Load is an estimate for the last half second: the tail latency in
	// milliseconds of a task that serves users, otherwise the CPU usage in
	// thousandths of a core.
	Load float64
}

// EndKind is how an attempt ended.
type EndKind string

// Ends of attempts.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndLapsed  EndKind = "lapsed"
	// EndGangMemberEnded: another member of the gang ended.
	EndGangMemberEnded EndKind = "broken"
	// EndGangIncomplete: the other members of the gang did not start in time.
	EndGangIncomplete EndKind = "alone"
	// EndUnknown stands for a kind that is not listed here. The attempt has ended.
	EndUnknown EndKind = "unknown"
)

// Ended is one attempt that has ended and has not been acknowledged.
type Ended struct {
	// Number numbers the ended attempts of a worker's run from 1.
	Number     uint64
	Task       job.TaskRef
	Attempt    platform.Attempt
	Kind       EndKind
	Checkpoint string
}

// RenewReply is a worker's response to a RenewOrder.
type RenewReply struct {
	Verdict Verdict
	Clock   platform.WorkerTime
	// Started identifies the worker's run, as in Worker; zero means unknown.
	Started int64
	Running []Running
	// Ended are the first MaxListedEnds ended attempts that are not acknowledged, in the order
	// in which they have ended.
	Ended []Ended
}

// MaxListedEnds is the number of ended attempts that a worker lists at a time. The next ones
// are listed once these are acknowledged.
const MaxListedEnds = 500

// EndsGoOn reports whether the worker may have more ended attempts than it lists. What an
// attempt that is in neither list has come to is then not known.
func (r RenewReply) EndsGoOn() bool { return len(r.Ended) >= MaxListedEnds }

// BatchStopper is implemented by clients of workers that send several stop orders to one worker at a
// fraction of their cost. It returns the outcome of each order, as Workers.Stop does.
type BatchStopper interface {
	StopAll(ctx context.Context, w Worker, orders []StopOrder) []StopOutcome
}

// StopOutcome is the outcome of a stop order.
type StopOutcome struct {
	Answer Answer
	Err    error
}

// Workers sends orders to workers. An error matches platform.ErrOutcomeUnknown if
// the order may have taken effect or may still do so; otherwise it certainly had
// no effect.
type Workers interface {
	Start(ctx context.Context, w Worker, o StartOrder) (Answer, error)
	Stop(ctx context.Context, w Worker, o StopOrder) (Answer, error)
	Throttle(ctx context.Context, w Worker, o ThrottleOrder) (Answer, error)
	Renew(ctx context.Context, w Worker, o RenewOrder) (RenewReply, error)
}

// AdviceRequest asks which workers may run a step.
type AdviceRequest struct {
	Job        job.ID
	Occurrence int
	Step       int
	// Workers has at most 100 elements.
	Workers []platform.WorkerID
}

// Advice is the response of the advice service.
type Advice struct {
	// Tickets are the permissions of the workers that may run the step.
	Tickets map[platform.WorkerID]string
	// Validity is how long the tickets are valid; zero if the response did not
	// include it.
	Validity time.Duration
	// Unreadable are the errors of rows that name no worker.
	Unreadable []error
}

// MaxAdviceWait bounds the wait for an answer of the advice service, so that a step is asked about
// again whatever times are declared.
const MaxAdviceWait = time.Minute

// Advisor is the advice service, which decides which workers may run a step.
type Advisor interface {
	// Advise waits for the answer until ctx is done, MaxAdviceWait at most.
	Advise(ctx context.Context, q AdviceRequest) (Advice, error)
}

// Changes are changes of the entries of workers.
type Changes struct {
	// All is set if Set holds every worker that has an entry.
	All     bool
	Set     []Worker
	Removed []platform.WorkerID
	// More is set if there may already be later changes.
	More bool
	// Unreadable are the errors of invalid entries.
	Unreadable []error
}

// Registry follows the entries of workers. It is not safe for concurrent use.
type Registry interface {
	// Next returns the changes since the last call. The first call returns all
	// entries.
	Next(ctx context.Context) (Changes, error)
}
