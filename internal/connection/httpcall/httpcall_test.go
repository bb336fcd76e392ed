package httpcall

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestDeadConnectionsCostOneTimeout guards against a timeout for each dead kept connection.
func TestDeadConnectionsCostOneTimeout(t *testing.T) {
	const connections, timeout = 4, 200 * time.Millisecond
	// Connections opened before the silence are not answered any more.
	var opened sync.Map
	var silent atomic.Bool
	var arrived sync.WaitGroup
	arrived.Add(connections)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if silent.Load() {
			if _, dead := opened.Load(r.RemoteAddr); dead {
				<-r.Context().Done()
			}
			return
		}
		if _, known := opened.LoadOrStore(r.RemoteAddr, true); !known {
			arrived.Done()
			arrived.Wait()
		}
	}))
	t.Cleanup(server.Close)
	c, err := New()
	must.NoError(t, err)
	call := func() error {
		return c.Do(t.Context(), Request{
			Addr: netip.MustParseAddrPort(server.Listener.Addr().String()), Method: "GET", Path: "/", Timeout: timeout,
		}, func(Answer) error { return nil })
	}
	var opening sync.WaitGroup
	for range connections {
		opening.Go(func() { must.NoError(t, call()) })
	}
	opening.Wait()
	silent.Store(true)
	must.ErrorIs(t, call(), ErrNoAnswer)
	for range 2 * connections {
		must.NoError(t, call())
	}
}

// TestResetConnectionClosesAcceptedOnes: a peer that has too many connections reset a new one, whereupon
// the idle one that it had accepted was closed, and no further call reached it.
func TestResetConnectionClosesAcceptedOnes(t *testing.T) {
	const resetAfter, short, slow = 50 * time.Millisecond, 20 * time.Millisecond, 300 * time.Millisecond
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(slow)
		}
		time.Sleep(short)
	}))
	accepted := 0
	server.Listener = &cappedListener{Listener: server.Listener, accept: func(c net.Conn) bool {
		if accepted++; accepted <= 2 {
			return true
		}
		time.AfterFunc(resetAfter, func() {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		})
		return false
	}}
	server.Start()
	t.Cleanup(server.Close)
	c, err := New()
	must.NoError(t, err)
	call := func(path string) error {
		return c.Do(t.Context(), Request{
			Addr: netip.MustParseAddrPort(server.Listener.Addr().String()), Method: "GET", Path: path, Timeout: time.Second,
		}, func(Answer) error { return nil })
	}
	var slowCall, calls sync.WaitGroup
	slowCall.Go(func() { must.NoError(t, call("/slow")) })
	time.Sleep(short)
	var failed atomic.Int64
	for range 2 {
		calls.Go(func() {
			if call("/") != nil {
				failed.Add(1)
			}
		})
	}
	calls.Wait()
	must.Eq(t, 1, failed.Load())
	must.NoError(t, call("/"))
	slowCall.Wait()
}

// cappedListener is a net.Listener that hands on the connections that accept takes.
type cappedListener struct {
	net.Listener
	accept func(net.Conn) bool
}

// Accept implements net.Listener.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || l.accept(c) {
			return c, err
		}
	}
}
