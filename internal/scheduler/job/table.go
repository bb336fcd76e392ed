package job

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

// Entry is what the records say of one job.
type Entry struct {
	ID         ID
	Submission *Submission
	Cancelled  bool
	Progress   Progress
}

// State returns what callers are told of the job.
func (e *Entry) State() State {
	if e.Cancelled && !e.Progress.State.Final() {
		return Cancelled
	}
	return e.Progress.State
}

// Table is the state of a shard as its records tell it. Every host folds its own
// from the same log. It is safe for concurrent use.
type Table struct {
	mu    sync.RWMutex
	jobs  map[ID]*Entry
	owner Ownership
	// backed is as in PastOwner for the present owner.
	backed time.Duration
	// replaced are earlier owners, oldest first.
	replaced []PastOwner
	// workers are those on which tasks may run.
	workers map[platform.WorkerID]Enrollment
	learned []byte
	// waves are the records of the waves of upkeep, by number.
	waves map[int64][]byte
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{jobs: map[ID]*Entry{}, workers: map[platform.WorkerID]Enrollment{}, waves: map[int64][]byte{}}
}

// Apply folds a page of the log into the table and returns the jobs that were
// submitted or cancelled. A record that cannot be read is reported and left out.
// Applying a record again, or after a newer one, changes nothing. now is a reading
// of the host's clock.
func (t *Table) Apply(page store.Page, now time.Duration) ([]Entry, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Entry
	var firstErr error
	for _, r := range page.Records {
		e, err := t.apply(r.Record, now)
		if err != nil && firstErr == nil {
			firstErr = fmt.Errorf("record at offset %d: %w", r.Offset, err)
		}
		if e != nil {
			changed = append(changed, *e)
		}
	}
	return changed, firstErr
}

func (t *Table) apply(r store.Record, now time.Duration) (*Entry, error) {
	kind, id := splitKey(r.Key)
	switch kind {
	case submissionKey:
		return t.applySubmission(id, r.Value)
	case progressKey:
		return t.applyProgress(id, r.Value)
	case cancellationKey:
		if len(r.Value) == 0 {
			return nil, nil
		}
		e := t.entry(id)
		if e.Cancelled {
			return nil, nil
		}
		e.Cancelled = true
		return e, nil
	case ownershipKey:
		return nil, t.applyOwnership(r.Value, now)
	case learnedKey:
		t.learned = r.Value
		return nil, nil
	case waveKey:
		return nil, t.applyWave(string(id), r.Value)
	case enrollmentKey:
		return nil, t.applyEnrollment(platform.WorkerID(id), r.Value, now)
	}
	return nil, fmt.Errorf("unknown key %q", r.Key)
}

func (t *Table) applyOwnership(value []byte, now time.Duration) error {
	var o Ownership
	if err := cbor.Unmarshal(value, &o); err != nil {
		return fmt.Errorf("ownership: %w", err)
	}
	switch {
	case o.Epoch > t.owner.Epoch:
		if t.owner.Claim > 0 {
			t.replaced = append(t.replaced, PastOwner{Ownership: t.owner, Backed: t.backed, Replaced: now})
		}
		if extra := len(t.replaced) - keptOwners; extra > 0 {
			t.replaced = slices.Delete(t.replaced, 0, extra)
		}
		t.owner, t.backed = o, 0
	case o.Epoch == t.owner.Epoch && !t.owner.Released:
		t.owner = o
	}
	return nil
}

// PastOwner is an owner that another one has replaced.
type PastOwner struct {
	Ownership
	// Backed is the reading of this host's clock when it saw that a quorum of the
	// enrolled workers had taken the owner's token, and zero before.
	Backed time.Duration
	// Replaced is that when it saw the record of the next owner, which may be older.
	// It is zero for the present owner.
	Replaced time.Duration
}

// IsQuorum reports whether n of all workers are so many that any two such groups
// have a third of all workers in common.
func IsQuorum(n, all int) bool { return 3*n >= 2*all }

// noteBacked notes whether a quorum of the workers is enrolled by the present owner.
func (t *Table) noteBacked(now time.Duration) {
	if t.backed != 0 {
		return
	}
	n := 0
	for _, e := range t.workers {
		if e.Claim == t.owner.Claim {
			n++
		}
	}
	if IsQuorum(n, len(t.workers)) {
		t.backed = now
	}
}

// keptOwners bounds the earlier owners that are remembered. What they have left is
// over long before so many have come and gone.
const keptOwners = 16

// Owners returns the owners of the shard that this host has seen, oldest first and
// the present one last.
func (t *Table) Owners() []PastOwner {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := slices.Clone(t.replaced)
	if t.owner.Claim > 0 {
		list = append(list, PastOwner{Ownership: t.owner, Backed: t.backed})
	}
	return list
}

func (t *Table) applyEnrollment(id platform.WorkerID, value []byte, now time.Duration) error {
	if len(value) == 0 {
		delete(t.workers, id)
		return nil
	}
	var e Enrollment
	if err := cbor.Unmarshal(value, &e); err != nil {
		return fmt.Errorf("enrollment of worker %s: %w", id, err)
	}
	t.workers[id] = e
	t.noteBacked(now)
	return nil
}

func (t *Table) applyWave(name string, value []byte) error {
	number, err := strconv.ParseInt(name, 10, 64)
	if err != nil {
		return fmt.Errorf("record of wave %q: %w", name, err)
	}
	if len(value) == 0 {
		delete(t.waves, number)
		return nil
	}
	t.waves[number] = value
	return nil
}

// Waves returns the records of the waves of upkeep, by number.
func (t *Table) Waves() map[int64][]byte {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return maps.Clone(t.waves)
}

// Learned returns what the latest owner has learned, or nil.
func (t *Table) Learned() []byte {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.learned
}

// Workers returns the workers on which tasks may run.
func (t *Table) Workers() []Enrollment {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := make([]Enrollment, 0, len(t.workers))
	for _, e := range t.workers {
		list = append(list, e)
	}
	return list
}

// entry returns the entry of a job, which may be known by its progress or
// cancellation only while records are read out of order.
func (t *Table) entry(id ID) *Entry {
	e, ok := t.jobs[id]
	if !ok {
		e = &Entry{ID: id}
		t.jobs[id] = e
	}
	return e
}

func (t *Table) applySubmission(id ID, value []byte) (*Entry, error) {
	if len(value) == 0 {
		delete(t.jobs, id)
		return nil, nil
	}
	e := t.entry(id)
	if e.Submission != nil {
		return nil, nil
	}
	s := &Submission{}
	if err := cbor.Unmarshal(value, s); err != nil {
		return nil, fmt.Errorf("submission of job %s: %w", id, err)
	}
	e.Submission = s
	return e, nil
}

func (t *Table) applyProgress(id ID, value []byte) (*Entry, error) {
	if len(value) == 0 {
		return nil, nil
	}
	var p Progress
	if err := cbor.Unmarshal(value, &p); err != nil {
		return nil, fmt.Errorf("progress of job %s: %w", id, err)
	}
	if e := t.entry(id); p.Revision > e.Progress.Revision {
		e.Progress = p
	}
	return nil, nil
}

// Get returns a job that was submitted.
func (t *Table) Get(id ID) (Entry, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.jobs[id]
	if !ok || e.Submission == nil {
		return Entry{}, false
	}
	return *e, true
}

// All returns all submitted jobs.
func (t *Table) All() []Entry {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]Entry, 0, len(t.jobs))
	for _, e := range t.jobs {
		if e.Submission != nil {
			all = append(all, *e)
		}
	}
	return all
}

// Expired returns up to limit jobs that ended before the given Unix milliseconds.
func (t *Table) Expired(beforeMS int64, limit int) []ID {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var ids []ID
	for id, e := range t.jobs {
		if len(ids) == limit {
			break
		}
		if e.Progress.State.Final() && e.Progress.EndedMS < beforeMS {
			ids = append(ids, id)
		}
	}
	return ids
}

// Pending counts the jobs of a queue of which no task has started.
func (t *Table) Pending(q queue.Name) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n := 0
	for _, e := range t.jobs {
		if e.Submission != nil && e.Submission.Queue == q && e.State() == Queued {
			n++
		}
	}
	return n
}

// Owner returns the latest owner of the shard.
func (t *Table) Owner() Ownership {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.owner
}
