package place

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/interference"
)

// classSlowdowns is a Predictor in which exports slow summaries down and summaries
// slow renders down.
type classSlowdowns struct{ noInterference }

func (classSlowdowns) Ratio(victim platform.ClassName, _ float64, neighbours []interference.Neighbour) (float64, bool) {
	switch victim {
	case "summary":
		return 1 + interference.AmountOf(neighbours, "export"), true
	case "render":
		return 1 + interference.AmountOf(neighbours, "summary"), true
	}
	return 1, true
}

// TestBatchPlacedWithLeastSlowdown: a batch task goes to w0, the default choice,
// unless it would be slowed down by the task there or slow that task down.
func TestBatchPlacedWithLeastSlowdown(t *testing.T) {
	cases := map[platform.ClassName]platform.WorkerID{
		"mail":   "w0000",
		"export": "w0001",
		"render": "w0001",
	}
	for neighbour, want := range cases {
		c := newTestCache(2)
		for w, class := range map[platform.WorkerID]platform.ClassName{"w0000": neighbour, "w0001": "mail"} {
			r := newBatchRequest("on/"+string(w), size(2, 4000))
			r.Class = class
			c.ConfirmTask(residentOf(r, w))
		}
		d := NewScheduler(classSlowdowns{}).Place(newBatchRequest("j/0", size(2, 4000)), c, newRand())
		must.Eq(t, want, d.Worker, must.Sprintf("beside %s", neighbour))
	}
}
