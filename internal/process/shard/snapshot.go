package shard

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

// snapshot is the encoded form of a shard's replayed state.
type snapshot struct {
	Shard platform.ShardID `cbor:"1,keyasint"`
	Next  platform.Offset  `cbor:"2,keyasint"`
	Epoch platform.Epoch   `cbor:"3,keyasint"`
	Owner record.WriterID  `cbor:"4,keyasint"`
	Last  []writerSequence `cbor:"5,keyasint"`
	Tasks []byte           `cbor:"6,keyasint"`
}

// writerSequence is the last sequence number replayed of one writer.
type writerSequence struct {
	Writer   record.WriterID `cbor:"1,keyasint"`
	Sequence uint64          `cbor:"2,keyasint"`
}

func (r *Replayer) sortedSequences() []writerSequence {
	out := make([]writerSequence, 0, len(r.lastSequence))
	for w, s := range r.lastSequence {
		out = append(out, writerSequence{w, s})
	}
	slices.SortFunc(out, func(a, b writerSequence) int {
		return cmp.Or(cmp.Compare(a.Writer.Host, b.Writer.Host), cmp.Compare(a.Writer.Incarnation, b.Writer.Incarnation))
	})
	return out
}

// MarshalBinary encodes the state and the next offset to replay. Equal states
// give equal bytes.
func (r *Replayer) MarshalBinary() ([]byte, error) {
	tasks, err := r.tasks.MarshalBinary()
	if err != nil {
		return nil, fmt.Errorf("encode shard %s: %w", r.id, err)
	}
	data, err := cbor.Marshal(snapshot{r.id, r.next, r.epoch, r.owner, r.sortedSequences(), tasks})
	if err != nil {
		return nil, fmt.Errorf("encode shard %s: %w", r.id, err)
	}
	return data, nil
}

// UnmarshalBinary replaces the state by an encoded one of the same shard. It
// rejects a snapshot that ends before the state's own offset. On an error the
// state is unchanged.
func (r *Replayer) UnmarshalBinary(data []byte) error {
	var snap snapshot
	if err := cbor.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("decode shard %s: %w", r.id, err)
	}
	if snap.Shard != r.id {
		return fmt.Errorf("decode shard %s: image is of shard %s", r.id, snap.Shard)
	}
	if snap.Next < r.next {
		return fmt.Errorf("decode shard %s: image ends at offset %d, state at %d", r.id, snap.Next, r.next)
	}
	if err := r.tasks.UnmarshalBinary(snap.Tasks); err != nil {
		return fmt.Errorf("decode shard %s: %w", r.id, err)
	}
	r.next, r.epoch, r.owner = snap.Next, snap.Epoch, snap.Owner
	r.recordVerdicts = nil
	clear(r.lastSequence)
	for _, l := range snap.Last {
		r.lastSequence[l.Writer] = l.Sequence
	}
	return nil
}

// Digest returns a hash of the state. Replicas at the same offset have the same
// digest. It panics if the encoding fails, which does not happen for the types of this
// package: a constant in its place would hide that replicas differ.
func (r *Replayer) Digest() uint64 {
	data, err := cbor.Marshal(snapshot{r.id, r.next, r.epoch, r.owner, r.sortedSequences(), nil})
	if err != nil {
		panic(err)
	}
	return xxhash.Sum64(data) ^ r.tasks.Digest()
}
