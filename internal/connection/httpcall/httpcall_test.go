package httpcall

import (
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
