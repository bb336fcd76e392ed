package idempotency

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinvane/siskinvane/internal/standin/property"
)

func TestMain(m *testing.M) { property.Main(m, 400, 60) }

// node is one entry host of the model: a ledger and the requests that it is running.
type node struct {
	ledger  *Ledger
	alive   bool
	running map[Key]bool
}

// model simulates entry hosts that join, die, notice membership changes at
// different times, announce, and run requests with a small number of keys.
type model struct {
	now   time.Time
	nodes []*node
	// ran counts the executions of each key.
	ran map[Key]int
}

func (m *model) alive() (list []*node) {
	for _, n := range m.nodes {
		if n.alive {
			list = append(list, n)
		}
	}
	return list
}

func (m *model) members() (list []Member) {
	for _, n := range m.alive() {
		list = append(list, n.ledger.Self())
	}
	return list
}

func (m *model) find(id Member) *node {
	for _, n := range m.nodes {
		if n.alive && n.ledger.Self() == id {
			return n
		}
	}
	return nil
}

func (m *model) join(fresh bool) *node {
	id := Member(fmt.Sprintf("n%d", len(m.nodes)))
	n := &node{ledger: NewLedger(id, m.now, time.Hour, fresh), alive: true, running: map[Key]bool{}}
	m.nodes = append(m.nodes, n)
	return n
}

// refreshMembers gives n the current members.
func (m *model) refreshMembers(n *node) { n.ledger.SetMembers(m.members(), m.now) }

// announce delivers n's announcements to the members that are alive.
func (m *model) announce(n *node) {
	for to, a := range n.ledger.Announcements(m.now) {
		if peer := m.find(to); peer != nil {
			peer.ledger.Hear(a, m.now)
		}
	}
}

// suspect removes victim from the member set of all other nodes, although victim
// is alive and keeps its own view.
func (m *model) suspect(victim *node) {
	others := slices.DeleteFunc(m.members(), func(id Member) bool { return id == victim.ledger.Self() })
	for _, n := range m.alive() {
		if n != victim {
			n.ledger.SetMembers(others, m.now)
		}
	}
	for _, n := range m.alive() {
		if n != victim {
			m.announce(n)
		}
	}
}

// converge gives all nodes the current members and completes their rounds.
func (m *model) converge() {
	for _, n := range m.alive() {
		m.refreshMembers(n)
	}
	// Two rounds: in the first one all nodes learn the highest generation.
	for range 2 {
		for _, n := range m.alive() {
			m.announce(n)
		}
	}
}

// request runs a request with key k at n if the verdict is Run, with the same
// steps as Coordinator. If reachable is unset, the keeper's reply is lost.
func (m *model) request(n *node, k Key, reachable bool) {
	v, _, keeper, req := n.ledger.BeginLocal(k, 1, m.now)
	if v != Run {
		return
	}
	if keeper != "" {
		peer := m.find(keeper)
		if peer == nil {
			n.ledger.Cancel(k, n.ledger.Self())
			return
		}
		v, _ = peer.ledger.Keep(req, m.now)
		if !reachable {
			v = NotServing
		}
	}
	if v != Run {
		n.ledger.Cancel(k, n.ledger.Self())
		return
	}
	m.ran[k]++
	n.running[k] = true
}

// finish ends a request at n. If unreported is set, the other holders get no
// record of its end.
func (m *model) finish(n *node, k Key, unreported bool) {
	delete(n.running, k)
	holders := n.ledger.Finish(k, Done, &Answer{Status: 200})
	for _, id := range holders {
		if peer := m.find(id); peer != nil && !unreported {
			peer.ledger.Learn(Record{Key: k, Print: 1, State: Done, Receiver: n.ledger.Self(), Answer: &Answer{Status: 200}}, m.now)
		}
	}
}

// TestRunsOnce guards against a key that runs twice after members die, restart,
// leave, or disagree about the member set, or after messages are lost.
func TestRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: time.Unix(1000, 0), ran: map[Key]int{}}
		for range 4 {
			m.join(true)
		}
		m.converge()
		pick := func(t *rapid.T) *node {
			list := m.alive()
			if len(list) == 0 {
				t.Skip("no node")
			}
			return list[rapid.IntRange(0, len(list)-1).Draw(t, "node")]
		}
		key := func(t *rapid.T) Key {
			return Key{Service: "diary", Key: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))}
		}
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				if len(m.nodes) > 12 {
					t.Skip("enough nodes")
				}
				m.join(false)
			},
			"die": func(t *rapid.T) {
				if n := pick(t); len(m.alive()) > 1 {
					n.alive = false
				}
			},
			"all but one look": func(t *rapid.T) {
				late := pick(t)
				for _, n := range m.alive() {
					if n != late {
						m.refreshMembers(n)
					}
				}
			},
			"suspect": func(t *rapid.T) {
				victim := pick(t)
				m.suspect(victim)
			},
			"all but one announce": func(t *rapid.T) {
				late := pick(t)
				for _, n := range m.alive() {
					if n != late {
						m.announce(n)
					}
				}
			},
			"look":           func(t *rapid.T) { m.refreshMembers(pick(t)) },
			"look and tell":  func(t *rapid.T) { n := pick(t); m.refreshMembers(n); m.announce(n) },
			"announce":       func(t *rapid.T) { m.announce(pick(t)) },
			"announce again": func(t *rapid.T) { m.announce(pick(t)) },
			"settle":         func(*rapid.T) { m.converge() },
			"leave": func(t *rapid.T) {
				n := pick(t)
				if len(n.running) > 0 || len(m.alive()) == 1 {
					t.Skip("requests in progress, or nobody to hand over to")
				}
				for to, a := range n.ledger.Handover(m.now) {
					if peer := m.find(to); peer != nil {
						peer.ledger.Hear(a, m.now)
					}
				}
				n.alive = false
			},
			"request": func(t *rapid.T) {
				m.request(pick(t), key(t), rapid.IntRange(0, 9).Draw(t, "reachable") > 0)
			},
			"request again": func(t *rapid.T) { m.request(pick(t), key(t), true) },
			"request all": func(t *rapid.T) {
				k := key(t)
				for _, n := range m.alive() {
					m.request(n, k, true)
				}
			},
			"finish": func(t *rapid.T) {
				n, k := pick(t), key(t)
				if n.running[k] {
					m.finish(n, k, rapid.Bool().Draw(t, "lost"))
				}
			},
			"": func(t *rapid.T) {
				for k, runs := range m.ran {
					if runs > 1 {
						t.Fatalf("key %s ran %d times", k.Key, runs)
					}
				}
			},
		})
	})
}

// TestVerdicts checks the verdicts for repeats at each host while the first
// request runs, after it ended, and after the key's home died.
func TestVerdicts(t *testing.T) {
	m := &model{now: time.Unix(1000, 0), ran: map[Key]int{}}
	for range 3 {
		m.join(true)
	}
	m.converge()
	k := Key{Service: "diary", Key: "a"}
	first, _ := rank(m.members(), k)
	home := m.find(first)
	var receiver, other *node
	for _, n := range m.nodes {
		switch {
		case n == home:
		case receiver == nil:
			receiver = n
		default:
			other = n
		}
	}
	m.request(receiver, k, true)
	must.Eq(t, 1, m.ran[k])
	ask := func(n *node, fingerprint uint64) Verdict {
		v, _, keeper, req := n.ledger.BeginLocal(k, fingerprint, m.now)
		if v != Run || keeper == "" {
			return v
		}
		v, _ = m.find(keeper).ledger.Keep(req, m.now)
		n.ledger.Cancel(k, n.ledger.Self())
		return v
	}
	must.Eq(t, Wait, ask(other, 1))
	must.Eq(t, Mismatch, ask(other, 2))
	m.finish(receiver, k, false)
	must.Eq(t, Replay, ask(other, 1))
	must.Eq(t, Replay, ask(receiver, 1))

	home.alive = false
	must.Eq(t, Replay, ask(receiver, 1))
	m.converge()
	must.Eq(t, Replay, ask(other, 1), must.Sprint("announced to the new home"))

	m.now = m.now.Add(2 * time.Hour)
	for _, n := range m.alive() {
		n.ledger.Expire(m.now)
		must.Eq(t, 0, n.ledger.Size())
	}
}

// TestHistoryLost guards against running a key whose records may have been on two
// members that died together. After the window the key runs again.
func TestHistoryLost(t *testing.T) {
	m := &model{now: time.Unix(1000, 0), ran: map[Key]int{}}
	for range 4 {
		m.join(true)
	}
	m.converge()
	m.nodes[0].alive, m.nodes[1].alive = false, false
	m.converge()
	k := Key{Service: "diary", Key: "a"}
	for _, n := range m.alive() {
		m.request(n, k, true)
	}
	must.Eq(t, 0, m.ran[k], must.Sprint("the key may have run at the two that died"))
	m.now = m.now.Add(time.Hour)
	m.request(m.nodes[2], k, true)
	must.Eq(t, 1, m.ran[k])
}
