package node

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/process/peer"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/standin/memstore"
)

// heldNetwork holds up what a host sends to the address to while held is set and delivers it
// afterwards, also on connections that the host has closed meanwhile.
type heldNetwork struct {
	peer.Network
	to    netip.AddrPort
	mu    sync.Mutex
	held  bool
	conns []*heldConn
}

type heldConn struct {
	net.Conn
	network *heldNetwork
	// queue is what is held up; closed is set if the host has closed the connection.
	queue  [][]byte
	closed bool
}

// Dial implements peer.Network.
func (n *heldNetwork) Dial(addr netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	n.mu.Lock()
	held := n.held
	n.mu.Unlock()
	if addr != n.to {
		return n.Network.Dial(addr, timeout)
	}
	if held {
		time.Sleep(timeout)
		return nil, errors.New("connection timed out")
	}
	c, err := n.Network.Dial(addr, timeout)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	conn := &heldConn{Conn: c, network: n}
	n.conns = append(n.conns, conn)
	return conn, nil
}

// Write implements net.Conn.
func (c *heldConn) Write(b []byte) (int, error) {
	c.network.mu.Lock()
	if c.network.held {
		c.queue = append(c.queue, slices.Clone(b))
		c.network.mu.Unlock()
		return len(b), nil
	}
	c.network.mu.Unlock()
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *heldConn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.closed = true; c.network.held {
		return nil
	}
	return c.Conn.Close()
}

// hold holds up what the host sends from now on.
func (n *heldNetwork) hold() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held = true
}

// release delivers what was held up.
func (n *heldNetwork) release() {
	n.mu.Lock()
	n.held = false
	conns := n.conns
	n.mu.Unlock()
	for _, c := range conns {
		for _, b := range c.queue {
			_, _ = c.Conn.Write(b)
		}
		c.queue = nil
	}
	// Answers that are under way arrive before the connection ends.
	time.Sleep(time.Second)
	for _, c := range conns {
		if c.closed {
			c.Conn.Close()
		}
	}
}

// setRoom sets whether the workers have room for the job of submitEndless, as all hosts see them.
func setRoom(reached map[string]*testWorkers, room bool) {
	for _, w := range reached {
		w.milliCPU.Store(10)
		if room {
			w.milliCPU.Store(100_000)
		}
	}
	time.Sleep(2 * registryPollInterval)
}

// newHeldFleet starts the hosts u, which owns the shard, w, and b with a narrow link, whose calls to
// u can be held up. There is no room for endless jobs.
func newHeldFleet(t *testing.T) (*fleetOf, map[string]*testWorkers, map[string]*memstore.View, *heldNetwork) {
	f := &fleetOf{testCluster: newTestCluster(), t: t, nodes: map[string]*Node{}}
	reached, views := map[string]*testWorkers{}, map[string]*memstore.View{}
	f.workers = func(host string) *testWorkers {
		reached[host] = newTestWorkers(10)
		return reached[host]
	}
	for _, name := range []string{"u", "w", "b"} {
		f.wrap = func(s store.Store) store.Store {
			views[name] = s.(*memstore.View)
			return s
		}
		f.start(name)
		time.Sleep(3 * time.Second)
	}
	must.Eq(t, "u", f.owner())
	setRoom(reached, false)
	b := f.nodes["b"]
	network := &heldNetwork{Network: f.network.Host(b.Peer.Addr()), to: f.nodes["u"].Peer}
	b.peers = peer.NewClientOn(network)
	must.NoError(t, b.Submit(context.Background(), otherJobID, submission()))
	return f, reached, views, network
}

// mustNotBeStored checks that no host knows the job that all its callers were refused.
func (f *fleetOf) mustNotBeStored() {
	f.t.Helper()
	time.Sleep(3 * time.Second)
	for name, n := range f.nodes {
		_, err := n.State(context.Background(), jobID)
		must.ErrorIs(f.t, err, ErrUnknownJob, must.Sprint(name))
	}
}

func mustBeRefused(t *testing.T, err error) {
	t.Helper()
	var refused *RefusedError
	must.True(t, errors.As(err, &refused), must.Sprint(err))
}

// submitAcrossTakeover submits an endless job at b, which takes u for the owner and whose call to u is
// held up, while w owns the shard and has no room. u reaches the store again afterwards.
func submitAcrossTakeover(f *fleetOf, views map[string]*memstore.View, network *heldNetwork) error {
	network.hold()
	views["u"].Set(memstore.Unresponsive, 0)
	views["b"].Set(memstore.Unresponsive, 0)
	f.awaitOwner(1500*time.Millisecond, func(owner string) bool { return owner == "w" })
	// A new owner admits all until it has measured.
	time.Sleep(4 * time.Second)
	outcome := make(chan error, 1)
	go func() { outcome <- submitEndless(f.nodes["b"], jobID) }()
	time.Sleep(500 * time.Millisecond)
	views["b"].Set(memstore.Healthy, 0)
	err := <-outcome
	views["u"].Set(memstore.Healthy, 0)
	time.Sleep(3 * time.Second)
	return err
}

// TestHeldUpProposalIsAdmittedByRegainedOwner guards against a job that runs after its caller was
// told that it never does: the call to an owner that was cut off arrives when that host owns the
// shard again.
func TestHeldUpProposalIsAdmittedByRegainedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, reached, views, network := newHeldFleet(t)
		mustBeRefused(t, submitAcrossTakeover(f, views, network))
		f.kill("w")
		f.awaitOwner(5*time.Second, func(owner string) bool { return owner == "u" })
		setRoom(reached, true)
		time.Sleep(3 * time.Second)
		network.release()
		f.mustNotBeStored()
		f.stopAll()
	})
}

// TestRefusalIsPassedOnAfterCallToOldOwner guards against the same where the owner that was cut off
// is of a version that carries out late calls: its job is stored, not refused.
func TestRefusalIsPassedOnAfterCallToOldOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, views, network := newHeldFleet(t)
		f.replaceByOldService(t, f.nodes["u"])
		b := f.nodes["b"]
		b.peers, b.ownerClock = peer.NewClientOn(network), ownerClock{}
		must.NoError(t, b.Submit(context.Background(), "00000000000000ac", submission()))
		must.NoError(t, submitAcrossTakeover(f, views, network))
		f.stopAll()
	})
}

// TestCallWithoutTermIsCarriedOutByRegainedOwner guards against the same where the host that called
// is of a version that names no ownership.
func TestCallWithoutTermIsCarriedOutByRegainedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, views, network := newHeldFleet(t)
		propose := func(id job.ID) error {
			return (&Service{node: f.nodes["u"]}).ProposeJob(JobProposal{Record: submissionRecord(t, id)}, &Verdict{})
		}
		must.NoError(t, propose(oldJob(1)))
		mustBeRefused(t, submitAcrossTakeover(f, views, network))
		f.kill("w")
		f.awaitOwner(5*time.Second, func(owner string) bool { return owner == "u" })
		must.ErrorIs(t, propose(oldJob(2)), errNotOwner)
		network.release()
		f.stopAll()
	})
}

// TestHeldUpProposalIsAdmittedAfterRefusal guards against the same within one ownership: the caller
// asks again at another host before the call of the first one arrives.
func TestHeldUpProposalIsAdmittedAfterRefusal(t *testing.T) {
	for name, delay := range map[string]time.Duration{
		"after the call was given up": 4 * time.Second, "while its host waits": 800 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, reached, views, network := newHeldFleet(t)
				network.hold()
				views["b"].Set(memstore.Unresponsive, 0)
				first := make(chan error, 1)
				go func() { first <- submitEndless(f.nodes["b"], jobID) }()
				time.Sleep(100 * time.Millisecond)
				mustBeRefused(t, submitEndless(f.nodes["w"], jobID))
				setRoom(reached, true)
				time.Sleep(delay - 100*time.Millisecond - 2*registryPollInterval)
				network.release()
				err := <-first
				must.Error(t, err)
				views["b"].Set(memstore.Healthy, 0)
				f.mustNotBeStored()
				must.NoError(t, submitEndless(f.nodes["w"], jobID))
				f.stopAll()
			})
		})
	}
}

// TestLateNoticeOfAppendRevivesDeletedJob guards against a job that runs again long after its end:
// the call that told the owner of its submission was held up until the log had deleted the job.
func TestLateNoticeOfAppendRevivesDeletedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, views, network := newHeldFleet(t)
		u, b := f.nodes["u"], f.nodes["b"]
		f.kill("w")
		// The owner is not sure that it is, so that b appends the record itself.
		views["u"].Set(memstore.Unresponsive, 0)
		time.Sleep(ownerJoinMaxAge + 20*time.Millisecond)
		views["b"].Set(memstore.Healthy, 100*time.Millisecond)
		stored := make(chan error, 1)
		go func() { stored <- submit(b, 3*time.Second) }()
		time.Sleep(50 * time.Millisecond)
		views["u"].Set(memstore.Healthy, 0)
		network.hold()
		must.NoError(t, <-stored)
		time.Sleep(2 * time.Second)
		must.Eq(t, "u", f.owner())
		must.NoError(t, cancel(u))
		time.Sleep(u.Retention + retentionSkew + 10*time.Second)
		_, err := u.State(context.Background(), jobID)
		must.ErrorIs(t, err, ErrUnknownJob)
		network.release()
		f.mustNotBeStored()
		f.stopAll()
	})
}
