// Package record defines the records that siskinvane writes to the platform's
// log, and their encoding. A stream entry is one Batch; its records take effect
// in order and together. The encoding is CBOR with integer keys.
package record

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/siskinvane/siskinvane/internal/platform"
)

// Format is the format number that this version writes and the highest that
// it reads.
const Format uint8 = 1

// ConfigStream is the stream of operators' declarations.
const ConfigStream = "config"

// ShardStream returns the name of the stream that holds a shard's records.
func ShardStream(s platform.ShardID) string { return "shard/" + string(s) }

// SnapshotStream returns the name of the stream that holds a shard's snapshot
// chunks.
func SnapshotStream(s platform.ShardID) string { return "snapshot/" + string(s) }

// AnchorStream returns the name of the stream that holds a shard's anchors.
func AnchorStream(s platform.ShardID) string { return "anchor/" + string(s) }

// Streams of the snapshots of the configuration.
const (
	ConfigSnapshotStream = "snapshot-config"
	ConfigAnchorStream   = "anchor-config"
)

// WriterID identifies one run of a host's process. A restarted process has a new
// one, so that its sequence numbers are not taken for duplicates.
type WriterID struct {
	Host        platform.HostID `cbor:"1,keyasint"`
	Incarnation uint64          `cbor:"2,keyasint"`
}

// Batch is one entry of a stream.
type Batch struct {
	Format uint8    `cbor:"1,keyasint"`
	Writer WriterID `cbor:"2,keyasint"`
	// Epoch is that of the claim under which the batch was written; a batch with
	// a Claim has the epoch that it claims.
	Epoch platform.Epoch `cbor:"3,keyasint,omitempty"`
	// Sequence increases with each batch of a writer in a stream and is at least
	// 1. Appending a batch again with the same sequence has no effect.
	Sequence uint64   `cbor:"4,keyasint"`
	Records  []Record `cbor:"5,keyasint"`
}

// Record is one change. Exactly one field is set.
type Record struct {
	Claim      *Claim      `cbor:"1,keyasint,omitempty"`
	Job        *Job        `cbor:"2,keyasint,omitempty"`
	Transition *Transition `cbor:"3,keyasint,omitempty"`
	Cancel     *Cancel     `cbor:"4,keyasint,omitempty"`
	Publish    *Publish    `cbor:"5,keyasint,omitempty"`
	Anchor     *Anchor     `cbor:"6,keyasint,omitempty"`
	Chunk      *Chunk      `cbor:"7,keyasint,omitempty"`
	Rescale    *Rescale    `cbor:"8,keyasint,omitempty"`
	Topology   *Topology   `cbor:"9,keyasint,omitempty"`
}

// Claim claims the ownership of a shard. It is effective when its batch's epoch
// is one more than the shard's epoch at that offset; of two claims of one epoch
// the one at the lower offset wins.
type Claim struct {
	// Release gives the shard up: the epoch increases and the owner becomes empty.
	Release bool `cbor:"1,keyasint,omitempty"`
}

// Job adds tasks to a shard: Count tasks with consecutive indexes from First. A
// repeated job has no effect.
type Job struct {
	ID       platform.JobID        `cbor:"1,keyasint"`
	Team     platform.TeamName     `cbor:"2,keyasint"`
	Class    platform.ClassName    `cbor:"3,keyasint"`
	Template platform.TemplateName `cbor:"4,keyasint,omitempty"`
	// Service is set for services; their tasks are replicas.
	Service platform.ServiceName `cbor:"5,keyasint,omitempty"`
	First   uint32               `cbor:"6,keyasint,omitempty"`
	Count   uint32               `cbor:"7,keyasint"`
	// Size is the declared size of one task, with Slots 1.
	Size platform.Resources `cbor:"8,keyasint"`
	// WorkMillis is the declared run time of one batch task in ms.
	WorkMillis uint64 `cbor:"9,keyasint,omitempty"`
	// Urgent is set when the class may not wait.
	Urgent bool `cbor:"10,keyasint,omitempty"`
	// SubmittedMillis is the submitter's wall clock in ms since 1970.
	SubmittedMillis int64 `cbor:"11,keyasint,omitempty"`
}

// State is the state of a task in the log.
type State uint8

// States of a task. Finished, Failed, Cancelled and Unrunnable are final.
const (
	Queued State = iota + 1
	Assigned
	Running
	Checkpointing
	Finished
	Failed
	Cancelled
	Unrunnable
)

// Final reports whether no transition leaves s.
func (s State) Final() bool { return s >= Finished }

// String returns the state's name as operators see it.
func (s State) String() string {
	names := [...]string{"none", "queued", "assigned", "running", "checkpointing",
		"finished", "failed", "cancelled", "unrunnable"}
	if int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Transition changes the state of one task. Assigned has a new attempt, one
// greater than the last; every other transition has the attempt that it applies
// to. A transition back to Queued means that the attempt is known to have ended.
type Transition struct {
	Task    platform.TaskID   `cbor:"1,keyasint"`
	Attempt platform.Attempt  `cbor:"2,keyasint,omitempty"`
	State   State             `cbor:"3,keyasint"`
	Worker  platform.WorkerID `cbor:"4,keyasint,omitempty"`
	// Size is the reservation of an assigned attempt.
	Size platform.Resources `cbor:"5,keyasint,omitempty"`
	// Endpoint is the address of a running service, as IP:port.
	Endpoint string `cbor:"6,keyasint,omitempty"`
	// Checkpoint is the saved state to resume from.
	Checkpoint string `cbor:"7,keyasint,omitempty"`
	Reason     string `cbor:"8,keyasint,omitempty"`
	// AtMillis is the writer's wall clock in ms since 1970.
	AtMillis int64 `cbor:"9,keyasint,omitempty"`
	// End says how the attempt ended; it is set with the state Queued.
	End End `cbor:"10,keyasint,omitempty"`
	// Boot identifies the boot of the worker in which an assigned attempt may
	// run.
	Boot string `cbor:"11,keyasint,omitempty"`
}

// End is how an attempt ended without finishing its task.
type End uint8

// Ends of attempts.
const (
	// EndFailed: the worker ran the attempt and the attempt failed.
	EndFailed End = iota + 1
	// EndStopped: the worker stopped the attempt when asked.
	EndStopped
	// EndRefused: the worker never ran the attempt and will not run it.
	EndRefused
	// EndLapsed: the lease expired.
	EndLapsed
	// EndRestarted: the worker restarted and lost the attempt.
	EndRestarted
)

// String returns the end's name as operators see it.
func (e End) String() string {
	names := [...]string{"none", "failed", "stopped", "refused", "lapsed", "restarted"}
	if int(e) < len(names) {
		return names[e]
	}
	return fmt.Sprintf("end(%d)", uint8(e))
}

// Cancel cancels all tasks of a job. Queued tasks are cancelled immediately; others
// are marked, and the owner stops them.
type Cancel struct {
	Job platform.JobID `cbor:"1,keyasint"`
}

// Rescale sets the number of replicas of a service's job in this shard: tasks
// with an index below Count run, the others end. A task that ended is queued
// again when a later Rescale includes it.
type Rescale struct {
	Job   platform.JobID `cbor:"1,keyasint"`
	Count uint32         `cbor:"2,keyasint"`
}

// Publish is one version of the operators' declarations. It is effective when
// Base equals the version before it and the document is valid.
type Publish struct {
	Base     uint64 `cbor:"1,keyasint"`
	Operator string `cbor:"2,keyasint"`
	Document []byte `cbor:"3,keyasint"`
}

// Anchor describes a complete snapshot. The chunks are in the snapshot stream and
// hold the state after all records below Through.
type Anchor struct {
	Through    platform.Offset `cbor:"1,keyasint"`
	FirstChunk platform.Offset `cbor:"2,keyasint"`
	Chunks     uint32          `cbor:"3,keyasint"`
	// Snapshot identifies the snapshot that the chunks belong to.
	Snapshot uint64 `cbor:"4,keyasint"`
	// Digest is the xxhash of the chunks' data concatenated in order.
	Digest uint64 `cbor:"5,keyasint"`
	// AtMillis is the writer's wall clock in ms since 1970.
	AtMillis int64 `cbor:"6,keyasint,omitempty"`
	// Bytes is the total length of the chunks' data.
	Bytes uint64 `cbor:"7,keyasint,omitempty"`
}

// Chunk is one part of a snapshot.
type Chunk struct {
	Snapshot uint64 `cbor:"1,keyasint"`
	Index    uint32 `cbor:"2,keyasint"`
	Data     []byte `cbor:"3,keyasint"`
}

// ErrFormat reports a batch of a newer format. A reader must stop at it, because
// it cannot know what the batch changes.
var ErrFormat = errors.New("record format is newer than this program")

// ErrMalformed reports an entry that is not a batch. Such an entry has no effect.
var ErrMalformed = errors.New("malformed batch")

var encMode = mustEncMode()

func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the encoding of b with the current format number.
func Encode(b Batch) ([]byte, error) {
	b.Format = Format
	data, err := encMode.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("encode batch: %w", err)
	}
	return data, nil
}

// Decode returns the batch in data. The error matches ErrFormat or
// ErrMalformed.
func Decode(data []byte) (Batch, error) {
	var head struct {
		Format uint8 `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(data, &head); err != nil {
		return Batch{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if head.Format > Format {
		return Batch{}, fmt.Errorf("%w: %d, read up to %d", ErrFormat, head.Format, Format)
	}
	var b Batch
	if err := cbor.Unmarshal(data, &b); err != nil {
		return Batch{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if b.Format == 0 || b.Sequence == 0 {
		return Batch{}, fmt.Errorf("%w: format %d, sequence %d", ErrMalformed, b.Format, b.Sequence)
	}
	return b, nil
}

// Verdict is the result of replaying a batch or a record. It is the same on every
// host.
type Verdict uint8

// Verdicts on batches and records.
const (
	// Effective: it changed the state.
	Effective Verdict = iota + 1
	// Duplicate: it was applied before.
	Duplicate
	// Stale: it was written under an epoch or base that is not the current one.
	Stale
	// Invalid: its contents are not allowed; it has no effect.
	Invalid
)

// String returns the verdict's name.
func (v Verdict) String() string {
	names := [...]string{"none", "effective", "duplicate", "stale", "invalid"}
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}
