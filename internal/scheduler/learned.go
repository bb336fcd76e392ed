package scheduler

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/siskinvane/siskinvane/internal/scheduler/headroom"
	"github.com/siskinvane/siskinvane/internal/scheduler/length"
)

// learnedModels holds the models that an owner hands over to the next one, beside the
// state of jobs.
type learnedModels struct {
	Headroom headroom.Snapshot `cbor:"1,keyasint"`
	Lengths  length.Snapshot   `cbor:"2,keyasint"`
	// CapacityChanged is set once the capacity of a worker has changed during its run.
	CapacityChanged bool `cbor:"3,keyasint,omitempty"`
	// RefusedRates holds the starts per second of the classes of tasks whose jobs are refused.
	RefusedRates map[capacityClass]float64 `cbor:"4,keyasint,omitempty"`
}

// LearnedModels returns the encoded models of the interference of images and of the run
// times of tasks, for the next owner.
func (s *Shard) LearnedModels() ([]byte, error) {
	data, err := cbor.Marshal(learnedModels{s.headroom.Snapshot(s.now), s.lengths.Snapshot(), s.entries.capacityChanged, s.refusedRates(s.now)})
	if err != nil {
		return nil, fmt.Errorf("encode what was learned: %w", err)
	}
	return data, nil
}

// RestoreModels loads the encoded models of an earlier owner.
func (s *Shard) RestoreModels(data []byte) error {
	var l learnedModels
	if err := cbor.Unmarshal(data, &l); err != nil {
		return fmt.Errorf("decode what was learned: %w", err)
	}
	s.headroom.Restore(l.Headroom, s.takenOverAt)
	s.lengths.Restore(l.Lengths)
	s.inheritedRates = l.RefusedRates
	s.entries.capacityChanged = s.entries.capacityChanged || l.CapacityChanged
	return nil
}
