package routing

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/directory"
)

var start = time.Unix(1000, 0)

// newTable returns a directory of one service with n endpoints, each on its own
// worker and changed by edit.
func newTable(n int, edit func(i int, e *directory.Endpoint)) *directory.Table {
	s := directory.Service{Name: "diary", Bound: 100 * time.Millisecond}
	for i := range n {
		e := directory.Endpoint{
			Task: platform.TaskID(fmt.Sprint(i)), Attempt: 1, Worker: platform.WorkerID(fmt.Sprint(i)),
			Domain: "catania", Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i)),
		}
		if edit != nil {
			edit(i, &e)
		}
		s.Endpoints = append(s.Endpoints, e)
	}
	return &directory.Table{Services: []directory.Service{s}}
}

func newRegistry(t *directory.Table) (*Registry, *Service) {
	r := NewRegistry("catania", func(int64) int { return 8 })
	r.Update(t, start)
	return r, r.Service("diary")
}

// countChoices counts how often n choices return each endpoint.
func countChoices(s *Service, now time.Time, n int) map[platform.TaskID]int {
	rnd := rand.New(rand.NewPCG(1, 1))
	counts := map[platform.TaskID]int{}
	for range n {
		if e := s.Choose(&Constraints{Now: now}, rnd); e != nil {
			counts[e.Task]++
		}
	}
	return counts
}

func endpointOf(s *Service, id platform.TaskID) *Endpoint {
	var found *Endpoint
	s.forEach(func(e *Endpoint) {
		if e.Task == id {
			found = e
		}
	})
	return found
}

// fail ends the given number of tries at e with a failure.
func fail(e *Endpoint, now time.Time, times int) {
	for range times {
		e.Begin()
		e.End(Result{Now: now, EndpointFailed: true})
	}
}

// TestEjectionKeepsHalfOfService guards against ejecting all endpoints of a service
// when every try fails.
func TestEjectionKeepsHalfOfService(t *testing.T) {
	for n := 1; n <= 5; n++ {
		_, s := newRegistry(newTable(n, nil))
		s.forEach(func(e *Endpoint) { fail(e, start, 10) })
		must.Eq(t, (n+1)/2, len(countChoices(s, start, 500)), must.Sprint(n))
	}
}

func TestEjectedEndpointReturnsWithSlowStart(t *testing.T) {
	_, s := newRegistry(newTable(4, nil))
	e := endpointOf(s, "0")
	fail(e, start, ejectAfterFailures-1)
	must.Eq(t, 4, len(countChoices(s, start, 500)))
	fail(e, start, 1)
	must.Eq(t, 0, countChoices(s, start, 500)["0"])
	ejectionEnd := start.Add(baseEjectionTime)
	must.True(t, e.Usable(ejectionEnd))
	must.Greater(t, e.Expected(ejectionEnd.Add(slowStartWindow)), e.Expected(ejectionEnd))
}

// TestLeavingEndpointStaysRetired guards against an older directory that brings
// back an endpoint which is leaving.
func TestLeavingEndpointStaysRetired(t *testing.T) {
	leaving := func(i int, e *directory.Endpoint) { e.Leaving = i == 0 }
	r, s := newRegistry(newTable(2, nil))
	must.Positive(t, countChoices(s, start, 100)["0"])
	r.Update(newTable(2, leaving), start)
	must.Eq(t, 0, countChoices(s, start, 100)["0"])
	r.Update(newTable(2, nil), start)
	must.Eq(t, 0, countChoices(s, start, 100)["0"], must.Sprint("an older directory"))
	r.Update(newTable(0, nil), start)
	r.Update(newTable(2, nil), start)
	must.Eq(t, 0, countChoices(s, start, 100)["0"], must.Sprint("an older directory after the endpoint was removed"))
	r.Update(newTable(2, func(i int, e *directory.Endpoint) { e.Attempt = 2 }), start)
	must.Positive(t, countChoices(s, start, 100)["0"], must.Sprint("another attempt is another endpoint"))
}

func TestNewEndpointSlowStart(t *testing.T) {
	r, s := newRegistry(newTable(2, nil))
	r.Update(newTable(3, nil), start)
	counts := countChoices(s, start, 900)
	must.Less(t, counts["0"]/3, counts["2"])
	counts = countChoices(s, start.Add(slowStartWindow), 900)
	must.Between(t, 200, counts["2"], 400)
}

func TestChooseRequiresPosition(t *testing.T) {
	_, s := newRegistry(newTable(3, nil))
	e := endpointOf(s, "1")
	e.Begin()
	e.End(Result{Now: start, Answered: true, Position: 7})
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		must.Eq(t, e, s.Choose(&Constraints{Now: start, Position: 7}, rnd))
		must.Nil(t, s.Choose(&Constraints{Now: start, Position: 8}, rnd))
		must.NotEq(t, e, s.Choose(&Constraints{Now: start, Exclude: []*Endpoint{e}}, rnd))
	}
}

// TestUrgentLatencyLimitsWorkThatMayWait checks that the limit of a service that
// may wait is cut when an urgent service on the same worker misses its target.
func TestUrgentLatencyLimitsWorkThatMayWait(t *testing.T) {
	tab := newTable(1, nil)
	urgent := tab.Services[0]
	urgent.Name, urgent.Endpoints = "kiosk", []directory.Endpoint{urgent.Endpoints[0]}
	urgent.Endpoints[0].Task = "kiosk"
	tab.Services[0].MayWait = true
	tab.Services = append(tab.Services, urgent)
	r, s := newRegistry(tab)
	e, urgentEndpoint := endpointOf(s, "0"), endpointOf(r.Service("kiosk"), "kiosk")
	answer := func(e *Endpoint, now time.Time, latency time.Duration) {
		e.Begin()
		e.End(Result{Now: now, Latency: latency, Answered: true})
	}
	before := e.limit.Value()
	answer(e, start, time.Millisecond)
	must.Eq(t, before, e.limit.Value())
	answer(urgentEndpoint, start, time.Second)
	now := start
	for range 20 {
		now = now.Add(40 * time.Millisecond)
		answer(e, now, time.Millisecond)
	}
	must.Less(t, before, e.limit.Value())
}
