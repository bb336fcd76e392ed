package shard

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

// jobCounter is a TaskState that accepts every job and rejects all other records.
type jobCounter struct{ n uint64 }

func (c *jobCounter) Apply(_ platform.Offset, r record.Record) error {
	if r.Job == nil {
		return errors.New("void")
	}
	c.n++
	return nil
}
func (c *jobCounter) Digest() uint64                 { return c.n }
func (c *jobCounter) MarshalBinary() ([]byte, error) { return []byte{byte(c.n)}, nil }
func (c *jobCounter) UnmarshalBinary(d []byte) error { c.n = uint64(d[0]); return nil }

// replayStep is one batch and the verdict that replay must return for it.
type replayStep struct {
	writer   string
	epoch    platform.Epoch
	sequence uint64
	rec      record.Record
	want     record.Verdict
}

var (
	claim   = record.Record{Claim: &record.Claim{}}
	release = record.Record{Claim: &record.Claim{Release: true}}
	job     = record.Record{Job: &record.Job{ID: "j", Count: 1}}
)

// TestDelayedDuplicates replays copies of batches that arrive after the epoch in
// which they were written. None may be effective, although each claim clears the
// sequence numbers of earlier writers.
func TestDelayedDuplicates(t *testing.T) {
	cases := map[string][]replayStep{
		"record of an older epoch": {
			{"a", 1, 1, claim, record.Effective},
			{"a", 1, 2, job, record.Effective},
			{"b", 2, 1, claim, record.Effective},
			{"a", 1, 2, job, record.Stale},
		},
		"record after the same writer's next claim": {
			{"a", 1, 1, claim, record.Effective},
			{"a", 1, 2, job, record.Effective},
			{"b", 2, 1, claim, record.Effective},
			{"a", 3, 3, claim, record.Effective},
			{"a", 1, 2, job, record.Duplicate},
			{"a", 1, 4, job, record.Stale},
		},
		"effective claim repeated": {
			{"a", 1, 1, claim, record.Effective},
			{"a", 1, 1, claim, record.Duplicate},
			{"b", 2, 1, claim, record.Effective},
			{"a", 1, 1, claim, record.Stale},
		},
		"claim that lost the race": {
			{"b", 1, 1, claim, record.Effective},
			{"a", 1, 1, claim, record.Stale},
			{"b", 2, 2, release, record.Effective},
			{"a", 1, 1, claim, record.Stale},
		},
		"release": {
			{"a", 1, 1, claim, record.Effective},
			{"a", 2, 2, release, record.Effective},
			{"a", 3, 3, claim, record.Effective},
			{"a", 2, 2, release, record.Duplicate},
			{"a", 3, 4, job, record.Effective},
		},
		"record without a writer while the shard has no owner": {
			{"", 0, 1, job, record.Stale},
			{"a", 1, 1, claim, record.Effective},
			{"a", 2, 2, release, record.Effective},
			{"", 2, 2, job, record.Stale},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			replaySteps(t, NewReplayer("s", &jobCounter{}), steps)
		})
	}
}

// TestSnapshotKeepsSequences loads a state from its snapshot between a batch and
// its duplicate. The duplicate must still be recognized.
func TestSnapshotKeepsSequences(t *testing.T) {
	r := NewReplayer("s", &jobCounter{})
	replaySteps(t, r, []replayStep{
		{"a", 1, 1, claim, record.Effective},
		{"a", 1, 2, job, record.Effective},
	})
	snap, err := r.MarshalBinary()
	must.NoError(t, err)
	loaded := NewReplayer("s", &jobCounter{})
	must.NoError(t, loaded.UnmarshalBinary(snap))
	must.Eq(t, r.Digest(), loaded.Digest())
	replaySteps(t, loaded, []replayStep{
		{"a", 1, 2, job, record.Duplicate},
		{"a", 1, 3, job, record.Effective},
	})
	must.Error(t, loaded.UnmarshalBinary(snap), must.Sprint("an older snapshot is rejected"))
	must.Error(t, NewReplayer("other", &jobCounter{}).UnmarshalBinary(snap))
}

func replaySteps(t *testing.T, r *Replayer, steps []replayStep) {
	for i, s := range steps {
		writer := record.WriterID{Host: platform.HostID(s.writer)}
		data, err := record.Encode(record.Batch{
			Writer: writer, Epoch: s.epoch, Sequence: s.sequence, Records: []record.Record{s.rec},
		})
		must.NoError(t, err)
		v, err := r.Apply(platform.Entry{Offset: r.Next(), Data: data})
		must.NoError(t, err)
		must.Eq(t, s.want, v, must.Sprintf("step %d", i))
	}
}
