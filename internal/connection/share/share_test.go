package share

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"pgregory.net/rapid"
)

func TestShareOfOneHost(t *testing.T) {
	start := time.Unix(1000, 0)
	s := New("a", start)
	must.False(t, s.Observe([]platform.HostID{"a"}, start))
	must.Eq(t, 4, s.Share(64))
	must.False(t, s.Observe([]platform.HostID{"a"}, start.Add(GoneAfter)))
	must.Eq(t, 4, s.Share(64), must.Sprint("an unknown earlier host's connections may be open"))
	later := start.Add(GoneAfter + 1)
	must.True(t, s.Observe([]platform.HostID{"a"}, later))
	must.Eq(t, 32, s.Share(64))
	must.True(t, s.Observe([]platform.HostID{"a", "b"}, later))
	must.Eq(t, 21, s.Share(64), must.Sprint("the share shrinks at once"))
	must.False(t, s.Observe([]platform.HostID{"a"}, later.Add(GoneAfter)))
	must.Eq(t, 21, s.Share(64), must.Sprint("the dead host's connections may be open"))
	must.True(t, s.Observe([]platform.HostID{"a"}, later.Add(GoneAfter+1)))
	must.Eq(t, 32, s.Share(64))
}

// host is one host of the model. It closes connections above its share immediately
// and opens more at random.
type host struct {
	id     platform.HostID
	state  *State
	open   int
	alive  bool
	diedAt time.Time
}

// TestSumStaysBelowBound lets hosts join, die and open connections in any order,
// exchanging acknowledgements like entry hosts. The open connections of all
// hosts, including dead ones until GoneAfter, must not exceed the limit.
func TestSumStaysBelowBound(t *testing.T) {
	const bound = 64
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var hosts []*host
		live := func() (ids []platform.HostID) {
			for _, h := range hosts {
				if h.alive {
					ids = append(ids, h.id)
				}
			}
			return ids
		}
		step := func() {
			ids := live()
			for _, h := range hosts {
				if !h.alive {
					continue
				}
				h.state.Observe(ids, now)
				h.open = min(h.open, h.state.Share(bound))
			}
			for _, h := range hosts {
				for _, id := range h.state.Pending() {
					for _, other := range hosts {
						if other.id == id && other.alive && h.alive && other.state.Counts(h.id) {
							h.state.Ack(id, other.state.Counted(now), other.state.Full(), now)
						}
					}
				}
			}
		}
		check := func() {
			sum := 0
			for _, h := range hosts {
				if h.alive || now.Sub(h.diedAt) <= GoneAfter {
					sum += h.open
				}
			}
			if sum > bound {
				t.Fatalf("%d connections open, at most %d", sum, bound)
			}
		}
		// noInformedHost reports whether dead hosts may still have open connections
		// and no live host has its full share, so that joining hosts are not told of
		// the dead ones.
		noInformedHost := func() bool {
			dead, joining := false, false
			for _, h := range hosts {
				dead = dead || !h.alive && now.Sub(h.diedAt) <= GoneAfter
				joining = joining || h.alive
				if h.alive && h.state.Full() {
					return false
				}
			}
			return dead && joining
		}
		joined := now.Add(-time.Hour)
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				if now.Sub(joined) < JoinWait || len(hosts) > 8 {
					t.Skip("one host joins at a time")
				}
				if noInformedHost() {
					t.Skip("beyond the stated limit: two hosts join after all others died together")
				}
				joined = now
				h := &host{id: platform.HostID(fmt.Sprint(len(hosts))), state: New("", now), alive: true}
				h.state.self = h.id
				hosts = append(hosts, h)
				step()
			},
			"die": func(t *rapid.T) {
				if len(hosts) == 0 {
					t.Skip("no host")
				}
				h := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]
				if h.alive {
					h.alive, h.diedAt = false, now
				}
			},
			"open": func(t *rapid.T) {
				for _, h := range hosts {
					if h.alive {
						h.open = h.state.Share(bound)
					}
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
				step()
			},
			"": func(*rapid.T) { check() },
		})
	})
}
