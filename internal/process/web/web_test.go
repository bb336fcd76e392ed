package web

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/shoenig/test/must"
)

// TestStopLetsRequestsFinish stops a server with a request in progress and an idle
// connection: the request gets its whole answer, and the idle connection does not delay
// the stop.
func TestStopLetsRequestsFinish(t *testing.T) {
	s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	must.NoError(t, err)
	started, release := make(chan struct{}), make(chan struct{})
	s.GET("/slow", func(_ context.Context, c *app.RequestContext) {
		close(started)
		<-release
		c.String(200, "whole answer")
	})
	s.Start()
	idle, err := net.Dial("tcp", s.Addr().String())
	must.NoError(t, err)
	defer idle.Close()

	answer := make(chan string, 1)
	go func() { answer <- get(fmt.Sprintf("http://%s/slow", s.Addr())) }()
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	// The listener closes first, while the request is still in progress.
	for {
		conn, err := net.Dial("tcp", s.Addr().String())
		if err != nil {
			break
		}
		conn.Close()
	}
	// A server that does not wait for the request would abort it in this time.
	time.Sleep(20 * idleCheckInterval)
	close(release)
	must.Eq(t, "200 OK whole answer", <-answer)
	must.NoError(t, <-stopped)
}

func get(url string) string {
	resp, err := http.Get(url)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return strings.Join([]string{resp.Status, string(body)}, " ")
}
