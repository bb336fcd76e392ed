package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/rcrowley/go-metrics"
	"github.com/siskinvane/siskinvane/internal/process/telemetry"
	"github.com/siskinvane/siskinvane/internal/process/web"
	"github.com/siskinvane/siskinvane/internal/request/outcome"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
)

// entryMetrics counts the requests of one entry.
type entryMetrics struct {
	registry metrics.Registry
	time     metrics.Timer
	answered metrics.Counter
	notRun   metrics.Counter
	unknown  metrics.Counter
}

func newMetrics() *entryMetrics {
	r := metrics.NewRegistry()
	return &entryMetrics{
		registry: r,
		time:     metrics.GetOrRegisterTimer("entry.request.time", r),
		answered: metrics.GetOrRegisterCounter("entry.requests.answered", r),
		notRun:   metrics.GetOrRegisterCounter("entry.requests.not_run", r),
		unknown:  metrics.GetOrRegisterCounter("entry.requests.unknown", r),
	}
}

// count counts one request by the outcome that its caller got.
func (m *entryMetrics) count(result string, took time.Duration) {
	m.time.Update(took)
	switch outcome.Outcome(result) {
	case outcome.NotRun:
		m.notRun.Inc(1)
	case outcome.Unknown:
		m.unknown.Inc(1)
	default:
		m.answered.Inc(1)
	}
}

// handleRequest forwards a request within a span and counts it. The endpoint gets
// the span as its parent.
func (e *Entry) handleRequest(ctx context.Context, c *app.RequestContext) {
	start := time.Now()
	ctx, span := e.config.Tracing.Tracer().Start(telemetry.Extract(ctx, &c.Request.Header), "forward",
		trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("path", string(c.Request.URI().Path()))))
	defer span.End()
	telemetry.Inject(ctx, &c.Request.Header)
	e.forwarder.Handle(ctx, c)
	result := c.Response.Header.Get(outcome.Header)
	e.metrics.count(result, time.Since(start))
	span.SetAttributes(attribute.String("outcome", result), attribute.Int("status", c.Response.StatusCode()))
	if outcome.Outcome(result) == outcome.Unknown {
		span.SetStatus(codes.Error, "outcome unknown")
	}
}

// startAdmin starts the server for readiness and metrics, if the settings contain
// its address.
func (e *Entry) startAdmin() error {
	addr := e.config.Host.EntryAdmin
	if addr == (netip.AddrPort{}) {
		return nil
	}
	admin, err := web.ListenOperators(addr, e.config.Logger, "entry_admin")
	if err != nil {
		return err
	}
	e.adminServer = admin
	admin.GET(pathReady, e.handleReady)
	admin.GET(telemetry.PathMetrics, e.handleMetrics)
	admin.Start()
	return nil
}

func (e *Entry) stopAdmin(ctx context.Context) error {
	if e.adminServer == nil {
		return nil
	}
	return e.adminServer.Stop(ctx)
}

// handleMetrics updates the gauges and returns all metrics.
func (e *Entry) handleMetrics(ctx context.Context, c *app.RequestContext) {
	r := e.metrics.registry
	table := e.directory.Table()
	endpoints := 0
	for i := range table.Services {
		endpoints += len(table.Services[i].Endpoints)
	}
	metrics.GetOrRegisterGauge("entry.requests.in_flight", r).Update(e.forwarder.InFlight())
	metrics.GetOrRegisterGauge("entry.directory.endpoints", r).Update(int64(endpoints))
	metrics.GetOrRegisterGauge("entry.directory.config_version", r).Update(int64(table.ConfigVersion))
	telemetry.Handler(r)(ctx, c)
}
