// Package telemetry provides the tracing and metrics that all programs share: spans for
// each hop and metrics in the Prometheus text format.
package telemetry

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/siskinvane/siskinvane/internal/process/settings"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// tracerName is the instrumentation name of this project's spans.
const tracerName = "siskinvane"

// propagator passes span contexts on in the W3C traceparent header.
var propagator = propagation.TraceContext{}

// Tracing creates and exports a program's spans.
type Tracing struct {
	provider *sdktrace.TracerProvider
	file     *os.File
}

// NewTracing returns the tracing of a program that runs on a host. Without a file in s it
// creates no spans.
func NewTracing(s settings.Trace, program, host string) (*Tracing, error) {
	if s.File == "" {
		return &Tracing{}, nil
	}
	t := &Tracing{}
	out := io.Writer(os.Stdout)
	if s.File != "stdout" {
		file, err := os.OpenFile(s.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, fmt.Errorf("open trace file: %w", err)
		}
		t.file = file
		out = file
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, fmt.Errorf("create trace exporter: %w", err)
	}
	t.provider = newProvider(sdktrace.WithBatcher(exporter), s.Ratio, program, host)
	return t, nil
}

// NewTracingWithProcessor returns tracing that passes every span to p when it ends.
func NewTracingWithProcessor(p sdktrace.SpanProcessor, program, host string) *Tracing {
	return &Tracing{provider: newProvider(sdktrace.WithSpanProcessor(p), 1, program, host)}
}

func newProvider(out sdktrace.TracerProviderOption, ratio float64, program, host string) *sdktrace.TracerProvider {
	return sdktrace.NewTracerProvider(
		out,
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", program),
			attribute.String("host.name", host),
		)),
	)
}

// Tracer returns the program's tracer. The tracer of a nil Tracing creates no spans.
func (t *Tracing) Tracer() trace.Tracer {
	if t == nil || t.provider == nil {
		return noop.NewTracerProvider().Tracer(tracerName)
	}
	return t.provider.Tracer(tracerName)
}

// Close exports the buffered spans and closes the trace file.
func (t *Tracing) Close(ctx context.Context) error {
	if t == nil || t.provider == nil {
		return nil
	}
	if err := t.provider.Shutdown(ctx); err != nil {
		return fmt.Errorf("export spans: %w", err)
	}
	if t.file == nil {
		return nil
	}
	return t.file.Close()
}

// headerCarrier adapts a request's headers to the propagator. It implements
// propagation.TextMapCarrier.
type headerCarrier struct {
	header *protocol.RequestHeader
}

// Get implements propagation.TextMapCarrier.
func (h headerCarrier) Get(key string) string { return h.header.Get(key) }

// Set implements propagation.TextMapCarrier.
func (h headerCarrier) Set(key, value string) { h.header.Set(key, value) }

// Keys implements propagation.TextMapCarrier.
func (h headerCarrier) Keys() []string {
	var keys []string
	h.header.VisitAll(func(key, _ []byte) { keys = append(keys, string(key)) })
	return keys
}

// Inject writes the span context of ctx into the request headers.
func Inject(ctx context.Context, h *protocol.RequestHeader) {
	propagator.Inject(ctx, headerCarrier{h})
}

// Extract returns ctx with the span context from the request headers.
func Extract(ctx context.Context, h *protocol.RequestHeader) context.Context {
	return propagator.Extract(ctx, headerCarrier{h})
}

// traceParentKey is the key of the W3C header in text maps.
const traceParentKey = "traceparent"

// TraceParent returns the span context of ctx as a W3C traceparent value, or
// the empty string when there is none.
func TraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier[traceParentKey]
}

// WithTraceParent returns ctx with the span context of a traceparent value.
func WithTraceParent(ctx context.Context, value string) context.Context {
	return propagator.Extract(ctx, propagation.MapCarrier{traceParentKey: value})
}
