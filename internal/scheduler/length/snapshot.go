package length

// Snapshot is the learned state of a Model, which is passed to the next owner of a
// shard.
type Snapshot map[TaskKind]KindSnapshot

// KindSnapshot holds the moments of one kind's measurements. Estimates and run times
// are logarithms of seconds.
type KindSnapshot struct {
	Count         float64 `cbor:"1,keyasint"`
	MeanEstimate  float64 `cbor:"2,keyasint"`
	MeanRunTime   float64 `cbor:"3,keyasint"`
	EstimateSumSq float64 `cbor:"4,keyasint"`
	CrossSum      float64 `cbor:"5,keyasint"`
	RunTimeSumSq  float64 `cbor:"6,keyasint,omitempty"`
}

// Snapshot returns the learned state.
func (m *Model) Snapshot() Snapshot {
	s := Snapshot{}
	for k, x := range m.kinds {
		s[k] = KindSnapshot{x.count, x.meanEstimate, x.meanRunTime, x.estimateSumSq, x.crossSum, x.runTimeSumSq}
	}
	return s
}

// Restore loads a snapshot into an empty model.
func (m *Model) Restore(s Snapshot) {
	for k, x := range s {
		if x.RunTimeSumSq == 0 {
			// A version before wrote none.
			x.RunTimeSumSq = x.Count * priorDeviation * priorDeviation
		}
		m.kinds[k] = &moments{count: x.Count, meanEstimate: x.MeanEstimate, meanRunTime: x.MeanRunTime, estimateSumSq: x.EstimateSumSq, crossSum: x.CrossSum, runTimeSumSq: x.RunTimeSumSq}
	}
}
