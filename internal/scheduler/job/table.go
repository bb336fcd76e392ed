package job

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

// Entry is the recorded state of one job.
type Entry struct {
	ID         ID
	Submission *Submission
	Cancelled  bool
	// Progress is that of the job's own record in entries from Get, and includes the parts in
	// all others.
	Progress Progress
	// Parts are the parts of the progress that the log has.
	Parts Parts
	parts map[int]Progress
}

// State returns the job's state as reported to callers.
func (e *Entry) State() State {
	if e.Cancelled && !e.Progress.State.Final() {
		return Cancelled
	}
	return e.Progress.State
}

// Table is the recorded state of a shard. Every host builds its own copy by applying
// the shard's log. It is safe for concurrent use.
type Table struct {
	mu    sync.RWMutex
	jobs  map[ID]*Entry
	owner Ownership
	// quorumAt is when this host saw that a quorum of the workers had accepted the
	// current owner's token, or zero.
	quorumAt time.Duration
	// pastOwners holds the terms of earlier owners, sorted by claim.
	pastOwners []OwnershipTerm
	// workers holds the enrolled workers: those on which tasks may run.
	workers       map[platform.WorkerID]Enrollment
	learnedModels []byte
	// waves holds the records of maintenance waves by number.
	waves map[int64][]byte
	// early holds the cancellations of jobs that the table does not have.
	early map[ID]earlyCancellation
	// appliedAt holds when the records of submissions, cancellations, workers and waves in
	// the table were last applied, by key.
	appliedAt map[string]time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		jobs: map[ID]*Entry{}, early: map[ID]earlyCancellation{}, workers: map[platform.WorkerID]Enrollment{}, waves: map[int64][]byte{},
		appliedAt: map[string]time.Duration{},
	}
}

// Apply applies a page of the log and returns the jobs that were submitted or
// cancelled. Records that cannot be decoded are skipped; the first such error is
// returned. Applying a record again, or after a newer one, has no effect. now is a
// reading of the host's clock.
func (t *Table) Apply(page store.Page, now time.Duration) ([]Entry, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Entry
	var firstErr error
	enrolled := false
	for _, r := range page.Records {
		e, err := t.apply(r.Record, now)
		if err != nil && firstErr == nil {
			firstErr = fmt.Errorf("record at offset %d: %w", r.Offset, err)
		}
		if e != nil {
			changed = append(changed, e.whole())
		}
		enrolled = enrolled || strings.HasPrefix(r.Key, enrollmentKey) && len(r.Value) > 0
	}
	if enrolled {
		// Within the page of a load, some workers of the log are still missing.
		t.recordQuorum(now)
	}
	return changed, firstErr
}

// DeleteMissing deletes the jobs, cancellations, workers and waves that have no record in a page of the
// newest record of each key: their deletion is not among the records that the log still
// has. Those that were applied at the time since, when the read of the page began, or
// later may be newer than the page and stay.
func (t *Table) DeleteMissing(newest store.Page, since time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := make(map[string]bool, len(newest.Records))
	for _, r := range newest.Records {
		present[r.Key] = true
	}
	for key, at := range t.appliedAt {
		if at < since && !present[key] {
			// Deletions have no value that might be unreadable.
			_, _ = t.apply(store.Record{Key: key}, since)
		}
	}
}

func (t *Table) apply(r store.Record, now time.Duration) (*Entry, error) {
	if id, part, ok := splitPartKey(r.Key); ok {
		return nil, t.applyPart(id, part, r.Value)
	}
	kind, id := splitKey(r.Key)
	switch kind {
	case submissionKey, cancellationKey, enrollmentKey, waveKey:
		if len(r.Value) > 0 {
			t.appliedAt[r.Key] = now
		} else {
			delete(t.appliedAt, r.Key)
		}
	}
	switch kind {
	case submissionKey:
		return t.applySubmission(id, r.Value)
	case progressKey:
		return t.applyProgress(id, r.Value)
	case cancellationKey:
		return t.applyCancellation(id, r.Value, now), nil
	case ownershipKey:
		return nil, t.applyOwnership(r.Value, now)
	case learnedModelsKey:
		t.learnedModels = r.Value
		return nil, nil
	case waveKey:
		return nil, t.applyWave(string(id), r.Value)
	case enrollmentKey:
		return nil, t.applyEnrollment(platform.WorkerID(id), r.Value, now)
	}
	return nil, fmt.Errorf("unknown key %q", r.Key)
}

func (t *Table) applyOwnership(value []byte, now time.Duration) error {
	o, past, err := decodeOwnership(value)
	if err != nil {
		return err
	}
	switch {
	case o.Epoch > t.owner.Epoch:
		if t.owner.Claim > 0 {
			t.pastOwners = append(t.pastOwners, OwnershipTerm{Ownership: t.owner, QuorumAt: t.quorumAt, ReplacedAt: now})
			t.limitPastOwners()
		}
		t.owner, t.quorumAt = o, 0
	case o.Epoch == t.owner.Epoch && !t.owner.Released:
		t.owner = o
	default:
		return nil
	}
	t.addTerms(past, now)
	return nil
}

// IsQuorum reports whether n of all workers are a quorum: two thirds, so that any two
// quorums have a third of all workers in common.
func IsQuorum(n, all int) bool { return 3*n >= 2*all }

// recordQuorum sets quorumAt once the current owner has enrolled a quorum of the
// workers.
func (t *Table) recordQuorum(now time.Duration) {
	if t.quorumAt != 0 || len(t.workers) == 0 {
		return
	}
	n := 0
	for _, e := range t.workers {
		if e.Claim == t.owner.Claim {
			n++
		}
	}
	if IsQuorum(n, len(t.workers)) {
		t.quorumAt = now
	}
}

// Owners returns the terms of the owners that this host has seen, or that the record of a
// later one tells of, oldest first. The current owner's term is the last.
func (t *Table) Owners() []OwnershipTerm {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := slices.Clone(t.pastOwners)
	if t.owner.Claim > 0 {
		list = append(list, OwnershipTerm{Ownership: t.owner, QuorumAt: t.quorumAt})
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
	e.SeenAt = now
	t.workers[id] = e
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

// Waves returns the records of maintenance waves by number.
func (t *Table) Waves() map[int64][]byte {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return maps.Clone(t.waves)
}

// LearnedModels returns the latest recorded models of an owner, encoded, or nil.
func (t *Table) LearnedModels() []byte {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.learnedModels
}

// Workers returns the enrolled workers, in no particular order.
func (t *Table) Workers() []Enrollment {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := make([]Enrollment, 0, len(t.workers))
	for _, e := range t.workers {
		list = append(list, e)
	}
	return list
}

// ensureEntry returns the entry of a job, creating it if needed. While records are read
// out of order, a job's progress may be applied before its submission.
func (t *Table) ensureEntry(id ID) *Entry {
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
	e := t.ensureEntry(id)
	if e.Submission != nil {
		return nil, nil
	}
	s, err := decodeSubmission(id, value)
	if err != nil {
		return nil, err
	}
	e.Submission = s
	if _, cancelled := t.early[id]; cancelled {
		e.Cancelled = true
		delete(t.early, id)
	}
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
	if p.State > Cancelled {
		return nil, fmt.Errorf("progress of job %s: state %d is unknown", id, p.State)
	}
	if e := t.ensureEntry(id); p.Revision > e.Progress.Revision {
		e.Progress = p
	}
	return nil, nil
}

// Get returns a submitted job, and whether there is one with that ID.
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
			all = append(all, e.whole())
		}
	}
	return all
}

// Expired returns up to limit jobs that ended before the given time in Unix
// milliseconds.
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

// Pending returns the number of jobs of a queue none of whose tasks has started.
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

// Owner returns the current owner of the shard, the one with the highest epoch.
func (t *Table) Owner() Ownership {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.owner
}
