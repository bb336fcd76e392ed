package shard

import (
	"errors"
	"fmt"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

// TaskState is the state that the records of a shard change. Apply must be
// deterministic, so that all replicas reach the same state.
type TaskState interface {
	// Apply applies one record. An error means that the record is void; the state is
	// then unchanged.
	Apply(at platform.Offset, r record.Record) error
	// Digest returns a hash of the whole state.
	Digest() uint64
	// MarshalBinary and UnmarshalBinary encode the state in snapshots.
	MarshalBinary() ([]byte, error)
	UnmarshalBinary(data []byte) error
}

// Replayer applies the entries of one shard's stream in order and holds the
// resulting state. It is not safe for concurrent use.
type Replayer struct {
	id           platform.ShardID
	tasks        TaskState
	next         platform.Offset
	epoch        platform.Epoch
	owner        record.WriterID
	lastSequence map[record.WriterID]uint64
	// recordVerdicts are the verdicts on the records of the last batch.
	recordVerdicts []record.Verdict
}

// NewReplayer returns a replayer that expects the first entry of the stream. tasks
// must be empty.
func NewReplayer(id platform.ShardID, tasks TaskState) *Replayer {
	return &Replayer{id: id, tasks: tasks, lastSequence: map[record.WriterID]uint64{}}
}

// Next returns the offset that Apply expects.
func (r *Replayer) Next() platform.Offset { return r.next }

// Epoch returns the epoch of the latest effective claim.
func (r *Replayer) Epoch() platform.Epoch { return r.epoch }

// Owner returns the writer of the latest effective claim. It is zero when the shard
// was never claimed or has been released.
func (r *Replayer) Owner() record.WriterID { return r.owner }

// Apply replays the entry at Next and returns the verdict on it. An error means that
// this version of the program cannot read the entry; the state is then unchanged.
func (r *Replayer) Apply(e platform.Entry) (record.Verdict, error) {
	if e.Offset != r.next {
		return 0, fmt.Errorf("shard %s: entry at offset %d, want %d", r.id, e.Offset, r.next)
	}
	b, err := record.Decode(e.Data)
	if errors.Is(err, record.ErrFormat) {
		return 0, fmt.Errorf("shard %s offset %d: %w", r.id, e.Offset, err)
	}
	r.next++
	r.recordVerdicts = r.recordVerdicts[:0]
	if err != nil {
		return record.Invalid, nil
	}
	if b.Sequence <= r.lastSequence[b.Writer] {
		return record.Duplicate, nil
	}
	r.lastSequence[b.Writer] = b.Sequence
	if len(b.Records) == 1 && b.Records[0].Claim != nil {
		return r.applyClaim(b), nil
	}
	if b.Epoch != r.epoch || b.Writer != r.owner || r.owner == (record.WriterID{}) {
		return record.Stale, nil
	}
	return r.applyRecords(e.Offset, b), nil
}

// applyClaim makes a claim effective when it names the next epoch. Of two racing
// claims, the first advances the epoch, so that the second is stale.
func (r *Replayer) applyClaim(b record.Batch) record.Verdict {
	if b.Epoch != r.epoch+1 {
		return record.Stale
	}
	if b.Records[0].Claim.Release {
		if b.Writer != r.owner {
			return record.Stale
		}
		r.owner = record.WriterID{}
	} else {
		r.owner = b.Writer
	}
	r.epoch = b.Epoch
	clear(r.lastSequence)
	r.lastSequence[b.Writer] = b.Sequence
	return record.Effective
}

func (r *Replayer) applyRecords(at platform.Offset, b record.Batch) record.Verdict {
	verdict := record.Invalid
	for _, rec := range b.Records {
		v := record.Invalid
		if r.tasks.Apply(at, rec) == nil {
			v, verdict = record.Effective, record.Effective
		}
		r.recordVerdicts = append(r.recordVerdicts, v)
	}
	return verdict
}

// RecordVerdicts returns the verdicts on the records of the batch that was applied
// last. It is empty for claims and for batches that were rejected as a whole.
func (r *Replayer) RecordVerdicts() []record.Verdict { return r.recordVerdicts }
