package job_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
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
	owner, err := job.OwnershipRecord(job.Ownership{Epoch: 2, Claim: 2}, nil)
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

// ownership returns the record of the owner with the given claim and a table's times of the
// earlier ones.
func ownership(t *testing.T, claim uint32, past ...job.PastTerm) store.Record {
	t.Helper()
	r, err := job.OwnershipRecord(job.Ownership{Epoch: platform.Epoch(claim), Claim: claim, BoundsLeases: true}, past)
	must.NoError(t, err)
	return r
}

// TestRestartedHostKnowsEarlierTerms: a host that had restarted knew of no owner before the last
// one, so it waited anew for workers that none had reached since.
func TestRestartedHostKnowsEarlierTerms(t *testing.T) {
	table := job.NewTable()
	apply(t, table, time.Second, ownership(t, 9,
		job.PastTerm{Claim: 6, ReplacedAge: 9 * time.Second, QuorumAge: 11 * time.Second, BoundsLeases: true},
		job.PastTerm{Claim: 7, ReplacedAge: 4 * time.Second, EndedAge: time.Second, Released: true},
		job.PastTerm{Claim: 8}))
	terms := table.Owners()
	must.Len(t, 4, terms)
	must.Eq(t, job.OwnershipTerm{Ownership: job.Ownership{Claim: 6, BoundsLeases: true}, QuorumAt: -10 * time.Second, ReplacedAt: -8 * time.Second}, terms[0])
	must.Eq(t, job.OwnershipTerm{Ownership: job.Ownership{Claim: 7, Released: true}, ReplacedAt: -3 * time.Second, EndedAt: 1}, terms[1], must.Sprint("zero would say that it is not known to have ended"))
	must.Eq(t, time.Second, terms[2].ReplacedAt)
	must.Eq(t, 9, terms[3].Claim)
}

// TestTermsAreMergedWithOwn: of what a host has seen and what records tell, the earlier time
// counts; a record that is applied again or an older one changes nothing.
func TestTermsAreMergedWithOwn(t *testing.T) {
	table := job.NewTable()
	first := ownership(t, 3, job.PastTerm{Claim: 2, ReplacedAge: time.Second})
	apply(t, table, 10*time.Second, ownership(t, 1))
	apply(t, table, 20*time.Second, ownership(t, 2))
	apply(t, table, 30*time.Second, first)
	apply(t, table, 40*time.Second, ownership(t, 3, job.PastTerm{Claim: 1, ReplacedAge: 21 * time.Second}, job.PastTerm{Claim: 2, ReplacedAge: 10 * time.Second}), first)
	apply(t, table, 50*time.Second, ownership(t, 2, job.PastTerm{Claim: 1, ReplacedAge: 45 * time.Second}))
	terms := table.Owners()
	must.Len(t, 3, terms)
	must.Eq(t, []time.Duration{19 * time.Second, 29 * time.Second, 0}, []time.Duration{terms[0].ReplacedAt, terms[1].ReplacedAt, terms[2].ReplacedAt})
	for claim := uint32(4); claim < 60; claim++ {
		apply(t, table, time.Minute, ownership(t, claim, job.PastTerm{Claim: claim - 3}, job.PastTerm{Claim: claim - 2}))
		must.LessEq(t, job.MaxPastTerms+1, len(table.Owners()))
	}
}

// TestOddTermsShortenNoWait: terms that no owner writes must neither hide the owner nor count.
func TestOddTermsShortenNoWait(t *testing.T) {
	tooMany := make([]job.PastTerm, job.MaxPastTerms+1)
	for i := range tooMany {
		tooMany[i].Claim = uint32(i + 1)
	}
	cases := map[string]any{
		"no list":            "terms",
		"negative claim":     []map[int]int{{1: -1, 2: 5}},
		"no claim":           []job.PastTerm{{ReplacedAge: time.Second}},
		"own claim":          []job.PastTerm{{Claim: 40, ReplacedAge: time.Second}},
		"later claim":        []job.PastTerm{{Claim: 41, ReplacedAge: time.Second}},
		"repeated":           []job.PastTerm{{Claim: 38, ReplacedAge: time.Second}, {Claim: 38}},
		"unsorted":           []job.PastTerm{{Claim: 39, ReplacedAge: time.Second}, {Claim: 38}},
		"replaced earlier":   []job.PastTerm{{Claim: 38}, {Claim: 39, ReplacedAge: time.Second}},
		"negative age":       []job.PastTerm{{Claim: 38, ReplacedAge: time.Second}, {Claim: 39, ReplacedAge: -1}},
		"huge age":           []job.PastTerm{{Claim: 38, ReplacedAge: 1<<63 - 1}},
		"negative quorum":    []job.PastTerm{{Claim: 38, ReplacedAge: time.Second, QuorumAge: -1 << 63}},
		"huge quorum":        []job.PastTerm{{Claim: 38, ReplacedAge: time.Second, QuorumAge: time.Hour}},
		"ended in future":    []job.PastTerm{{Claim: 38, ReplacedAge: time.Second, EndedAge: -time.Second}},
		"too many":           tooMany,
		"fractions of a day": []map[int]any{{1: 38, 2: 1e300}},
	}
	for name, past := range cases {
		t.Run(name, func(t *testing.T) {
			value, err := cbor.Marshal(struct {
				job.Ownership
				Past any `cbor:"8,keyasint"`
			}{job.Ownership{Epoch: 40, Claim: 40}, past})
			must.NoError(t, err)
			table := job.NewTable()
			apply(t, table, time.Minute, ownership(t, 38))
			apply(t, table, 2*time.Minute, store.Record{Key: "owner", Value: value})
			terms := table.Owners()
			must.Len(t, 2, terms)
			must.Eq(t, 38, terms[0].Claim)
			must.Eq(t, 2*time.Minute, terms[0].ReplacedAt)
			must.Zero(t, terms[0].QuorumAt)
			must.Eq(t, 40, terms[1].Claim)
		})
	}
}
