package snapshot

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/standin/logservice"
	"pgregory.net/rapid"
)

// fault is a fault of one append.
type fault int

const (
	responseLost   fault = iota // takes effect, no response
	requestLost                 // no effect, no response
	requestDelayed              // takes effect later, no response
	unavailable                 // no effect, rejected
	faultCount
)

// faultyLog injects one host's faults in order and is healthy after them.
type faultyLog struct {
	*logservice.Store
	appendFaults []fault
	// delayed holds the appends that have not taken effect yet.
	delayed []delayedAppend
	// failingReads is the number of reads that will fail.
	failingReads int
}

type delayedAppend struct {
	stream string
	data   []byte
}

func (l *faultyLog) Append(ctx context.Context, name string, data []byte) (platform.Offset, error) {
	if len(l.appendFaults) == 0 {
		return l.Store.Append(ctx, name, data)
	}
	f := l.appendFaults[0]
	l.appendFaults = l.appendFaults[1:]
	switch f {
	case responseLost:
		_, err := l.Store.Append(ctx, name, data)
		return 0, errors.Join(platform.ErrOutcomeUnknown, err)
	case requestDelayed:
		l.delayed = append(l.delayed, delayedAppend{name, data})
	case unavailable:
		return 0, platform.ErrLogUnavailable
	}
	return 0, platform.ErrOutcomeUnknown
}

func (l *faultyLog) Read(ctx context.Context, name string, from platform.Offset, limit int) ([]platform.Entry, error) {
	if l.failingReads > 0 {
		l.failingReads--
		return nil, platform.ErrLogUnavailable
	}
	return l.Store.Read(ctx, name, from, limit)
}

// jobCounts is a shard state that detects records that take effect twice.
type jobCounts struct {
	Count map[platform.JobID]int
}

func (c *jobCounts) Apply(_ platform.Offset, r record.Record) error {
	c.Count[r.Job.ID]++
	return nil
}

func (c *jobCounts) MarshalBinary() ([]byte, error)    { return json.Marshal(c) }
func (c *jobCounts) UnmarshalBinary(data []byte) error { return json.Unmarshal(data, c) }

func (c *jobCounts) Digest() uint64 {
	data, err := c.MarshalBinary()
	if err != nil {
		panic(err)
	}
	return xxhash.Sum64(data)
}

func (r *replica) count(id platform.JobID) int {
	var n int
	r.follower.View(func() { n = r.counts.Count[id] })
	return n
}

// oracle reads every entry before it expires and decides independently whether
// it takes effect: a writer's sequence only grows, and a record needs the current
// epoch and its owner as writer.
type oracle struct {
	next  platform.Offset
	epoch platform.Epoch
	owner record.WriterID
	last  map[record.WriterID]uint64
	jobs  map[platform.JobID]bool
}

func (o *oracle) read(t *rapid.T, store *logservice.Store) {
	for e, err := range scan(context.Background(), store, record.ShardStream("s"), o.next) {
		if err != nil {
			t.Fatal(err)
		}
		o.next = e.Offset + 1
		b, err := record.Decode(e.Data)
		if err != nil {
			t.Fatal(err)
		}
		o.apply(b)
	}
}

func (o *oracle) apply(b record.Batch) {
	if b.Sequence <= o.last[b.Writer] {
		return
	}
	o.last[b.Writer] = b.Sequence
	if c := b.Records[0].Claim; c != nil {
		switch {
		case b.Epoch != o.epoch+1, c.Release && b.Writer != o.owner:
			return
		case c.Release:
			o.owner = record.WriterID{}
		default:
			o.owner = b.Writer
		}
		o.epoch = b.Epoch
		return
	}
	for _, r := range b.Records {
		if b.Epoch == o.epoch && b.Writer == o.owner {
			o.jobs[r.Job.ID] = true
		}
	}
}
