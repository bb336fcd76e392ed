package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/place"
)

// classItem returns a batch task whose class and template have the same name.
func classItem(id string, class platform.ClassName) place.Item {
	item := batchItem(id)
	item.Class, item.Template = class, platform.TemplateName(class)
	return item
}

// progressReport returns a report with the completed fractions of two tasks.
func progressReport(w platform.WorkerID, at time.Duration, a string, doneA float64, b string, doneB float64) *platform.Report {
	x, y := usage(a, size, 0), usage(b, size, 0)
	x.Done, y.Done = doneA, doneB
	return report(w, at, x, y)
}

// TestBatchIsPlacedWhereItIsNotSlowed trains the model with summaries that take twice
// as long beside an export as beside another summary. The next summary must be placed
// beside summaries, on w1; without the slowdown it would be placed on w0.
func TestBatchIsPlacedWhereItIsNotSlowed(t *testing.T) {
	p := newTestPlanner(2)
	confirm(p, classItem("a/0", "summary"), "w1")
	confirm(p, classItem("a/1", "summary"), "w1")
	confirm(p, classItem("a/2", "summary"), "w0")
	confirm(p, classItem("b/0", "export"), "w0")
	for i := range 40 {
		at := time.Duration(10+5*i) * time.Second
		now := start.Add(at + 10*time.Second)
		done := 0.02 * float64(i)
		p.Report(progressReport("w1", at, "a/0", done, "a/1", done), now)
		p.Report(progressReport("w0", at, "a/2", done/2, "b/0", done), now)
	}
	slow, _ := p.Model().Ratio("summary", 0.2, p.Cache().Worker("w0").Neighbours)
	fast, _ := p.Model().Ratio("summary", 0.2, p.Cache().Worker("w1").Neighbours)
	must.Greater(t, 1.4, slow/fast)
	p.Enqueue(classItem("c/0", "summary"))
	plan := p.Plan(start.Add(5*time.Minute), 1)
	must.SliceLen(t, 1, plan)
	must.Eq(t, "w1", plan[0].Worker)
}

func TestProgressThatDoesNotTrainTheModel(t *testing.T) {
	cases := []struct {
		name    string
		between func(p *Planner)
		known   bool
	}{
		{"nothing changed", func(*Planner) {}, true},
		{"throttled before", func(p *Planner) { p.cache.Resident("a/0").CPUPercent = 100 }, false},
		{"a new neighbour", func(p *Planner) {
			confirm(p, classItem("c/0", "render"), "w0")
			p.recordNeighbours("w0", start.Add(32*time.Second))
			p.End(AttemptEnd{Task: "c/0", Outcome: Finished}, start.Add(33*time.Second))
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newTestPlanner(1)
			confirm(p, classItem("a/0", "summary"), "w0")
			confirm(p, classItem("b/0", "export"), "w0")
			p.recordNeighbours("w0", start)
			p.Report(progressReport("w0", 30*time.Second, "a/0", 0.1, "b/0", 0), start.Add(40*time.Second))
			c.between(p)
			p.Report(progressReport("w0", 50*time.Second, "a/0", 0.2, "b/0", 0), start.Add(60*time.Second))
			_, known := p.Model().Ratio("summary", 0.1, nil)
			must.Eq(t, c.known, known)
			p.End(AttemptEnd{Task: "a/0", Outcome: Finished}, start.Add(61*time.Second))
			must.MapNotContainsKey(t, p.progress, "a/0")
		})
	}
}
