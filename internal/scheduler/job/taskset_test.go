package job

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// TestRecordOfSilentWorkerIsShort: with the names of fields for each task, records of hundreds of
// workers that are lost at once would fill an owner's link.
func TestRecordOfSilentWorkerIsShort(t *testing.T) {
	const tasks, maxBytesPerTask = 24, 25
	e := Enrollment{Worker: "w", Closed: true, MayRun: TaskSet{}}
	for i := range tasks {
		e.MayRun[TaskRef{Job: ID(fmt.Sprintf("%016x", i)), Step: 1, Index: i}] = true
	}
	r, err := EnrollmentRecord(e)
	must.NoError(t, err)
	must.Less(t, tasks*maxBytesPerTask+100, len(r.Value))
	table := NewTable()
	must.NoError(t, table.applyEnrollment("w", r.Value, 0))
	must.Eq(t, e.MayRun, table.Workers()[0].MayRun)
}
