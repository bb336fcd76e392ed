package httpcall

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// bodies returns the bodies of n calls.
func bodies(n int) [][]byte {
	list := make([][]byte, n)
	for i := range list {
		list[i] = fmt.Appendf(nil, `{"n":%d}`, i)
	}
	return list
}

// echoAll makes n calls and checks that each answer is the call's body.
func echoAll(t *testing.T, c *Client, addr netip.AddrPort, n int) (int, error) {
	t.Helper()
	list := bodies(n)
	return c.DoAll(context.Background(), Request{
		Addr: addr, Method: "POST", Path: "/x", ContentType: "application/json", Headers: []Header{{"X-A", "b"}}, Timeout: time.Second,
	}, list, func(i int, a Answer) {
		must.Eq(t, 200, a.Status)
		must.Eq(t, string(list[i]), string(a.Body))
	})
}

// TestCallsOverOneConnection guards against a burst of calls that costs a connection and two system
// calls each.
func TestCallsOverOneConnection(t *testing.T) {
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		must.Eq(t, "b", r.Header.Get("X-A"))
		_, _ = w.Write(body)
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	c, err := New()
	must.NoError(t, err)
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	for range 3 {
		n, err := echoAll(t, c, addr, 64)
		must.NoError(t, err)
		must.Eq(t, 64, n)
	}
	must.Eq(t, 1, connections.Load())
	// The peer closes the idle connection.
	server.CloseClientConnections()
	n, err := echoAll(t, c, addr, 2)
	must.NoError(t, err)
	must.Eq(t, 2, n)
}

// TestPeerThatAnswersOneCallPerConnection guards against calls without an answer that count as
// answered or as not sent.
func TestPeerThatAnswersOneCallPerConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				body, _ := io.ReadAll(r.Body)
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			}
			time.Sleep(20 * time.Millisecond)
			conn.Close()
		}
	}()
	c, err := New()
	must.NoError(t, err)
	n, err := echoAll(t, c, netip.MustParseAddrPort(l.Addr().String()), 3)
	must.Eq(t, 1, n)
	must.ErrorIs(t, err, ErrNoAnswer)
	must.ErrorContains(t, err, "answer 2 of 3")
	l.Close()
	n, err = echoAll(t, c, netip.MustParseAddrPort(l.Addr().String()), 3)
	must.Zero(t, n)
	must.ErrorIs(t, err, ErrNotSent)
}
