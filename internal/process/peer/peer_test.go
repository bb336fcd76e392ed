package peer_test

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/peer"
	"github.com/siskinvane/siskinvane/internal/standin/memnet"
)

var (
	serverIP   = netip.AddrFrom4([4]byte{127, 0, 1, 1})
	clientIP   = netip.AddrFrom4([4]byte{127, 0, 1, 2})
	serverAddr = netip.AddrPortFrom(serverIP, 7720)
)

// Sleeper is a service whose calls take as long as they are told to.
type Sleeper struct{}

// Sleep answers with d after d.
func (Sleeper) Sleep(d time.Duration, reply *time.Duration) error {
	time.Sleep(d)
	*reply = d
	return nil
}

// fault is what becomes of bytes that a client writes; 0 if they are delivered.
type fault int32

const (
	// dropped means that they are lost without a reset.
	dropped fault = iota + 1
	// stuck means that the write blocks until the connection is closed.
	stuck
)

// faultyNetwork counts connections. Faults apply to those that are open when they begin.
type faultyNetwork struct {
	peer.Network
	dials int
	last  *faultyConn
}

// Dial implements peer.Network.
func (n *faultyNetwork) Dial(addr netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	n.dials++
	c, err := n.Network.Dial(addr, timeout)
	if err != nil {
		return nil, err
	}
	n.last = &faultyConn{Conn: c, closed: make(chan struct{})}
	return n.last, nil
}

type faultyConn struct {
	net.Conn
	fault     atomic.Int32
	closed    chan struct{}
	closeOnce atomic.Bool
}

// Write implements net.Conn.
func (c *faultyConn) Write(b []byte) (int, error) {
	switch fault(c.fault.Load()) {
	case dropped:
		return len(b), nil
	case stuck:
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *faultyConn) Close() error {
	if c.closeOnce.CompareAndSwap(false, true) {
		close(c.closed)
	}
	return c.Conn.Close()
}

// withSleeper runs a test in a bubble with a client of a Sleeper.
func withSleeper(t *testing.T, test func(t *testing.T, n *faultyNetwork, call func(timeout, d time.Duration) (time.Duration, error))) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		server, err := peer.ListenOn(network.Host(serverIP), serverAddr, "Sleeper", Sleeper{})
		must.NoError(t, err)
		server.Start()
		n := &faultyNetwork{Network: network.Host(clientIP)}
		client := peer.NewClientOn(n)
		test(t, n, func(timeout, d time.Duration) (time.Duration, error) {
			var reply time.Duration
			err := client.CallTimeout(timeout, serverAddr, "Sleeper", "Sleep", d, &reply)
			return reply, err
		})
		client.Close()
		time.Sleep(time.Minute)
		server.Close()
	})
}

// TestTimedOutCallLeavesOthersAlone guards against one slow call that closes the
// connection and so makes all calls in flight fail with an unknown outcome.
func TestTimedOutCallLeavesOthersAlone(t *testing.T) {
	withSleeper(t, func(t *testing.T, n *faultyNetwork, call func(timeout, d time.Duration) (time.Duration, error)) {
		slow, other := make(chan error, 1), make(chan error, 1)
		go func() {
			_, err := call(time.Second, 5*time.Second)
			slow <- err
		}()
		time.Sleep(10 * time.Millisecond)
		go func() {
			got, err := call(3*time.Second, 2*time.Second)
			if err == nil && got != 2*time.Second {
				err = errors.New("wrong reply")
			}
			other <- err
		}()
		_, err := call(time.Second, time.Millisecond)
		must.NoError(t, err)
		must.ErrorIs(t, <-slow, platform.ErrOutcomeUnknown)
		must.NoError(t, <-other)
		must.Eq(t, 1, n.dials)
	})
}

// TestSilentConnectionIsReplaced guards against a dead connection that no reset reports
// and that is kept since a timeout alone does not close it.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for _, f := range []fault{dropped, stuck} {
		withSleeper(t, func(t *testing.T, n *faultyNetwork, call func(timeout, d time.Duration) (time.Duration, error)) {
			_, err := call(time.Second, time.Millisecond)
			must.NoError(t, err)
			time.Sleep(time.Millisecond)
			n.last.fault.Store(int32(f))
			_, err = call(time.Second, time.Millisecond)
			must.ErrorIs(t, err, platform.ErrOutcomeUnknown)
			_, err = call(time.Second, time.Millisecond)
			must.NoError(t, err)
			must.Eq(t, 2, n.dials)
		})
	}
}

// TestUnsentCallHasNoEffect guards against a call that waits behind a request that a
// full link does not take, and then counts as one that may have taken effect.
func TestUnsentCallHasNoEffect(t *testing.T) {
	withSleeper(t, func(t *testing.T, n *faultyNetwork, call func(timeout, d time.Duration) (time.Duration, error)) {
		_, err := call(time.Second, time.Millisecond)
		must.NoError(t, err)
		n.last.fault.Store(int32(stuck))
		first := make(chan error, 1)
		go func() {
			_, err := call(2*time.Second, time.Millisecond)
			first <- err
		}()
		time.Sleep(10 * time.Millisecond)
		started := time.Now()
		_, err = call(time.Second, time.Millisecond)
		must.Error(t, err)
		must.False(t, errors.Is(err, platform.ErrOutcomeUnknown))
		must.Eq(t, time.Second, time.Since(started))
		must.ErrorIs(t, <-first, platform.ErrOutcomeUnknown)
	})
}
