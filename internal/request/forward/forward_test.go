package forward_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/directory"
	"github.com/siskinvane/siskinvane/internal/process/web"
	"github.com/siskinvane/siskinvane/internal/request/forward"
	"github.com/siskinvane/siskinvane/internal/request/routing"
	"github.com/siskinvane/siskinvane/internal/request/session"
)

var loopback = netip.MustParseAddr("127.0.0.1")

// fixture is a forwarder behind a server, with scripted endpoints.
type fixture struct {
	t         *testing.T
	server    *web.Server
	forwarder *forward.Forwarder
	registry  *routing.Registry
	table     directory.Table
	endpoints int
	keys      session.Keys
}

func newFixture(t *testing.T) *fixture {
	s, err := web.Listen(netip.AddrPortFrom(loopback, 0),
		server.WithStreamBody(true), server.WithDisablePreParseMultipartForm(true), server.WithMaxHeaderBytes(16<<10))
	must.NoError(t, err)
	fx := &fixture{t: t, server: s}
	fx.registry = routing.NewRegistry("catania", func(int64) int { return 8 })
	fx.forwarder = forward.New(forward.Config{Registry: fx.registry, Now: time.Now, Keys: &fx.keys})
	s.NoRoute(fx.forwarder.Handle)
	s.Start()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		s.Stop(ctx) //nolint:errcheck // the test is over
	})
	fx.table.Services = []directory.Service{{Name: "diary", Bound: time.Second}}
	return fx
}

// addEndpoint adds an endpoint that serves each connection by f.
func (fx *fixture) addEndpoint(f func(c net.Conn, r *bufio.Reader)) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(fx.t, err)
	fx.t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				f(c, bufio.NewReader(c))
			}()
		}
	}()
	fx.endpoints++
	s := &fx.table.Services[0]
	s.Endpoints = append(append([]directory.Endpoint(nil), s.Endpoints...), directory.Endpoint{
		Task: platform.TaskID(fmt.Sprintf("svc:diary#%d/0", fx.endpoints)), Attempt: 1, Domain: "catania",
		Worker: platform.WorkerID(fmt.Sprint(fx.endpoints)), Addr: ln.Addr().(*net.TCPAddr).AddrPort(),
	})
	fx.publish()
}

// publish publishes the current directory as a new version.
func (fx *fixture) publish() {
	fx.table.Version++
	t := fx.table
	fx.forwarder.Update(&t)
}

// publishEmptyThenOld publishes a directory without endpoints and then the previous
// one again.
func (fx *fixture) publishEmptyThenOld() {
	endpoints := fx.table.Services[0].Endpoints
	fx.table.Services = []directory.Service{{Name: "diary", Bound: time.Second}}
	fx.publish()
	fx.table.Services = []directory.Service{{Name: "diary", Bound: time.Second, Endpoints: endpoints}}
	fx.publish()
}

// respondWith returns an endpoint that sends the same bytes as the response to each
// request. It closes the connection afterwards if they contain CLOSE.
func respondWith(response string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			if _, err := io.WriteString(c, response); err != nil {
				return
			}
			if strings.Contains(response, "CLOSE") {
				return
			}
		}
	}
}

// sendRaw sends text to the forwarder and returns the response as read by net/http,
// its body, and the error of reading the body.
func (fx *fixture) sendRaw(text, method string) (*http.Response, string, error) {
	c, err := net.Dial("tcp", fx.server.Addr().String())
	must.NoError(fx.t, err)
	fx.t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, text)
	must.NoError(fx.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	must.NoError(fx.t, err)
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// TestRefusedRequests checks that requests which cannot be forwarded, such as those
// with ambiguous framing or for an unknown service, are refused as not run.
func TestRefusedRequests(t *testing.T) {
	fx := newFixture(t)
	fx.addEndpoint(respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	tests := map[string]struct {
		text   string
		status int
	}{
		"two lengths":      {"POST /svc/diary/ HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400},
		"length and chunk": {"POST /svc/diary/ HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"other coding":     {"POST /svc/diary/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n0\r\n\r\n", 400},
		"upgrade":          {"GET /svc/diary/ HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n", 400},
		"old version":      {"GET /svc/diary/ HTTP/1.0\r\nHost: a\r\n\r\n", 400},
		"no service":       {"GET /svc/other/ HTTP/1.1\r\nHost: a\r\n\r\n", 404},
		"no route":         {"GET /other HTTP/1.1\r\nHost: a\r\n\r\n", 404},
		"bad timeout":      {"GET /svc/diary/ HTTP/1.1\r\nHost: a\r\nSiskin-Timeout-Ms: soon\r\n\r\n", 400},
		"too large":        {"POST /svc/diary/ HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999\r\n\r\n" + strings.Repeat("x", 10<<10), 413},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			resp, _, _ := fx.sendRaw(test.text, "GET")
			must.Eq(t, test.status, resp.StatusCode)
			must.Eq(t, "not-run", resp.Header.Get("Siskin-Outcome"))
		})
	}
}

// TestMalformedResponses guards against relaying a truncated or malformed response as
// a complete one, and against retrying a write that may have run.
func TestMalformedResponses(t *testing.T) {
	tests := map[string]string{
		"short of its length": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nCLOSE",
		"chunks without end":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nCLOSE\r\n",
		"no length":           "HTTP/1.1 200 OK\r\n\r\nCLOSE",
		"two lengths":         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nCLOSE",
		"no answer":           "",
	}
	for name, response := range tests {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			ran := 0
			fx.addEndpoint(func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					ran++
					io.WriteString(c, response) //nolint:errcheck // the response to the caller is checked
				}
			})
			resp, body, err := fx.sendRaw("POST /svc/diary/ HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", "POST")
			if err == nil {
				must.Eq(t, 502, resp.StatusCode, must.Sprint(body))
				must.Eq(t, "unknown", resp.Header.Get("Siskin-Outcome"))
			}
			must.Eq(t, 1, ran)
		})
	}
}

// TestTruncatedStreamedResponses guards against a truncated response that appears
// complete to the caller after its first part was relayed already.
func TestTruncatedStreamedResponses(t *testing.T) {
	firstPart := strings.Repeat("x", 100<<10)
	tests := map[string]string{
		"short of its length": "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + firstPart + "CLOSE",
		"chunks without end":  fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(firstPart)+5, firstPart+"CLOSE"),
	}
	for name, response := range tests {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			fx.addEndpoint(respondWith(response))
			_, _, err := fx.sendRaw("GET /svc/diary/ HTTP/1.1\r\nHost: a\r\n\r\n", "GET")
			must.Error(t, err)
		})
	}
}

// TestHeaderForwarding checks which header fields are forwarded in both directions,
// and that an endpoint which reports that it is leaving gets no more requests, even
// after an older directory.
func TestHeaderForwarding(t *testing.T) {
	fx := newFixture(t)
	got := make(chan *http.Request, 1)
	fx.addEndpoint(func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		got <- req
		io.WriteString(c, "HTTP/1.1 201 Created\r\nContent-Length: 0\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 1\r\n"+ //nolint:errcheck // the response to the caller is checked
			"X-End: 2\r\nSiskin-Leaving: true\r\n\r\n")
	})
	resp, _, err := fx.sendRaw("POST /svc/diary/a%2Fb?q=1 HTTP/1.1\r\nHost: nido.example\r\nConnection: keep-alive, X-Mine\r\n"+
		"X-Mine: 1\r\nTE: trailers\r\nX-End: 2\r\nSiskin-Timeout-Ms: 4000\r\nContent-Length: 2\r\n\r\nok", "POST")
	must.NoError(t, err)
	must.Eq(t, 201, resp.StatusCode)
	must.Eq(t, "answered", resp.Header.Get("Siskin-Outcome"))
	must.Eq(t, "2", resp.Header.Get("X-End"))
	must.Eq(t, "", resp.Header.Get("X-Hop"))
	must.Eq(t, "", resp.Header.Get("Siskin-Leaving"))
	req := <-got
	must.Eq(t, "/a%2Fb?q=1", req.RequestURI)
	must.Eq(t, "nido.example", req.Host)
	must.Eq(t, "", req.Header.Get("X-Mine"))
	must.Eq(t, "", req.Header.Get("Te"))
	must.Eq(t, "2", req.Header.Get("X-End"))
	must.StrHasPrefix(t, "3", req.Header.Get("Siskin-Timeout-Ms"))
	must.NotEq(t, "", req.Header.Get("Siskin-Request-Id"))

	resp, _, _ = fx.sendRaw("GET /svc/diary/ HTTP/1.1\r\nHost: a\r\n\r\n", "GET")
	must.Eq(t, 503, resp.StatusCode, must.Sprint("the endpoint reported that it is leaving"))
	must.Eq(t, "not-run", resp.Header.Get("Siskin-Outcome"))
	must.Eq(t, "1", resp.Header.Get("Retry-After"))
	fx.publishEmptyThenOld()
	resp, _, _ = fx.sendRaw("GET /svc/diary/ HTTP/1.1\r\nHost: a\r\n\r\n", "GET")
	must.Eq(t, 503, resp.StatusCode, must.Sprint("an older directory does not bring it back"))
}

// TestStreamedBodies sends a large body in each direction and checks that the request
// is forwarded while it is still arriving.
func TestStreamedBodies(t *testing.T) {
	fx := newFixture(t)
	const size = 20 << 20
	firstBytes := make(chan struct{})
	fx.addEndpoint(func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.ReadFull(req.Body, make([]byte, 1<<20)) //nolint:errcheck // the remaining bytes are counted
		close(firstBytes)
		n, _ := io.Copy(io.Discard, req.Body)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", n+1<<20)
		io.CopyN(c, zeros{}, n+1<<20) //nolint:errcheck // the client counts the bytes
	})
	for _, length := range []int64{size, -1} {
		if length < 0 {
			firstBytes = make(chan struct{})
		}
		body := io.MultiReader(
			bytes.NewReader(make([]byte, 4<<20)), waitFor(firstBytes), bytes.NewReader(make([]byte, size-4<<20)))
		req, err := http.NewRequest("POST", "http://"+fx.server.Addr().String()+"/svc/diary/photo", body)
		must.NoError(t, err)
		req.ContentLength = length
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		n, err := io.Copy(io.Discard, resp.Body)
		must.NoError(t, err)
		must.Eq(t, int64(size), n)
		resp.Body.Close()
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// waitFor returns a reader without content that ends when c is closed.
func waitFor(c <-chan struct{}) io.Reader { return waiter{c} }

type waiter struct{ c <-chan struct{} }

func (w waiter) Read([]byte) (int, error) {
	<-w.c
	return 0, io.EOF
}

// TestDrainEndsWatchAfterWholeLine drains during a watch and checks that the response
// has only complete lines, ends in order and carries the trailer.
func TestDrainEndsWatchAfterWholeLine(t *testing.T) {
	fx := newFixture(t)
	fx.addEndpoint(func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nSiskin-Watch: true\r\nTransfer-Encoding: chunked\r\n\r\n") //nolint:errcheck // the response to the caller is checked
		io.WriteString(c, "a\r\nwave 1\nwav\r\n")                                                        //nolint:errcheck // the response to the caller is checked
		io.Copy(io.Discard, c)                                                                           //nolint:errcheck // waits until the forwarder closes
	})
	resp, err := http.Get("http://" + fx.server.Addr().String() + "/svc/diary/roster")
	must.NoError(t, err)
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	line, err := lines.ReadString('\n')
	must.NoError(t, err)
	must.Eq(t, "wave 1\n", line)
	must.Eq(t, 1, fx.forwarder.InFlight())
	fx.forwarder.Drain()
	rest, err := io.ReadAll(lines)
	must.NoError(t, err)
	must.Eq(t, "", string(rest))
	must.Eq(t, "stop", resp.Trailer.Get("Siskin-Watch-End"))
}

func TestSessionTokens(t *testing.T) {
	fx := newFixture(t)
	path := filepath.Join(t.TempDir(), "keys.json")
	must.NoError(t, os.WriteFile(path, []byte(`{"keys":[{"id":"a","secret":"MDEyMzQ1Njc4OWFiY2RlZg=="}]}`), 0o600))
	_, err := fx.keys.Load(path)
	must.NoError(t, err)
	fx.addEndpoint(respondWith("HTTP/1.1 200 OK\r\nSiskin-Position: 7\r\nContent-Length: 0\r\n\r\n"))
	get := func(token string) *http.Response {
		resp, _, err := fx.sendRaw("GET /svc/diary/ HTTP/1.1\r\nHost: a\r\nSiskin-Session: "+token+"\r\n\r\n", "GET")
		must.NoError(t, err)
		return resp
	}
	tests := map[string]struct {
		token           string
		status          int
		outcome, reason string
	}{
		"reached":         {fx.keys.Ring().Seal(session.Token{Service: "diary", Position: 7}), 200, "answered", ""},
		"not reached":     {fx.keys.Ring().Seal(session.Token{Service: "diary", Position: 8}), 503, "unknown", "position-not-reached"},
		"another service": {fx.keys.Ring().Seal(session.Token{Service: "other", Position: 1}), 400, "not-run", "bad-session"},
		"garbled":         {"v1.a.x", 400, "not-run", "bad-session"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			resp := get(test.token)
			must.Eq(t, test.status, resp.StatusCode)
			must.Eq(t, test.outcome, resp.Header.Get("Siskin-Outcome"))
			must.Eq(t, test.reason, resp.Header.Get("Siskin-Reason"))
		})
	}
	token, err := fx.keys.Ring().Open(get(tests["reached"].token).Header.Get("Siskin-Session"))
	must.NoError(t, err)
	must.Eq(t, session.Token{Service: "diary", Position: 7}, token)
}
