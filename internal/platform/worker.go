package platform

import (
	"context"
	"net/netip"
	"time"
)

// WorkerTime is a reading of one worker's monotonic clock. Readings of different
// workers, or of a worker before and after a restart, cannot be compared.
type WorkerTime time.Duration

// TaskKind is the kind of a task.
type TaskKind uint8

// Kinds of tasks.
const (
	KindBatch TaskKind = iota + 1
	KindService
)

// Fence is the fencing token of a call: the claim under which it is made. A
// worker rejects a call whose epoch is lower than the highest it has seen for the
// shard.
type Fence struct {
	Shard ShardID `json:"shard"`
	Epoch Epoch   `json:"epoch"`
}

// StartRequest asks a worker to run one attempt of a task. It is idempotent: for
// a repeated request the worker returns Accepted again.
type StartRequest struct {
	Task    TaskID   `json:"task"`
	Attempt Attempt  `json:"attempt"`
	Fence   Fence    `json:"fence"`
	Kind    TaskKind `json:"kind"`
	// Class, Service and Template describe the work; Service is empty for
	// batch tasks and Template for services.
	Class    ClassName    `json:"class"`
	Service  ServiceName  `json:"service,omitempty"`
	Template TemplateName `json:"template,omitempty"`
	// Size is the reservation on the worker.
	Size Resources `json:"size"`
	// Work is the declared processor time of a batch task.
	Work time.Duration `json:"work"`
	// NotAfter is the reading of the worker's clock after which the worker
	// must reject the call.
	NotAfter WorkerTime `json:"not_after"`
	// Boot is the boot to which NotAfter belongs and in which the attempt may
	// run; a worker in another boot must reject the call. An empty value is not
	// checked.
	Boot string `json:"boot,omitempty"`
	// LeaseTTL is how long the attempt may run without a renewal.
	LeaseTTL time.Duration `json:"lease_ttl"`
	// Checkpoint is the checkpoint to resume from, or empty.
	Checkpoint string `json:"checkpoint,omitempty"`
	// TraceParent is the W3C trace context of the caller, or empty.
	TraceParent string `json:"trace_parent,omitempty"`
}

// CallResult is a worker's result of a call.
type CallResult string

// Results of worker calls.
const (
	// Accepted: the call took effect now or had taken effect before.
	Accepted CallResult = "accepted"
	// RefusedExpired: NotAfter had passed; the call had no effect.
	RefusedExpired CallResult = "refused_expired"
	// RefusedFenced: the worker has seen a higher epoch, or this attempt or a
	// later one was stopped there; the attempt will never run on this worker.
	RefusedFenced CallResult = "refused_fenced"
	// RefusedCapacity: the task does not fit; the call had no effect.
	RefusedCapacity CallResult = "refused_capacity"
	// RefusedUnknown: the worker does not have the attempt.
	RefusedUnknown CallResult = "refused_unknown"
	// RefusedLeaving: the worker accepts no new work.
	RefusedLeaving CallResult = "refused_leaving"
	// RefusedBoot: the call belongs to another boot; it had no effect.
	RefusedBoot CallResult = "refused_boot"
	// RefusedChanged: the worker has another generation; the call had no effect.
	RefusedChanged CallResult = "refused_changed"
	// Stopping: the attempt is in its grace period or saves its checkpoint and
	// then ends; a repeated stop call shows whether it has ended.
	Stopping CallResult = "stopping"
)

// StartReply is the reply to a StartRequest.
type StartReply struct {
	Result CallResult `json:"result"`
	// Endpoint is the address of a started service.
	Endpoint netip.AddrPort `json:"endpoint,omitzero"`
	Now      WorkerTime     `json:"now"`
}

// TaskAttempt identifies one attempt of one task.
type TaskAttempt struct {
	Task    TaskID  `json:"task"`
	Attempt Attempt `json:"attempt"`
}

// RenewRequest renews the leases of several attempts in one call.
type RenewRequest struct {
	Fence    Fence         `json:"fence"`
	Attempts []TaskAttempt `json:"attempts,omitempty"`
	// IfGeneration, if not zero, renews all attempts that run on the worker,
	// provided that it still has this generation; Attempts is then empty. For
	// another generation the result is RefusedChanged.
	IfGeneration uint64 `json:"if_generation,omitempty"`
	// Forget lists attempts whose end is recorded. The worker rejects them from
	// then on, as after a stop call, and omits them from its reports. It ignores
	// a listed attempt that is running.
	Forget   []TaskAttempt `json:"forget,omitempty"`
	NotAfter WorkerTime    `json:"not_after"`
	// Boot is the boot to which NotAfter belongs. An empty value is not checked.
	Boot     string        `json:"boot,omitempty"`
	LeaseTTL time.Duration `json:"lease_ttl"`
}

// RenewReply lists the attempts that were not renewed because the worker does
// not run them.
type RenewReply struct {
	Result CallResult    `json:"result"`
	Gone   []TaskAttempt `json:"gone,omitempty"`
	Now    WorkerTime    `json:"now"`
	// Generation is the one of Report; zero if the worker does not provide it.
	Generation uint64 `json:"generation,omitempty"`
}

// StopRequest ends an attempt. When the result is Accepted, the worker runs
// neither this attempt nor an earlier one and rejects later starts of them in
// this boot, even if it never saw them. A repeated request has the same result
// until a RenewRequest lists the attempt in Forget.
type StopRequest struct {
	TaskAttempt
	Fence Fence `json:"fence"`
	// Grace is the time that a service has to finish requests in progress.
	Grace time.Duration `json:"grace"`
	// Checkpoint requests a checkpoint before the end.
	Checkpoint bool `json:"checkpoint"`
}

// StopReply is the reply to a StopRequest.
type StopReply struct {
	Result CallResult `json:"result"`
	// Phase is how the attempt ended, if the worker ever ran it.
	Phase TaskPhase `json:"phase,omitempty"`
	// Checkpoint identifies the saved state, or is empty.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Reason says why an attempt failed.
	Reason string     `json:"reason,omitempty"`
	Now    WorkerTime `json:"now"`
}

// ThrottleRequest limits the processor share of an attempt.
type ThrottleRequest struct {
	TaskAttempt
	Fence Fence `json:"fence"`
	// Percent of the reserved processors that the attempt may use, 1 to 100.
	Percent int `json:"percent"`
}

// ThrottleReply is the reply to a ThrottleRequest.
type ThrottleReply struct {
	Result CallResult `json:"result"`
	Now    WorkerTime `json:"now"`
}

// TaskPhase is the state of an attempt at its worker.
type TaskPhase string

// Phases of an attempt at a worker.
const (
	PhaseRunning  TaskPhase = "running"
	PhaseFinished TaskPhase = "finished"
	PhaseFailed   TaskPhase = "failed"
	PhaseStopped  TaskPhase = "stopped"
	PhaseLapsed   TaskPhase = "lapsed"
)

// TaskReport is a worker's report about one attempt.
type TaskReport struct {
	TaskAttempt
	Phase TaskPhase `json:"phase"`
	// Usage is the measured usage of the attempt.
	Usage Resources `json:"usage"`
	// Endpoint is set for running services.
	Endpoint netip.AddrPort `json:"endpoint,omitzero"`
	// Latency is the service's tail latency at its class's percentile over the
	// last measurement period; zero for batch.
	Latency time.Duration `json:"latency,omitempty"`
	// Requests is the number of requests from which Latency was computed.
	Requests int64 `json:"requests,omitempty"`
	// Done is the fraction of a batch task's work that is done, 0 to 1.
	Done float64 `json:"done,omitempty"`
	// Checkpoint identifies saved state, or is empty.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Reason says why an attempt failed.
	Reason string `json:"reason,omitempty"`
	// Connections is the number of open connections to the service.
	Connections int64 `json:"connections,omitempty"`
}

// Report is a worker's state. Usage figures are as of MeasuredAt, which is before
// Now; phases and capacity are as of Now.
type Report struct {
	Worker     WorkerID      `json:"worker"`
	Rack       RackID        `json:"rack"`
	Domain     FailureDomain `json:"failure_domain"`
	Now        WorkerTime    `json:"now"`
	MeasuredAt WorkerTime    `json:"measured_at"`
	// Boot changes whenever the worker restarts and loses its attempts.
	Boot string `json:"boot"`
	// Generation increases whenever an attempt is added, changes its phase or is
	// forgotten, and when Capacity or Leaving change. It is zero if the worker
	// does not provide it.
	Generation uint64    `json:"generation,omitempty"`
	Capacity   Resources `json:"capacity"`
	// MaxConnections limits the open connections of all entry hosts together.
	MaxConnections int64        `json:"max_connections"`
	Leaving        bool         `json:"leaving"`
	Tasks          []TaskReport `json:"tasks"`
}

// Worker is the control interface of one worker. All methods are safe for
// concurrent use. An error that matches ErrOutcomeUnknown means that the call
// may have taken effect.
type Worker interface {
	Report(ctx context.Context) (Report, error)
	Start(ctx context.Context, r StartRequest) (StartReply, error)
	Renew(ctx context.Context, r RenewRequest) (RenewReply, error)
	Stop(ctx context.Context, r StopRequest) (StopReply, error)
	Throttle(ctx context.Context, r ThrottleRequest) (ThrottleReply, error)
}

// WorkerDialer returns the control interface of the worker at an address.
type WorkerDialer interface {
	Dial(id WorkerID, addr netip.AddrPort) Worker
}
