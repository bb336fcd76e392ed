package idempotency

import (
	"sync"
	"time"
)

// Verdict says whether a request may run.
type Verdict uint8

// Verdicts.
const (
	// Run means that the key is new and now has a record.
	Run Verdict = iota + 1
	// Replay means that the record holds the answer.
	Replay
	// Wait means that an earlier request with the key is running.
	Wait
	// OutcomeUnknown means that the request may have run and must not run again.
	OutcomeUnknown
	// Mismatch means that the key was used for a different request.
	Mismatch
	// TableFull means that there is no room for another record.
	TableFull
	// NotServing means that the host does not serve the key now; retry.
	NotServing
)

// table holds records by key. It is safe for concurrent use.
type table struct {
	mu      sync.Mutex
	records map[Key]*Record
	// answerBytes is the total length of the stored answers' bodies.
	answerBytes int
}

func newTable() *table { return &table{records: map[Key]*Record{}} }

// begin adds r and returns Run, unless its key has a record already. For a record
// with the same fingerprint, verdictFor gives the verdict; it is called with the
// table locked.
func (t *table) begin(r Record, verdictFor func(*Record) Verdict) (Verdict, Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.records[r.Key]; old != nil {
		if old.Print != r.Print {
			return Mismatch, *old
		}
		return verdictFor(old), *old
	}
	if len(t.records) >= maxRecords || t.answerBytes >= maxAnswerBytes {
		return TableFull, r
	}
	t.records[r.Key] = &r
	return Run, r
}

// finish sets the state of the request that receiver runs under k. It has no
// effect if the record is missing, belongs to another receiver or is Done.
func (t *table) finish(k Key, receiver Member, s State, a *Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[k]
	if r == nil || r.Receiver != receiver || r.State == Done {
		return
	}
	t.answerBytes -= r.answerBytes()
	r.State, r.Answer = s, a
	t.answerBytes += r.answerBytes()
}

// cancel deletes the running record of receiver for k.
func (t *table) cancel(k Key, receiver Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[k]; r != nil && r.Receiver == receiver && r.State == Running {
		delete(t.records, k)
	}
}

// merge adds records of another holder. Done or InDoubt replaces Running; in all
// other cases the existing record stays.
func (t *table) merge(records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		old := t.records[r.Key]
		if old != nil && (old.State != Running || r.State == Running) {
			continue
		}
		if old != nil {
			t.answerBytes -= old.answerBytes()
		}
		t.records[r.Key] = &r
		t.answerBytes += r.answerBytes()
	}
}

// expire deletes records begun before the given time.
func (t *table) expire(before time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, r := range t.records {
		if r.Begun.Before(before) {
			t.answerBytes -= r.answerBytes()
			delete(t.records, k)
		}
	}
}

// all returns copies of all records.
func (t *table) all() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		list = append(list, *r)
	}
	return list
}

func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
