package headroom

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot is the learned state of a Model, which is passed to the next owner of a
// shard.
type Snapshot struct {
	Images    []string       `cbor:"1,keyasint"`
	LowLevels []float64      `cbor:"2,keyasint"`
	Costs     []CostSnapshot `cbor:"3,keyasint"`
}

// CostSnapshot is one measured cost. Victim and Antagonist are indexes of
// Snapshot.Images.
type CostSnapshot struct {
	Victim     int     `cbor:"1,keyasint"`
	Antagonist int     `cbor:"2,keyasint"`
	Mean       float64 `cbor:"3,keyasint"`
	Variance   float64 `cbor:"4,keyasint"`
}

// maxSnapshotCosts bounds the size of a snapshot, in which a cost takes about 25 bytes.
const maxSnapshotCosts = 4000

// Snapshot returns the learned state. Costs that were never measured are left out, and above
// maxSnapshotCosts the least certain ones.
func (m *Model) Snapshot(now time.Duration) Snapshot {
	s := Snapshot{Images: make([]string, len(m.images)), LowLevels: append([]float64(nil), m.lowLevels...)}
	for name, i := range m.images {
		s.Images[i] = name
	}
	for v, row := range m.costs {
		for c, pair := range row {
			if pair.variance < priorCostVariance {
				mean, deviation := m.Cost(ImageID(v), ImageID(c), now)
				s.Costs = append(s.Costs, CostSnapshot{v, c, mean, deviation * deviation})
			}
		}
	}
	if len(s.Costs) > maxSnapshotCosts {
		slices.SortStableFunc(s.Costs, func(a, b CostSnapshot) int { return cmp.Compare(a.Variance, b.Variance) })
		s.Costs = s.Costs[:maxSnapshotCosts]
	}
	return s
}

// Restore loads a snapshot into an empty model. Costs with an index outside of
// Snapshot.Images are skipped.
func (m *Model) Restore(s Snapshot, now time.Duration) {
	for i, name := range s.Images {
		image := m.Image(name)
		if i < len(s.LowLevels) {
			m.lowLevels[image] = s.LowLevels[i]
		}
	}
	for _, c := range s.Costs {
		if c.Victim < 0 || c.Victim >= len(s.Images) || c.Antagonist < 0 || c.Antagonist >= len(s.Images) {
			continue
		}
		m.costs[m.Image(s.Images[c.Victim])][m.Image(s.Images[c.Antagonist])] = cost{mean: c.Mean, variance: c.Variance, updatedAt: now}
	}
}
