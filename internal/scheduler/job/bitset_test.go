package job_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// TestRecordGrowsWithThePast: the progress record of a schedule had a bit for each task of the
// past, and outgrew the store's limit.
func TestRecordGrowsWithThePast(t *testing.T) {
	for _, past := range []int{0, 7, 50_000, 70_000, 2_000_000} {
		p := job.Progress{State: job.Running, Revision: 3, Crashes: map[int][]job.Crash{past + 1: {{Worker: "w", Run: 2}}}}
		for n := range past {
			p.Done.Add(n)
		}
		p.Done.Add(past + 20)
		must.Eq(t, past+1, p.Done.Len())
		for _, n := range []int{max(0, past-1), past, past + 19, past + 20, past + 21} {
			must.Eq(t, n < past || n == past+20, p.Done.Has(n), must.Sprint(past, n))
		}
		records, _ := recordsOf(t, p, nil)
		must.Len(t, 1, records)
		r := records[0]
		must.LessEq(t, 8<<10, len(r.Value))
		var recorded job.Progress
		must.NoError(t, cbor.Unmarshal(r.Value, &recorded))
		must.Eq(t, p, recorded)
		// Records of earlier versions have a bit for each task under key 2.
		if past <= 50_000 {
			var earlier struct {
				Done []byte `cbor:"2,keyasint"`
			}
			must.NoError(t, cbor.Unmarshal(r.Value, &earlier))
			must.Eq(t, (past+20)/8+1, len(earlier.Done))
		}
	}
	for _, below := range []int{-8, 7, 1 << 51} {
		value, err := cbor.Marshal(map[int]any{11: below, 12: []byte{1}})
		must.NoError(t, err)
		must.Error(t, cbor.Unmarshal(value, &job.Progress{}), must.Sprint(below))
	}
}
