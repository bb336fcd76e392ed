package bed

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/ctl"
	"github.com/siskinvane/siskinvane/internal/platform"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

const (
	callerTrace = "0af7651916cd43dd8448eb211c80319c"
	callerSpan  = "b7ad6b7169203331"
)

// TestSpansOfOneRequest checks that trace context is propagated: for a request from
// the caller through the entry to the endpoint, and for the start of a task from the
// placer to the worker.
func TestSpansOfOneRequest(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	b, err := Start(Config{
		Domains: []platform.FailureDomain{"catania"}, Hosts: 1, Workers: 1, WorkersPerRack: 8, MaxConnections: 64, DrainNoticeMS: 1,
		Capacity: platform.Resources{MilliCPU: 32_000, MemoryMB: 125_000, Slots: 8}, Logger: logger, Spans: spans,
	})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, b.Stop(context.Background())) })
	host := b.Hosts[0].Settings
	eventually(t, func() bool {
		return ctl.Main([]string{"--control", host.Control.String(), "publish", "../../../examples/small.json"}, io.Discard, os.Stderr) == 0
	})
	eventually(t, func() bool { return callService(t, host.Entry.String()) == 200 })

	eventually(t, func() bool { return findSpan(spans, "answer") != nil })
	forward, answer := findSpan(spans, "forward"), findSpan(spans, "answer")
	must.Eq(t, callerTrace, forward.SpanContext().TraceID().String())
	must.Eq(t, callerSpan, forward.Parent().SpanID().String())
	must.Eq(t, callerTrace, answer.SpanContext().TraceID().String())
	must.Eq(t, forward.SpanContext().SpanID(), answer.Parent().SpanID())

	start, attempt := findSpan(spans, "start task"), findSpan(spans, "start attempt")
	must.NotNil(t, start)
	must.NotNil(t, attempt)
	must.Eq(t, start.SpanContext().TraceID(), attempt.SpanContext().TraceID())
	must.Eq(t, start.SpanContext().SpanID(), attempt.Parent().SpanID())

	must.StrContains(t, httpGet(t, "http://"+host.EntryAdmin.String()+"/metrics"), "siskinvane_entry_requests_answered 1\n")
	eventually(t, func() bool {
		return strings.Contains(httpGet(t, "http://"+host.Control.String()+"/metrics"), "siskinvane_placer_tasks_running 3\n")
	})
}

func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(holds), wait.Timeout(30*time.Second), wait.Gap(50*time.Millisecond)))
}

// findSpan returns the first ended span with a name, or nil. Spans named "forward"
// count only if the request was answered.
func findSpan(r *tracetest.SpanRecorder, name string) sdktrace.ReadOnlySpan {
	for _, s := range r.Ended() {
		answered := false
		for _, a := range s.Attributes() {
			answered = answered || a.Value.AsString() == "answered"
		}
		if s.Name() == name && (name != "forward" || answered) {
			return s
		}
	}
	return nil
}

func callService(t *testing.T, entry string) int {
	req, err := http.NewRequest("POST", "http://"+entry+"/svc/diary/nap", strings.NewReader("nap"))
	must.NoError(t, err)
	req.Close = true
	req.Header.Set("traceparent", "00-"+callerTrace+"-"+callerSpan+"-01")
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}

func httpGet(t *testing.T, url string) string {
	resp, err := http.Get(url)
	must.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return string(body)
}
