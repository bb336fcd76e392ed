package telemetry

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/process/settings"
)

func TestText(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests.answered", r).Inc(3)
	metrics.GetOrRegisterGauge("shards-owned", r).Update(4)
	metrics.GetOrRegisterTimer("request.time", r).Update(2 * time.Second)
	text, err := Text(r)
	must.NoError(t, err)
	must.StrContains(t, string(text), "siskinvane_requests_answered 3\n")
	must.StrContains(t, string(text), "siskinvane_shards_owned 4\n")
	must.StrContains(t, string(text), "siskinvane_request_time{quantile=\"0.99\"} 2\n")
}

func TestSpansAreExportedAndPropagated(t *testing.T) {
	file := filepath.Join(t.TempDir(), "spans")
	tracing, err := NewTracing(settings.Trace{File: file, Ratio: 1}, "siskin-entry", "entry-0")
	must.NoError(t, err)
	ctx, span := tracing.Tracer().Start(context.Background(), "receive")
	var header protocol.RequestHeader
	Inject(ctx, &header)
	_, child := tracing.Tracer().Start(Extract(context.Background(), &header), "answer")
	must.Eq(t, span.SpanContext().TraceID(), child.SpanContext().TraceID())
	must.Eq(t, header.Get("traceparent"), TraceParent(ctx))
	child.End()
	span.End()
	must.NoError(t, tracing.Close(context.Background()))
	data, err := os.ReadFile(file)
	must.NoError(t, err)
	must.Eq(t, 2, strings.Count(string(data), "\n"))
	must.StrContains(t, string(data), `"siskin-entry"`)
}

func TestNoSpansWithoutFile(t *testing.T) {
	tracing, err := NewTracing(settings.Trace{}, "siskin-entry", "entry-0")
	must.NoError(t, err)
	_, span := tracing.Tracer().Start(context.Background(), "receive")
	must.False(t, span.SpanContext().IsValid())
	must.NoError(t, tracing.Close(context.Background()))
}
