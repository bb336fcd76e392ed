package job_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// cancelledAtMS is a time of the wall clock.
const cancelledAtMS = 1_700_000_000_000

// apply applies records at a time and checks that they can be read.
func apply(t *testing.T, table *job.Table, now time.Duration, records ...store.Record) {
	t.Helper()
	_, err := table.Apply(page(records...), now)
	must.NoError(t, err)
}

func submissionRecord(t *testing.T) store.Record {
	t.Helper()
	r, err := job.SubmissionRecord(jobID, &job.Submission{Spec: job.Spec{Steps: []job.Step{{Tasks: 1}}}})
	must.NoError(t, err)
	return r
}

// TestCancellationBeforeSubmissionHolds guards against a job that runs, or counts as known or
// waiting, although its cancellation came first, by this version or an earlier one.
func TestCancellationBeforeSubmissionHolds(t *testing.T) {
	for name, record := range map[string]store.Record{
		"this version":       job.CancellationRecord(jobID, cancelledAtMS),
		"an earlier version": {Key: "c" + string(jobID), Value: []byte{1}},
		"another value":      {Key: "c" + string(jobID), Value: []byte("-99999999999999999999")},
	} {
		t.Run(name, func(t *testing.T) {
			table := job.NewTable()
			apply(t, table, time.Second, record)
			must.True(t, job.IsCancellation(record))
			_, known := table.Get(jobID)
			must.False(t, known)
			must.SliceEmpty(t, table.All())
			must.Zero(t, table.Pending(""))
			must.Eq(t, 1, table.EarlyCancellations())

			entries, err := table.Apply(page(submissionRecord(t)), 2*time.Second)
			must.NoError(t, err)
			must.Len(t, 1, entries)
			must.True(t, entries[0].Cancelled)
			must.Zero(t, table.EarlyCancellations())
			e, _ := table.Get(jobID)
			must.Eq(t, job.Cancelled, e.State())

			// The deletion of the cancellation alone does not revive the job.
			apply(t, table, 3*time.Second, job.CancellationDeletionRecord(jobID))
			e, _ = table.Get(jobID)
			must.Eq(t, job.Cancelled, e.State())
		})
	}
}

// TestCancellationWithoutSubmissionEnds guards against cancellations that stay for ever, or end
// early: after a restart, in a record of an earlier version, and with clocks that are apart.
func TestCancellationWithoutSubmissionEnds(t *testing.T) {
	const retention = time.Minute
	retentionMS := retention.Milliseconds()
	for name, c := range map[string]struct {
		record store.Record
		// appliedMS is the wall clock of the host that applies the record, and expiresAfter
		// the time from then until the cancellation ends.
		appliedMS    int64
		expiresAfter time.Duration
	}{
		"at once":                   {job.CancellationRecord(jobID, cancelledAtMS), cancelledAtMS, retention},
		"read after a restart":      {job.CancellationRecord(jobID, cancelledAtMS), cancelledAtMS + retentionMS/2, retention / 2},
		"read long after":           {job.CancellationRecord(jobID, 1), cancelledAtMS, 0},
		"by a clock that is ahead":  {job.CancellationRecord(jobID, cancelledAtMS+5000), cancelledAtMS, retention},
		"by a clock far ahead":      {job.CancellationRecord(jobID, 1<<62), cancelledAtMS, retention},
		"by a clock that is behind": {job.CancellationRecord(jobID, cancelledAtMS-5000), cancelledAtMS, retention - 5*time.Second},
		"without a time":            {store.Record{Key: "c" + string(jobID), Value: []byte{1}}, cancelledAtMS, retention},
	} {
		t.Run(name, func(t *testing.T) {
			table := job.NewTable()
			const applied = time.Hour
			apply(t, table, applied, c.record)
			expired := func(after time.Duration) []job.ID {
				return table.ExpiredCancellations(applied+after, c.appliedMS+after.Milliseconds(), retention, 10)
			}
			if c.expiresAfter > 0 {
				must.SliceEmpty(t, expired(c.expiresAfter-time.Second), must.Sprint("before"))
			}
			// Reading the record again does not keep it.
			apply(t, table, applied+c.expiresAfter, c.record)
			must.Eq(t, []job.ID{jobID}, expired(c.expiresAfter+time.Second))
			apply(t, table, applied, job.CancellationDeletionRecord(jobID))
			must.Zero(t, table.EarlyCancellations())
		})
	}
}

// TestRepeatedCancellationStartsAnew: a later cancellation of the same job counts from its own
// time.
func TestRepeatedCancellationStartsAnew(t *testing.T) {
	table := job.NewTable()
	apply(t, table, 0, job.CancellationRecord(jobID, cancelledAtMS))
	apply(t, table, time.Minute, job.CancellationRecord(jobID, cancelledAtMS+60_000))
	age, cancelled := table.EarlyCancellation(jobID, time.Minute+time.Second, cancelledAtMS+61_000)
	must.True(t, cancelled)
	must.Eq(t, time.Second, age)
}

// TestReloadDropsDeletedCancellations guards against a cancellation whose deletion a host did
// not read, because the log no longer had it.
func TestReloadDropsDeletedCancellations(t *testing.T) {
	table := job.NewTable()
	apply(t, table, time.Second, job.CancellationRecord(jobID, cancelledAtMS))
	table.DeleteMissing(page(job.CancellationRecord(jobID, cancelledAtMS)), 2*time.Second)
	must.Eq(t, 1, table.EarlyCancellations())
	table.DeleteMissing(page(), time.Second)
	must.Eq(t, 1, table.EarlyCancellations(), must.Sprint("applied since the read began"))
	table.DeleteMissing(page(), 2*time.Second)
	must.Zero(t, table.EarlyCancellations())
}
