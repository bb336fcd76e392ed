package job_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// TestLoadedPartIsNoQuorum: a host that loaded the log took the first worker, which the owner
// had reached, for a quorum, before it had applied the records of the others. As the next owner
// it would have started tasks again while the owner before the last one might still act.
func TestLoadedPartIsNoQuorum(t *testing.T) {
	var records []store.Record
	owner, err := job.OwnershipRecord(job.Ownership{Epoch: 2, Claim: 2})
	must.NoError(t, err)
	records = append(records, owner)
	for i, claim := range []uint32{2, 1, 1, 1, 1, 1} {
		e, err := job.EnrollmentRecord(job.Enrollment{Worker: platform.WorkerID(fmt.Sprint("w", i)), Claim: claim})
		must.NoError(t, err)
		records = append(records, e)
	}
	table := job.NewTable()
	apply(t, table, time.Minute, records...)
	must.Zero(t, table.Owners()[0].QuorumAt)
	for i := 1; i < 4; i++ {
		e, err := job.EnrollmentRecord(job.Enrollment{Worker: platform.WorkerID(fmt.Sprint("w", i)), Claim: 2})
		must.NoError(t, err)
		apply(t, table, time.Minute+time.Duration(i), e)
	}
	must.Eq(t, time.Minute+3, table.Owners()[0].QuorumAt)
}
