package job

import "time"

// earlyCancellation is the cancellation of a job that the table does not have. Its submission
// may still be on its way into the log.
type earlyCancellation struct {
	// cancelledMS is the cancelling host's wall-clock time in Unix milliseconds, or zero if
	// the record has none.
	cancelledMS int64
	// appliedAt is when the record was applied, by the clock of this host.
	appliedAt time.Duration
}

// maxAge limits the age that wall clocks give a cancellation.
const maxAge = 1000 * time.Hour

// age returns the time since the cancellation: by wall clocks, which also counts the time
// before this process started, but at least the time since the record was applied.
func (c earlyCancellation) age(now time.Duration, nowMS int64) time.Duration {
	applied := now - c.appliedAt
	if c.cancelledMS == 0 || c.cancelledMS > nowMS {
		return applied
	}
	return max(applied, time.Duration(min(nowMS-c.cancelledMS, maxAge.Milliseconds()))*time.Millisecond)
}

// applyCancellation returns the job if it is cancelled by the record. The deletion of the
// record does not revive a job.
func (t *Table) applyCancellation(id ID, value []byte, now time.Duration) *Entry {
	if len(value) == 0 {
		delete(t.early, id)
		return nil
	}
	if e, ok := t.jobs[id]; ok && e.Submission != nil {
		if e.Cancelled {
			return nil
		}
		e.Cancelled = true
		return e
	}
	atMS := decodeCancellation(value)
	if known, ok := t.early[id]; !ok || atMS > known.cancelledMS {
		t.early[id] = earlyCancellation{cancelledMS: atMS, appliedAt: now}
	}
	return nil
}

// EarlyCancellation reports whether a job that the table does not have is cancelled, and for
// how long. now is a reading of the host's clock and nowMS of its wall clock, in Unix
// milliseconds.
func (t *Table) EarlyCancellation(id ID, now time.Duration, nowMS int64) (age time.Duration, cancelled bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c, cancelled := t.early[id]
	if !cancelled {
		return 0, false
	}
	return c.age(now, nowMS), true
}

// EarlyCancellations returns the number of cancelled jobs that the table does not have.
func (t *Table) EarlyCancellations() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.early)
}

// ExpiredCancellations returns up to limit jobs that were cancelled longer ago than retention
// and that the table does not have. The clocks are those of EarlyCancellation.
func (t *Table) ExpiredCancellations(now time.Duration, nowMS int64, retention time.Duration, limit int) []ID {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var ids []ID
	for id, c := range t.early {
		if len(ids) == limit {
			break
		}
		if c.age(now, nowMS) > retention {
			ids = append(ids, id)
		}
	}
	return ids
}
