package pool

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/connection/wire"
)

// listen returns the address of a listener and the connections that it accepts,
// which stay open.
func listen(t *testing.T) (netip.AddrPort, <-chan net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	conns := make(chan net.Conn, 16)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort(), conns
}

func openConn(t *testing.T, p *Pool, addr netip.AddrPort) *wire.Conn {
	must.NoError(t, p.Reserve())
	c, err := wire.Dial(addr, time.Second)
	must.NoError(t, err)
	return c
}

func TestOpenConnectionsStayWithinShare(t *testing.T) {
	addr, _ := listen(t)
	w := NewWorker(2)
	p, q := w.NewPool(), w.NewPool()
	a, b := openConn(t, p, addr), openConn(t, q, addr)
	must.ErrorIs(t, p.Reserve(), ErrShareExhausted)
	q.Put(b, time.Now())
	c := openConn(t, p, addr)
	must.Eq(t, 2, w.Open(), must.Sprint("an idle connection is closed to make room"))
	must.Nil(t, q.Take(time.Time{}))
	w.SetShare(1)
	must.Eq(t, 2, w.Open(), must.Sprint("busy connections are closed after their request"))
	p.Put(a, time.Now())
	must.Eq(t, 1, w.Open())
	p.Discard(c)
	must.Eq(t, 0, w.Open())
}

func TestTakeReturnsLastVerified(t *testing.T) {
	addr, conns := listen(t)
	p := NewWorker(8).NewPool()
	now := time.Now()
	old, recent := openConn(t, p, addr), openConn(t, p, addr)
	p.Put(old, now.Add(-time.Minute))
	p.Put(recent, now)
	must.Eq(t, recent, p.Take(now.Add(-time.Second)))
	must.Nil(t, p.Take(now.Add(-time.Second)))
	must.Eq(t, old, p.Take(time.Time{}))
	p.Put(old, now)
	(<-conns).Close()
	(<-conns).Close()
	for old.Reusable() {
		time.Sleep(time.Millisecond)
	}
	must.Nil(t, p.Take(time.Time{}), must.Sprint("closed by the endpoint"))
	must.Eq(t, 1, p.worker.Open())
}

func TestCloseSuspectSparesVerifiedAndNewer(t *testing.T) {
	addr, _ := listen(t)
	p := NewWorker(8).NewPool()
	first, second := openConn(t, p, addr), openConn(t, p, addr)
	fresh := openConn(t, p, addr)
	sent := time.Now()
	p.Put(first, sent.Add(-time.Second))
	p.Put(second, sent.Add(time.Second))
	p.Put(fresh, sent.Add(-time.Second))
	p.CloseSuspect(second.Opened(), sent)
	must.Eq(t, 2, p.worker.Open(), must.Sprint("one was verified later, one is newer"))
	must.Eq(t, fresh, p.Take(time.Time{}))
	must.Eq(t, second, p.Take(time.Time{}))
}
