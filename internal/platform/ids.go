package platform

// HostID identifies one entry host as long as its set of processes is installed.
type HostID string

// WorkerID identifies one worker.
type WorkerID string

// MachineID identifies one machine, which runs successive workers, one at a time.
type MachineID string

// RackID identifies one rack in a failure domain.
type RackID string

// FailureDomain identifies a set of machines that can fail together.
type FailureDomain string

// Region identifies a group of failure domains.
type Region string

// TeamName names the holder of a quota.
type TeamName string

// ClassName names a class of work declared by operators.
type ClassName string

// ServiceName names a latency-critical service.
type ServiceName string

// TemplateName names a template from which batch jobs are submitted.
type TemplateName string

// JobID identifies one submitted job. Each replica of a service is a job of its
// own, named "svc:<service>#<replica>".
type JobID string

// TaskID identifies one task: the job's identifier, a slash, and the task's index.
type TaskID string

// Attempt numbers the assignments of one task. It starts at 1 and only increases;
// zero means that the task was never assigned.
type Attempt uint32

// Epoch numbers the claims of one shard. The first claim has epoch 1.
type Epoch uint64

// ShardID identifies a fixed set of racks in one failure domain.
type ShardID string

// Offset is a position in a stream of the log. The first record has offset 0.
type Offset uint64
