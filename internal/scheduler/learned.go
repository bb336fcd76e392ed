package scheduler

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/siskinvane/siskinvane/internal/scheduler/headroom"
	"github.com/siskinvane/siskinvane/internal/scheduler/length"
)

// learned holds the models that an owner hands over to the next one, beside the state
// of jobs.
type learned struct {
	Headroom headroom.Snapshot `cbor:"1,keyasint"`
	Lengths  length.Snapshot   `cbor:"2,keyasint"`
}

// Learned encodes what the shard has learned about images and task lengths, for
// Restore.
func (s *Shard) Learned() ([]byte, error) {
	data, err := cbor.Marshal(learned{s.headroom.Snapshot(s.now), s.lengths.Snapshot()})
	if err != nil {
		return nil, fmt.Errorf("encode learned models: %w", err)
	}
	return data, nil
}

// Restore loads the models that an earlier owner has learned.
func (s *Shard) Restore(data []byte) error {
	var l learned
	if err := cbor.Unmarshal(data, &l); err != nil {
		return fmt.Errorf("decode learned models: %w", err)
	}
	s.headroom.Restore(l.Headroom, s.takenOverAt)
	s.lengths.Restore(l.Lengths)
	return nil
}
