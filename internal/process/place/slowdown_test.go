package place

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/interference"
)

// paces slows summaries by exports and renders by summaries.
type paces struct{ noHarm }

func (paces) Ratio(victim platform.ClassName, _ float64, beside []interference.Neighbour) (float64, bool) {
	switch victim {
	case "summary":
		return 1 + interference.AmountOf(beside, "export"), true
	case "render":
		return 1 + interference.AmountOf(beside, "summary"), true
	}
	return 1, true
}

// TestBatchGoesWhereLeastTimeIsLost: w0 is chosen when nothing speaks against
// it.
func TestBatchGoesWhereLeastTimeIsLost(t *testing.T) {
	cases := map[platform.ClassName]platform.WorkerID{
		"mail":   "w0000",
		"export": "w0001",
		"render": "w0001",
	}
	for neighbour, want := range cases {
		c := newTestCache(2)
		for w, class := range map[platform.WorkerID]platform.ClassName{"w0000": neighbour, "w0001": "mail"} {
			r := batch("on/"+string(w), size(2, 4000))
			r.Class = class
			c.ConfirmTask(residentOf(r, w))
		}
		d := NewScheduler(paces{}).Place(batch("j/0", size(2, 4000)), c, newRand())
		must.Eq(t, want, d.Worker, must.Sprintf("beside %s", neighbour))
	}
}
