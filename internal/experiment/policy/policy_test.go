package policy

import (
	"bytes"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

func TestScheduleDependsOnSeedAlone(t *testing.T) {
	m := diarietto()
	must.Eq(t, newSchedule(&m, 3), newSchedule(&m, 3))
	must.NotEq(t, newSchedule(&m, 3), newSchedule(&m, 4))
}

func TestDeclaredSizesDeviate(t *testing.T) {
	m := padyak()
	for seed := range uint64(50) {
		s := newSchedule(&m, seed)
		for i, b := range m.batch {
			factor := float64(s.declaredBatch[i].MilliCPU) / float64(b.size.MilliCPU)
			must.Between(t, minDeclaredRatio-0.01, factor, maxDeclaredRatio+0.01)
		}
	}
}

func TestMetricsOfOneReplica(t *testing.T) {
	var f runMetrics
	f.addRequests(1, 100)
	must.InDelta(t, 0.99, f.fractionWithin(1), 0.001)
	must.InDelta(t, 1, f.p99Ratio(), 0.02)
	f.unserved = 100
	must.InDelta(t, 0.495, f.fractionWithin(1), 0.001)
}

// TestRunIsRepeatable guards against hidden randomness: two runs with the same seed must
// give the same result. The bounds are far from the actual values, so that only a
// broken policy or simulation violates them.
func TestRunIsRepeatable(t *testing.T) {
	m := diarietto()
	m.workers, m.services = 16, m.services[:1]
	m.services[0].replicas = 10
	first := Run(&m, PolicyLearned, 301)
	must.Eq(t, first, Run(&m, PolicyLearned, 301))
	must.Greater(t, 0.9, first.InTarget)
	must.Greater(t, 0.2, first.BatchFinished)
	must.LessEq(t, 0.02, first.EvictionsPerTask)
}

func TestTableAndFiles(t *testing.T) {
	m := diarietto()
	results := []Result{
		{Mix: m.Name, Policy: PolicyLearned, Seed: 1, InTarget: 0.99, TailOverTarget: 1.1, BatchFinished: 0.8},
		{Mix: m.Name, Policy: PolicyBestFit, Seed: 1, InTarget: 0.9, TailOverTarget: 1.4, BatchFinished: 0.8},
	}
	var table, lines bytes.Buffer
	must.NoError(t, WriteTable(&table, results, []Mix{m}, allPolicies))
	must.StrContains(t, table.String(), "diarietto: excess of p99 over target 0.100, best fit 0.400")
	must.NoError(t, WriteCSV(&lines, results))
	must.StrContains(t, lines.String(), "diarietto,siskinvane,1,0.99,1.1,0.8")
	must.NoError(t, WritePlot(filepath.Join(t.TempDir(), "p.png"), results, m.Name))
}
