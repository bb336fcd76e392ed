package member

import (
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"github.com/siskinvane/siskinvane/internal/platform"
)

// node is a host with an exchange on a loopback address.
type node struct {
	exchange *Exchange
	view     *View
	version  atomic.Uint64
	targets  []netip.AddrPort
}

func newNode(t testing.TB, id platform.HostID, incarnation uint64, addr netip.AddrPort) *node {
	n := &node{view: NewView()}
	exchange, err := Listen(addr, ExchangeConfig{
		Host: id, Incarnation: incarnation, View: n.view, Now: time.Now,
		Facts:       func() Facts { return Facts{Domain: "catania", ConfigVersion: n.version.Load()} },
		Targets:     func() []netip.AddrPort { return n.targets },
		OnHeartbeat: func(Heartbeat) {},
	})
	must.NoError(t, err)
	n.exchange = exchange
	n.exchange.loops.Go(n.exchange.receiveLoop)
	t.Cleanup(n.exchange.Close)
	return n
}

func (n *node) addr() netip.AddrPort { return n.exchange.Addr() }

// hasVersion reports whether n's view holds host with the given incarnation and
// configuration version.
func (n *node) hasVersion(host platform.HostID, incarnation, version uint64) bool {
	for _, m := range n.view.All() {
		if m.Host == host {
			return m.Incarnation == incarnation && m.ConfigVersion == version
		}
	}
	return false
}

func waitUntil(t testing.TB, condition func() bool) {
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
}

// TestExchange: a change of facts reaches a peer with the next round. A peer that
// restarted requests and gets the facts when the next heartbeat without facts
// reaches it.
func TestExchange(t *testing.T) {
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	a, b := newNode(t, "a", 1, anyPort), newNode(t, "b", 1, anyPort)
	a.targets = []netip.AddrPort{b.addr()}
	a.exchange.SendRound()
	waitUntil(t, func() bool { return b.hasVersion("a", 1, 0) })
	a.version.Store(7)
	a.exchange.SendRound()
	waitUntil(t, func() bool { return b.hasVersion("a", 1, 7) })

	addr := b.addr()
	b.exchange.Close()
	b = newNode(t, "b", 2, addr)
	a.exchange.SendRound()
	waitUntil(t, func() bool { return b.hasVersion("a", 1, 7) })
}

// BenchmarkHeartbeats reports the bytes per second that one of n hosts sends and
// receives in steady state.
func BenchmarkHeartbeats(b *testing.B) {
	for _, n := range []int{8, 24, 48} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			var nodes []*node
			for i := range n {
				nodes = append(nodes, newNode(b, platform.HostID(fmt.Sprintf("entry-%02d", i)), uint64(time.Now().UnixNano()), netip.MustParseAddrPort("127.0.0.1:0")))
			}
			for i, node := range nodes {
				for j, peer := range nodes {
					if i != j {
						node.targets = append(node.targets, peer.addr())
					}
				}
			}
			for _, node := range nodes {
				node.exchange.SendRound()
			}
			waitUntil(b, func() bool { return len(nodes[0].view.All()) == n })
			before := nodes[0].exchange.Traffic()
			for b.Loop() {
				for _, node := range nodes {
					node.exchange.SendRound()
				}
			}
			after := nodes[0].exchange.Traffic()
			rounds := float64(b.N) * HeartbeatPeriod.Seconds()
			b.ReportMetric(float64(after.SentBytes-before.SentBytes)/rounds, "sent-B/s")
			b.ReportMetric(float64(after.ReceivedBytes-before.ReceivedBytes)/rounds, "received-B/s")
		})
	}
}
