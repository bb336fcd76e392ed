package dispatch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/pause"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

const (
	// recordPeriod is how long progress that nobody waits for is collected before it is
	// recorded.
	recordPeriod = 150 * time.Millisecond
	// minAppendInterval is the minimum time between two appends. Each append is billed;
	// records that arrive in the meantime share the next one.
	minAppendInterval = 20 * time.Millisecond
	// learnedRecordPeriod is the time between two records of the learned state. It bounds
	// how much of it is lost when an owner crashes.
	learnedRecordPeriod = 4 * time.Second
	// expiryPeriod is the time between two deletions of expired jobs and cancellations, and
	// expiryLimit the maximum number of each per deletion: 100 a second, twice as many as the largest
	// deployment accepts.
	expiryPeriod = 2 * time.Second
	expiryLimit  = 200
	// recordRetryDelay is the delay before an append that failed is tried again.
	recordRetryDelay = 100 * time.Millisecond
	// WriterName is the name under which shard owners write to the log.
	WriterName = "owner"
)

// pendingWrite is a record that a caller waits for.
type pendingWrite struct {
	record store.Record
	done   chan error
}

// Write records r together with the shard's pending progress. An error that matches
// store.ErrUnavailable means that r was not written; after any other error r may be in
// the log.
func (d *Dispatcher) Write(ctx context.Context, r store.Record) error {
	w := &pendingWrite{record: r, done: make(chan error, 1)}
	d.mu.Lock()
	d.pendingWrites = append(d.pendingWrites, w)
	d.mu.Unlock()
	signal(d.recordRequested)
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
	case <-d.ctx.Done():
	}
	if d.withdraw(w) {
		return fmt.Errorf("%w: record %s waited for another append", store.ErrUnavailable, r.Key)
	}
	return fmt.Errorf("%w: record %s", platform.ErrOutcomeUnknown, r.Key)
}

// withdraw removes a record that no append contains yet. It returns false if the record
// is or was part of an append.
func (d *Dispatcher) withdraw(w *pendingWrite) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := slices.Index(d.pendingWrites, w)
	if i < 0 {
		return false
	}
	d.pendingWrites = slices.Delete(d.pendingWrites, i, i+1)
	return true
}

// failPendingWrites returns err to the callers whose records no append contains yet.
func (d *Dispatcher) failPendingWrites(err error) {
	d.mu.Lock()
	failed := d.pendingWrites
	d.pendingWrites = nil
	d.mu.Unlock()
	for _, w := range failed {
		w.done <- err
	}
}

// recordLoop appends the shard's progress to the log, periodically and without delay
// when a record is requested.
func (d *Dispatcher) recordLoop() {
	ticker := time.NewTicker(recordPeriod)
	defer ticker.Stop()
	w := &store.Writer{Name: WriterName, Epoch: d.Ownership.Epoch, Sequence: 1}
	d.recordOwnership(w)
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.stopRequested:
			d.updateShard(func(s *scheduler.Shard, now scheduler.Instant) { s.Stopping(now) })
			d.recordProgress(w)
			d.Ownership.Released = true
			d.recordOwnership(w)
			close(d.finalRecordDone)
			return
		case <-d.recordRequested:
		case <-ticker.C:
		}
		d.recordProgress(w)
		select {
		case <-d.stopRequested:
		case <-time.After(minAppendInterval):
		}
	}
}

// recordOwnership writes the ownership record, which precedes all others of this owner.
// While the store refuses it, callers' records fail instead of waiting.
func (d *Dispatcher) recordOwnership(w *store.Writer) {
	var err error
	for err == nil {
		var r store.Record
		if r, err = job.OwnershipRecord(d.Ownership, d.pastTerms()); err != nil {
			break
		}
		if err = d.appendRecords(w, []store.Record{r}); !errors.Is(err, store.ErrUnavailable) {
			break
		}
		d.failPendingWrites(err)
		err = pause.For(d.ctx, recordRetryDelay)
	}
	if err != nil {
		d.Relinquish(err)
		return
	}
	d.claimed.Store(true)
	d.updateShard(func(s *scheduler.Shard, now scheduler.Instant) { s.ClaimRecorded(now) })
}

// pastTerms returns what an ownership record that is written now tells of earlier owners.
func (d *Dispatcher) pastTerms() []job.PastTerm {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shard.PastTerms(d.Clock())
}

// batch is what is recorded together. Callers' records come first and fit into one
// append; the others may need further ones.
type batch struct {
	progress scheduler.Unrecorded
	writes   []*pendingWrite
	records  []store.Record
}

// recordProgress appends everything that is not in the log yet.
func (d *Dispatcher) recordProgress(w *store.Writer) {
	b := d.collectBatch()
	if len(b.records) == 0 {
		d.unrecorded.Store(false)
		return
	}
	started, untouched := d.Clock(), true
	var err error
	for rest, writes := b.records, b.writes; err == nil && len(rest) > 0; writes = nil {
		n := store.Fitting(rest, d.AppendBytes)
		outcomes := d.appendEach(w, rest[:n])
		var written []store.Record
		if written, err = d.sortOutcomes(&b, rest[:n], outcomes); len(written) > 0 {
			untouched = false
			// The tasks of a job that was cancelled must stop even if a later append fails.
			d.OnRecorded(written)
		}
		// A caller's next request must find its record.
		for i, pending := range writes {
			pending.done <- outcomes[i]
		}
		rest = rest[n:]
	}
	switch {
	case err == nil:
		d.timer("job.recorded").Update(d.Clock() - started)
		d.markRecorded(b.progress)
	case errors.Is(err, store.ErrUnavailable):
		d.mu.Lock()
		d.shard.ReturnUnrecorded(b.progress, untouched)
		d.mu.Unlock()
		// An error means that the context is done, which ends the loop.
		_ = pause.For(d.ctx, recordRetryDelay)
	default:
		d.Relinquish(err)
	}
}

// appendEach appends records, and separately those beside which the store refuses others for
// what they contain. It returns the outcome of each; after one that is no refusal the rest was
// not tried.
func (d *Dispatcher) appendEach(w *store.Writer, records []store.Record) []error {
	err := d.appendRecords(w, records)
	if len(records) == 1 || !errors.Is(err, store.ErrRejected) {
		return slices.Repeat([]error{err}, len(records))
	}
	half := len(records) / 2
	outcomes := d.appendEach(w, records[:half])
	if last := outcomes[half-1]; last != nil && !errors.Is(last, store.ErrRejected) {
		return append(outcomes, slices.Repeat([]error{last}, len(records)-half)...)
	}
	return append(outcomes, d.appendEach(w, records[half:])...)
}

// sortOutcomes returns the records that were written and the error of an append that was not
// refused for what it contains. Refused records are logged and set aside.
func (d *Dispatcher) sortOutcomes(b *batch, records []store.Record, outcomes []error) (written []store.Record, err error) {
	for i, r := range records {
		switch {
		case outcomes[i] == nil:
			written = append(written, r)
		case errors.Is(outcomes[i], store.ErrRejected):
			event.RecordRefused.Log(d.Logger, logrus.Fields{"key": r.Key, "bytes": len(r.Value), "error": outcomes[i]})
			b.progress.Refuse(job.Subject(r))
		default:
			err = outcomes[i]
		}
	}
	return written, err
}

// collectBatch returns everything that has to be recorded. Callers' records that do not
// fit into the first append stay pending.
func (d *Dispatcher) collectBatch() batch {
	d.mu.Lock()
	b := batch{progress: d.shard.TakeUnrecorded(time.Now().UnixMilli())}
	for _, w := range d.pendingWrites {
		b.records = append(b.records, w.record)
	}
	n := store.Fitting(b.records, d.AppendBytes)
	b.records, b.writes, d.pendingWrites = b.records[:n], d.pendingWrites[:n], d.pendingWrites[n:]
	if len(d.pendingWrites) > 0 {
		signal(d.recordRequested)
	}
	d.mu.Unlock()
	for i := range b.progress.Changes {
		c := &b.progress.Changes[i]
		records, parts, err := job.ProgressRecords(c.ID, &c.Progress, c.Parts)
		if err != nil {
			event.RecordNotEncoded.Log(d.Logger, logrus.Fields{"job": c.ID, "error": err})
			continue
		}
		b.records, c.Parts = append(b.records, records...), parts
	}
	d.addWorkerRecords(&b)
	d.addOwnershipRecord(&b)
	d.addExpiredRecords(&b)
	if len(b.records) > 0 || b.progress.Models {
		d.addLearnedState(&b)
	}
	return b
}

// addExpiredRecords adds records that delete what has expired, once per expiryPeriod.
func (d *Dispatcher) addExpiredRecords(b *batch) {
	now := d.Clock()
	if now-d.lastExpiryAt < expiryPeriod {
		return
	}
	d.lastExpiryAt = now
	b.records = append(b.records, d.ExpiredRecords(expiryLimit)...)
}

// addLearnedState adds the shard's learned state once per learnedRecordPeriod, to the final
// record, and whenever the shard demands it.
func (d *Dispatcher) addLearnedState(b *batch) {
	now := d.Clock()
	if now-d.learnedRecordedAt < learnedRecordPeriod && !d.stopping.Load() && !b.progress.Models {
		return
	}
	d.learnedRecordedAt = now
	d.mu.Lock()
	value, err := d.shard.LearnedModels()
	d.mu.Unlock()
	if err == nil && len(value) > job.MaxRecordBytes {
		err = fmt.Errorf("the learned state takes %d bytes, at most %d are allowed", len(value), job.MaxRecordBytes)
	}
	if err != nil {
		event.RecordNotEncoded.Log(d.Logger, logrus.Fields{"error": err})
		return
	}
	b.records = append(b.records, job.LearnedModelsRecord(value))
}

// addWorkerRecords adds records of workers that were enrolled or dismissed.
func (d *Dispatcher) addWorkerRecords(b *batch) {
	for _, e := range b.progress.Enrolled {
		r, err := job.EnrollmentRecord(e)
		if err != nil {
			event.RecordNotEncoded.Log(d.Logger, logrus.Fields{"worker": e.Worker, "error": err})
			continue
		}
		b.records = append(b.records, r)
	}
	for _, id := range b.progress.Unenrolled {
		b.records = append(b.records, job.UnenrollmentRecord(id))
	}
}

// addOwnershipRecord adds the ownership record with the terms of earlier owners if the shard
// demands it.
func (d *Dispatcher) addOwnershipRecord(b *batch) {
	if b.progress.PastTerms == nil {
		return
	}
	r, err := job.OwnershipRecord(d.Ownership, b.progress.PastTerms)
	if err != nil {
		event.RecordNotEncoded.Log(d.Logger, logrus.Fields{"error": err})
		return
	}
	b.records = append(b.records, r)
}

// markRecorded notifies the shard and waiting callers that progress is in the log.
func (d *Dispatcher) markRecorded(progress scheduler.Unrecorded) {
	d.mu.Lock()
	d.shard.MarkRecorded(progress)
	close(d.recorded)
	d.recorded = make(chan struct{})
	d.mu.Unlock()
	d.reportActivity()
}

// appendRecords appends records under the owner's epoch. An error that matches
// store.ErrUnavailable means that nothing was written; after any other error the shard
// must be given up. While the outcome is unknown, the append is retried with the same
// sequence number, so that nothing is written twice.
func (d *Dispatcher) appendRecords(w *store.Writer, records []store.Record) error {
	outcomeUnknown := false
	for {
		_, err := d.Store.Append(d.ctx, d.Partition, records, w)
		var fenced *store.FencedError
		var sequence *store.SequenceError
		switch {
		case err == nil:
			w.Sequence++
			d.unrecorded.Store(false)
			return nil
		case errors.As(err, &fenced):
			return errors.Join(ErrFenced, err)
		case errors.As(err, &sequence):
			return err
		case errors.Is(err, store.ErrRejected):
			// An earlier try without an answer was rejected as well.
			return err
		}
		d.reportUnrecorded(len(records), err)
		if errors.Is(err, store.ErrUnavailable) && !outcomeUnknown {
			return err
		}
		outcomeUnknown = true
		if err := pause.For(d.ctx, recordRetryDelay); err != nil {
			return err
		}
	}
}

// reportUnrecorded reports that the store has refused an append or not answered it. That the
// store is full is no reason to leave the shard to another host.
func (d *Dispatcher) reportUnrecorded(records int, err error) {
	if d.ctx.Err() != nil || d.unrecorded.Load() {
		return
	}
	event.RecordDelayed.Log(d.Logger, logrus.Fields{"records": records, "error": err})
	d.unrecorded.Store(!errors.Is(err, store.ErrFull))
}
