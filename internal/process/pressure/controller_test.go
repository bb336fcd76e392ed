package pressure

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/interference"
	"github.com/siskinvane/siskinvane/internal/process/place"
)

var start = time.Unix(9000, 0)

// fakeModel ranks antagonists in a fixed order and records calls of WeakenEstimate.
type fakeModel struct {
	ranking    []platform.ClassName
	weakened   []platform.ClassName
	missChance float64
}

func (m *fakeModel) RankAntagonists(platform.ClassName, float64, []interference.Neighbour) []interference.Estimate {
	var list []interference.Estimate
	for _, c := range m.ranking {
		list = append(list, interference.Estimate{Antagonist: c, Slowdown: 1.5})
	}
	return list
}

func (m *fakeModel) MissChance(platform.ClassName, float64, []interference.Neighbour, interference.Confidence) float64 {
	return m.missChance
}

func (m *fakeModel) WeakenEstimate(_, antagonist platform.ClassName, _ float64) {
	m.weakened = append(m.weakened, antagonist)
}

// fixture is a worker with one service task and two batch tasks, a summary and an
// export.
type fixture struct {
	cache      *place.Cache
	controller *Controller
	model      *fakeModel
	budget     place.EvictionBudget
	now        time.Time
}

func newFixture() *fixture {
	f := &fixture{cache: place.NewCache(), controller: NewController(), now: start,
		model: &fakeModel{ranking: []platform.ClassName{"summary", "export"}}}
	f.budget.AddStarts(1000)
	f.cache.SetWorker(place.WorkerInfo{ID: "w", Capacity: platform.Resources{MilliCPU: 32_000, MemoryMB: 125_000, Slots: 8}})
	size := platform.Resources{MilliCPU: 2000, MemoryMB: 4000, Slots: 1}
	f.cache.ConfirmTask(place.Resident{Task: "svc/0", Attempt: 1, Class: "tap", Service: "diary", Worker: "w", Size: size, Urgent: true})
	f.cache.ConfirmTask(place.Resident{Task: "sum/0", Attempt: 1, Class: "summary", Worker: "w", Size: size, Running: true, SavedAt: start})
	f.cache.ConfirmTask(place.Resident{Task: "exp/0", Attempt: 1, Class: "export", Worker: "w", Size: size, Running: true, SavedAt: start})
	return f
}

// measure feeds the controller with n measurements, 5 s apart, and returns all actions.
func (f *fixture) measure(n int, ratio float64) []Action {
	var all []Action
	for range n {
		f.now = f.now.Add(5 * time.Second)
		f.controller.Observe(Measurement{Victim: "svc/0", Class: "tap", Worker: "w", Ratio: ratio, MeasuredAt: f.now.Add(-time.Second)})
		all = append(all, f.controller.Step(f.now, f.cache, f.model, &f.budget)...)
	}
	return all
}

// withoutReasons returns actions with only their kind, task and percentage.
func withoutReasons(actions []Action) []Action {
	var list []Action
	for _, a := range actions {
		list = append(list, Action{Kind: a.Kind, Task: a.Task, Percent: a.Percent})
	}
	return list
}

func TestOneMissCausesNoAction(t *testing.T) {
	f := newFixture()
	must.SliceEmpty(t, f.measure(1, 1.5))
	must.SliceEmpty(t, f.measure(1, 0.9))
	must.SliceEmpty(t, f.measure(1, 1.5))
}

func TestThrottleThenMoveWhileItHelps(t *testing.T) {
	f := newFixture()
	must.Eq(t, []Action{{Kind: Throttle, Task: "sum/0", Percent: 50}}, withoutReasons(f.measure(2, 2.0)))
	must.Eq(t, []Action{{Kind: Throttle, Task: "sum/0", Percent: 20}}, withoutReasons(f.measure(2, 1.8)))
	must.Eq(t, []Action{{Kind: Move, Task: "sum/0"}}, withoutReasons(f.measure(2, 1.5)))
	must.SliceEmpty(t, f.model.weakened)
}

func TestIneffectiveMitigationIsUndone(t *testing.T) {
	f := newFixture()
	f.measure(2, 2.0)
	must.Eq(t, []Action{
		{Kind: Throttle, Task: "sum/0", Percent: 100},
		{Kind: Throttle, Task: "exp/0", Percent: 50},
	}, withoutReasons(f.measure(2, 2.0)))
	must.Eq(t, []platform.ClassName{"summary"}, f.model.weakened)
}

func TestServiceMovesLastAndWithinTheBudget(t *testing.T) {
	f := newFixture()
	f.model.ranking = nil
	must.SliceEmpty(t, f.measure(missesToMoveService-1, 2.0))
	must.Eq(t, []Action{{Kind: MoveService, Task: "svc/0"}}, withoutReasons(f.measure(1, 2.0)))
	must.SliceEmpty(t, f.measure(20, 2.0), must.Sprint("moved again within the cooldown"))

	noBudget := newFixture()
	noBudget.model.ranking, noBudget.budget = nil, place.EvictionBudget{}
	must.SliceEmpty(t, noBudget.measure(20, 2.0))
}

func TestThrottleIsRelaxedWhenServicesAreHealthy(t *testing.T) {
	f := newFixture()
	f.measure(2, 2.0)
	must.SliceEmpty(t, f.measure(4, 0.9), must.Sprint("relaxed though latency is not below healthyRatio"))
	f.model.missChance = 0.5
	must.SliceEmpty(t, f.measure(6, 0.5), must.Sprint("relaxed though the model expects a miss"))
	f.model.missChance = 0
	must.Eq(t, []Action{{Kind: Throttle, Task: "sum/0", Percent: 100}}, withoutReasons(f.measure(1, 0.5)))
	must.MapEmpty(t, f.controller.throttledSince)
}

func TestTaskThrottledForLongMoves(t *testing.T) {
	f := newFixture()
	f.measure(2, 2.0)
	must.Eq(t, []Action{{Kind: Move, Task: "sum/0"}}, withoutReasons(f.measure(20, 0.9)))
}

func TestRelaxBackoffGrowsWithRepeatedMitigations(t *testing.T) {
	var b relaxBackoff
	for _, want := range []time.Duration{initialRelaxBackoff, 2 * initialRelaxBackoff, 4 * initialRelaxBackoff} {
		b.extend(start)
		must.Eq(t, want, b.until.Sub(start))
	}
	b.extend(start.Add(2 * backoffResetAfter))
	must.Eq(t, initialRelaxBackoff, b.delay)
}

func TestPacerLimitsStartsAfterMassLoss(t *testing.T) {
	var p Pacer
	must.Eq(t, 64, p.Allowed(start, 400, 64))
	p.RecordLoss(start, 5, 400)
	must.False(t, p.Paced(start))
	p.RecordLoss(start, 30, 400)
	must.True(t, p.Paced(start))
	started := 0
	for i := range 40 {
		now := start.Add(time.Duration(i) * time.Second)
		for range p.Allowed(now, 400, 64) {
			p.RecordStart(now)
			started++
		}
	}
	must.Between(t, 100, started, 160)
	must.Eq(t, 64, p.Allowed(start.Add(recoveryPeriod), 400, 64))
}
