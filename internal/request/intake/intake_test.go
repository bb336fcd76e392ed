package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/process/node"
	"github.com/siskinvane/siskinvane/internal/process/quota"
	"github.com/siskinvane/siskinvane/internal/process/web"
	"github.com/siskinvane/siskinvane/internal/request/framing"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/standin/memnet"
	"github.com/siskinvane/siskinvane/internal/standin/memstore"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

// countCodec is a codec of jobs with one step; the body is the number of its tasks.
type countCodec struct{}

var errNotANumber = errors.New("tasks: want a number")

func (countCodec) DecodeJob(body []byte) (job.Spec, error) {
	n, err := strconv.Atoi(string(body))
	if err != nil {
		return job.Spec{}, errNotANumber
	}
	spec := job.Spec{Steps: []job.Step{{Tasks: n}}}
	return spec, spec.Validate()
}

func (countCodec) EncodeState(s job.State) []byte { return []byte(s.String()) }

func (countCodec) EncodePending(count int) []byte { return []byte(strconv.Itoa(count)) }

func (countCodec) RequestTimeout(header func(string) string) time.Duration {
	d, _ := time.ParseDuration(header("Patience"))
	return d
}

// emptyFleet is a fleet registry without workers.
type emptyFleet struct{}

func (emptyFleet) Next(context.Context) (fleet.Changes, error) { return fleet.Changes{All: true}, nil }

// declarationSource delivers declarations from a channel.
type declarationSource chan *queue.Config

func (c declarationSource) Next(ctx context.Context) (queue.Declared, error) {
	select {
	case config := <-c:
		return queue.Declared{Config: config}, nil
	case <-ctx.Done():
		return queue.Declared{}, ctx.Err()
	}
}

// fixture is a server on a host without workers, with an HTTP client.
type fixture struct {
	t            *testing.T
	addr         string
	view         *memstore.View
	declarations declarationSource
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	fx := &fixture{t: t, view: memstore.New().View("host"), declarations: make(declarationSource, 1)}
	start := time.Now()
	ip := netip.MustParseAddr("127.0.1.1")
	n, err := node.Start(node.Config{
		Host: "host", Peer: netip.AddrPortFrom(ip, 7720), Network: memnet.New().Host(ip),
		Logger: logger, Metrics: metrics.NewRegistry(), Clock: func() time.Duration { return time.Since(start) },
		Bounds: scheduler.Bounds{MaxLease: 10 * time.Second}, Retention: time.Minute, AppendBytes: memstore.MaxAppendBytes,
		Store: fx.view, Registry: func() fleet.Registry { return emptyFleet{} }, Declarations: fx.declarations,
	})
	must.NoError(t, err)
	t.Cleanup(n.Stop)
	guard := web.Guard{
		Quota:        quota.New(quota.Limits{Connections: 100, Bytes: 16 << 20}),
		Limits:       func() framing.Limits { return framing.Limits{Head: 16 << 10, Body: 16 << 10} },
		OnTurnedAway: func(r web.Refusal) { t.Errorf("turned away: %s", r) },
	}
	s, err := Start(netip.MustParseAddrPort("127.0.0.1:0"), n, countCodec{}, logger, guard)
	must.NoError(t, err)
	fx.addr = s.web.Addr().String()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Stop(ctx)
	})
	return fx
}

// declare publishes a queue with the path prefix /d/ and waits until it is served.
func (fx *fixture) declare() {
	fx.declarations <- queue.New(1, []*queue.Queue{{
		Name: "digest", Host: "h.example", Prefix: "/d/", Service: "s", MaxFailures: 3, Stretch: 2, Target: time.Second,
	}}, []*queue.Service{{Name: "s"}}, queue.Limits{})
	for range 100 {
		if a := fx.call("GET", "/d/", ""); a.status == 200 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	fx.t.Fatal("declarations are not served")
}

type response struct {
	status     int
	body       string
	retryAfter string
}

// call sends a request. A path under /other is sent to a host without a queue.
func (fx *fixture) call(method, path, body string) response {
	fx.t.Helper()
	req, err := http.NewRequestWithContext(fx.t.Context(), method, "http://"+fx.addr+path, strings.NewReader(body))
	must.NoError(fx.t, err)
	req.Host = "h.example"
	if strings.HasPrefix(path, "/other") {
		req.Host = "other.example"
	}
	resp, err := http.DefaultClient.Do(req)
	must.NoError(fx.t, err)
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	must.NoError(fx.t, err)
	return response{resp.StatusCode, string(content), resp.Header.Get("Retry-After")}
}

const id = "5c0e7a21d94b36f8"

// submit submits a job repeatedly until the host accepts it.
func (fx *fixture) submit(id string) {
	for range 100 {
		if fx.call("POST", "/d/"+id, "2").status == 200 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	fx.t.Fatal("job was not accepted")
}

// TestJobLifecycle submits a job twice, queries it and cancels it.
func TestJobLifecycle(t *testing.T) {
	fx := newFixture(t)
	fx.declare()
	fx.submit(id)
	must.Eq(t, 200, fx.call("POST", "/d/"+id, "2").status, must.Sprint("submitting again"))
	must.Eq(t, response{status: 200, body: "1"}, fx.call("GET", "/d/", ""))
	must.Eq(t, response{status: 200, body: "queued"}, fx.call("GET", "/d/"+id, ""))
	must.Eq(t, 200, fx.call("DELETE", "/d/"+id, "").status)
	must.Eq(t, response{status: 200, body: "cancelled"}, fx.call("GET", "/d/"+id, ""))
	must.Eq(t, response{status: 200, body: "0"}, fx.call("GET", "/d/", ""))
}

// TestInvalidRequests checks that an invalid request gets the status and the message
// for its fault and adds no job.
func TestInvalidRequests(t *testing.T) {
	fx := newFixture(t)
	fx.declare()
	fx.submit("00000000000000ff")
	cases := map[string]struct {
		method, path, body string
		wantStatus         int
		wantBody           string
	}{
		"unknown host":     {"POST", "/other/d/" + id, "2", 404, ""},
		"unknown path":     {"POST", "/e/" + id, "2", 404, ""},
		"short id":         {"POST", "/d/5c0e", "2", 400, "16 hexadecimal digits"},
		"long id":          {"POST", "/d/" + id + "0", "2", 400, "16 hexadecimal digits"},
		"id of letters":    {"POST", "/d/zzzzzzzzzzzzzzzz", "2", 400, "16 hexadecimal digits"},
		"no id":            {"POST", "/d/", "2", 400, "16 hexadecimal digits"},
		"id to ask for":    {"GET", "/d/5c0e", "", 400, "16 hexadecimal digits"},
		"unreadable body":  {"POST", "/d/" + id, "many", 400, "want a number"},
		"too many tasks":   {"POST", "/d/" + id, "100000000", 400, "steps[0]: tasks"},
		"other method":     {"PUT", "/d/" + id, "2", 405, ""},
		"unknown job":      {"GET", "/d/" + id, "", 410, ""},
		"cancel of no job": {"DELETE", "/d/" + id, "", 410, ""},
	}
	for name, x := range cases {
		got := fx.call(x.method, x.path, x.body)
		must.Eq(t, x.wantStatus, got.status, must.Sprint(name))
		must.StrContains(t, got.body, x.wantBody, must.Sprint(name))
	}
	must.Eq(t, 410, fx.call("GET", "/d/"+id, "").status)
	must.Eq(t, "1", fx.call("GET", "/d/", "").body)
}

// TestRefusalsSetRetryAfter checks that responses to requests without effect carry
// Retry-After: before declarations have arrived, and while the store is busy.
func TestRefusalsSetRetryAfter(t *testing.T) {
	fx := newFixture(t)
	undeclared := fx.call("POST", "/d/"+id, "2")
	must.Eq(t, response{status: 503, retryAfter: "1"}, undeclared)
	fx.declare()
	fx.submit("00000000000000ff")
	fx.view.Set(memstore.Busy, 0)
	busy := fx.call("POST", "/d/"+id, "2")
	must.Eq(t, 503, busy.status)
	must.NotEq(t, "", busy.retryAfter)
	unknown := fx.call("GET", "/d/"+id, "")
	must.Eq(t, 503, unknown.status)
	must.NotEq(t, "", unknown.retryAfter)
	fx.view.Set(memstore.Healthy, 0)
	must.Eq(t, 410, fx.call("GET", "/d/"+id, "").status)
}

// TestStartingHostWaitsForDeclarations guards against callers refused by hosts that read the declarations a
// moment later. Load: after the loss of all hosts, callers come while each host starts.
func TestStartingHostWaitsForDeclarations(t *testing.T) {
	fx := newFixture(t)
	statuses := make(chan int, 20)
	for range cap(statuses) {
		go func() { statuses <- fx.call("GET", "/d/", "").status }()
	}
	time.Sleep(50 * time.Millisecond)
	fx.declare()
	for range cap(statuses) {
		must.Eq(t, 200, <-statuses)
	}
}
