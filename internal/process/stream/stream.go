// Package stream replays and writes the streams of the log. A Follower replays a
// stream into a state; a Writer appends batches and takes their verdicts from
// the replay.
package stream

import (
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

// State is replayed from a stream.
type State interface {
	// Next returns the offset of the entry that Apply expects.
	Next() platform.Offset
	// Apply replays one entry.
	Apply(e platform.Entry) (record.Verdict, error)
}

// PerRecordState is a State that has a verdict for each record of a batch. A
// Writer puts several commits into one batch only for such states.
type PerRecordState interface {
	State
	// RecordVerdicts returns the verdicts on the records of the batch that was
	// applied last. It is empty when the whole batch had no effect.
	RecordVerdicts() []record.Verdict
}

// Result is the outcome of a commit that was replayed.
type Result struct {
	// Offset is that of the batch that contains the commit.
	Offset platform.Offset
	// Verdict is Effective when at least one record of the commit is.
	Verdict record.Verdict
	// Records holds the verdict on each record of the commit.
	Records []record.Verdict
}

// batchResult is the outcome of a whole batch.
type batchResult struct {
	offset  platform.Offset
	verdict record.Verdict
	records []record.Verdict
}

// commitResult returns the result of the commit whose n records start at index
// first.
func (b batchResult) commitResult(first, n int) Result {
	r := Result{Offset: b.offset, Verdict: b.verdict, Records: make([]record.Verdict, n)}
	for i := range r.Records {
		r.Records[i] = b.verdict
		if first+i < len(b.records) {
			r.Records[i] = b.records[first+i]
		}
	}
	if len(b.records) > 0 {
		r.Verdict = overallVerdict(r.Records)
	}
	return r
}

// overallVerdict returns Effective if any verdict is, and the first verdict
// otherwise.
func overallVerdict(verdicts []record.Verdict) record.Verdict {
	for _, v := range verdicts {
		if v == record.Effective {
			return v
		}
	}
	return verdicts[0]
}
