package platform

// HostID names one entry host for as long as its process set is installed.
type HostID string

// WorkerID names one worker.
type WorkerID string

// MachineID names one machine, which carries one worker after the other.
type MachineID string

// RackID names one rack inside a failure domain.
type RackID string

// FailureDomain names a set of machines that can be lost together.
type FailureDomain string

// Region names a group of failure domains.
type Region string

// TeamName names the holder of a quota.
type TeamName string

// ClassName names a class of work declared by operators.
type ClassName string

// ServiceName names a latency-critical service.
type ServiceName string

// TemplateName names a template from which batch jobs are submitted.
type TemplateName string

// JobID names one submitted job. A service's replica is a job of its own, in
// the form "svc:<service>#<replica>".
type JobID string

// TaskID names one task: the job's identifier, a slash, and the task's index.
type TaskID string

// Attempt counts the assignments of one task. It starts at 1 and only grows;
// zero means that the task was never assigned.
type Attempt uint32

// Epoch counts the claims on one shard. It starts at 1 with the first claim.
type Epoch uint64

// ShardID names a fixed set of racks inside one failure domain.
type ShardID string

// Offset is a position in a stream of the log. The first record has offset 0.
type Offset uint64
