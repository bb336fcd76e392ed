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
	// recordPeriod is how long progress that nobody waits for is collected.
	recordPeriod = 150 * time.Millisecond
	// recordGap is the least time between two appends. Each append is paid for,
	// and what comes in the meantime shares the next one.
	recordGap = 20 * time.Millisecond
	// learnedPeriod is the time between two records of what was learned: an owner
	// that is lost takes no more of it along.
	learnedPeriod = 4 * time.Second
	// sweepPeriod is the time between two drops of jobs that ended long ago, and
	// sweepLimit how many go at once: 100 a second, twice of what the largest
	// deployment accepts.
	sweepPeriod = 2 * time.Second
	sweepLimit  = 200
	// recordRetry is the pause after the store did not take an append.
	recordRetry = 100 * time.Millisecond
	// WriterName is the writer under which owners write.
	WriterName = "owner"
)

// write is a record that a caller waits for.
type write struct {
	record store.Record
	done   chan error
}

// Write records r together with what else is to be recorded. An error that matches
// store.ErrUnavailable says that nothing was written; after any other error r may
// be in the log.
func (d *Dispatcher) Write(ctx context.Context, r store.Record) error {
	w := &write{record: r, done: make(chan error, 1)}
	d.mu.Lock()
	d.writes = append(d.writes, w)
	d.mu.Unlock()
	signal(d.dirty)
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

// withdraw takes back a record that is in no append yet, and reports whether it was.
func (d *Dispatcher) withdraw(w *write) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := slices.Index(d.writes, w)
	if i < 0 {
		return false
	}
	d.writes = slices.Delete(d.writes, i, i+1)
	return true
}

// refuseWrites tells callers that nothing of theirs was written.
func (d *Dispatcher) refuseWrites(err error) {
	d.mu.Lock()
	waiting := d.writes
	d.writes = nil
	d.mu.Unlock()
	for _, w := range waiting {
		w.done <- err
	}
}

// recordLoop writes the shard's progress to the log, at once if callers wait.
func (d *Dispatcher) recordLoop() {
	ticker := time.NewTicker(recordPeriod)
	defer ticker.Stop()
	w := &store.Writer{Name: WriterName, Epoch: d.Ownership.Epoch, Sequence: 1}
	d.recordOwnership(w)
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.closing:
			d.record(w)
			d.Ownership.Released = true
			d.recordOwnership(w)
			close(d.closed)
			return
		case <-d.dirty:
		case <-ticker.C:
		}
		d.record(w)
		select {
		case <-d.closing:
		case <-time.After(recordGap):
		}
	}
}

// recordOwnership writes the owner's record, which goes before all others. Callers do
// not wait for it while the store refuses it.
func (d *Dispatcher) recordOwnership(w *store.Writer) {
	r, err := job.OwnershipRecord(d.Ownership)
	for err == nil {
		if err = d.append(w, []store.Record{r}); !errors.Is(err, store.ErrUnavailable) {
			break
		}
		d.refuseWrites(err)
		err = pause.For(d.ctx, recordRetry)
	}
	if err != nil {
		d.Lose(err)
		return
	}
	d.update(func(s *scheduler.Shard, now scheduler.Instant) { s.Claimed(now) })
}

// batch is what is written together. Callers' records come first and fit into one
// append; the others may take further ones.
type batch struct {
	progress scheduler.Unrecorded
	writes   []*write
	records  []store.Record
}

// record writes what the log lacks.
func (d *Dispatcher) record(w *store.Writer) {
	b := d.collect()
	if len(b.records) == 0 {
		return
	}
	begun := d.Clock()
	n := store.Fitting(b.records, d.AppendBytes)
	err := d.append(w, b.records[:n])
	for _, x := range b.writes {
		x.done <- err
	}
	for rest := b.records[n:]; err == nil && len(rest) > 0; rest = rest[n:] {
		n = store.Fitting(rest, d.AppendBytes)
		err = d.append(w, rest[:n])
	}
	switch {
	case err == nil:
		d.timer("job.recorded").Update(d.Clock() - begun)
		d.noteRecorded(b)
	case errors.Is(err, store.ErrUnavailable):
		d.mu.Lock()
		d.shard.NotRecorded(b.progress)
		d.mu.Unlock()
		// Without an error the loop goes on; with one the shard is given up.
		_ = pause.For(d.ctx, recordRetry)
	default:
		d.Lose(err)
	}
}

// collect takes all that is to be recorded.
func (d *Dispatcher) collect() batch {
	d.mu.Lock()
	b := batch{progress: d.shard.Unrecorded(time.Now().UnixMilli())}
	for _, w := range d.writes {
		b.records = append(b.records, w.record)
	}
	n := store.Fitting(b.records, d.AppendBytes)
	b.records, b.writes, d.writes = b.records[:n], d.writes[:n], d.writes[n:]
	if len(d.writes) > 0 {
		signal(d.dirty)
	}
	d.mu.Unlock()
	for _, c := range b.progress.Changes {
		r, err := job.ProgressRecord(c.ID, &c.Progress)
		if err != nil {
			event.RecordFailed.Log(d.Logger, logrus.Fields{"job": c.ID, "error": err})
			continue
		}
		b.records = append(b.records, r)
	}
	d.addWorkers(&b)
	d.addExpired(&b)
	if len(b.records) > 0 {
		d.addLearned(&b)
	}
	return b
}

// addExpired drops jobs that ended long ago, a few at a time.
func (d *Dispatcher) addExpired(b *batch) {
	now := d.Clock()
	if now-d.sweptAt < sweepPeriod {
		return
	}
	d.sweptAt = now
	for _, id := range d.Expired(sweepLimit) {
		b.records = append(b.records, job.DropRecords(id)...)
	}
}

// addLearned adds what the shard has learned, now and then and at the end.
func (d *Dispatcher) addLearned(b *batch) {
	now := d.Clock()
	if now-d.learnedAt < learnedPeriod && !d.stopping.Load() {
		return
	}
	d.learnedAt = now
	d.mu.Lock()
	value, err := d.shard.Learned()
	d.mu.Unlock()
	if err != nil {
		event.RecordFailed.Log(d.Logger, logrus.Fields{"error": err})
		return
	}
	b.records = append(b.records, job.LearnedRecord(value))
}

// addWorkers adds the records of workers that come and go.
func (d *Dispatcher) addWorkers(b *batch) {
	for _, e := range b.progress.Enrolled {
		r, err := job.EnrollmentRecord(e)
		if err != nil {
			event.RecordFailed.Log(d.Logger, logrus.Fields{"worker": e.Worker, "error": err})
			continue
		}
		b.records = append(b.records, r)
	}
	for _, id := range b.progress.Dismissed {
		b.records = append(b.records, job.DismissalRecord(id))
	}
}

// noteRecorded tells everybody who waits for the batch.
func (d *Dispatcher) noteRecorded(b batch) {
	d.Recorded(b.records)
	d.mu.Lock()
	d.shard.Recorded(b.progress)
	close(d.recorded)
	d.recorded = make(chan struct{})
	d.mu.Unlock()
	d.reportNotes()
}

// append writes records under the owner's epoch. An error that matches
// store.ErrUnavailable says that nothing was written; after any other the shard is
// lost. While the outcome is not known the same sequence is sent again, so that
// nothing is written twice.
func (d *Dispatcher) append(w *store.Writer, records []store.Record) error {
	unknown := false
	for attempt := 0; ; attempt++ {
		_, err := d.Store.Append(d.ctx, d.Partition, records, w)
		var fenced *store.FencedError
		var sequence *store.SequenceError
		switch {
		case err == nil:
			w.Sequence++
			return nil
		case errors.As(err, &fenced):
			return errors.Join(ErrFenced, err)
		case errors.As(err, &sequence):
			return err
		case errors.Is(err, store.ErrUnavailable) && !unknown:
			return err
		}
		unknown = true
		if attempt == 0 && d.ctx.Err() == nil {
			event.RecordDelayed.Log(d.Logger, logrus.Fields{"records": len(records), "error": err})
		}
		if err := pause.For(d.ctx, recordRetry); err != nil {
			return err
		}
	}
}
