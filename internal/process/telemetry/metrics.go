package telemetry

import (
	"bytes"
	"context"
	"fmt"
	"sort"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

// PathMetrics is the path of the metrics page.
const PathMetrics = "/metrics"

// namePrefix is the prefix of the name of every exported metric.
const namePrefix = "siskinvane_"

// percentiles are the quantiles exported for timers and histograms.
var percentiles = []float64{0.5, 0.9, 0.99}

// Text returns the registry's metrics in the Prometheus text format, sorted by name.
// Timers are in seconds.
func Text(r metrics.Registry) ([]byte, error) {
	var families []*dto.MetricFamily
	r.Each(func(name string, m any) {
		if f := metricFamily(name, m); f != nil {
			families = append(families, f)
		}
	})
	sort.Slice(families, func(i, j int) bool { return families[i].GetName() < families[j].GetName() })
	var b bytes.Buffer
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(&b, f); err != nil {
			return nil, fmt.Errorf("export metric %s: %w", f.GetName(), err)
		}
	}
	return b.Bytes(), nil
}

func metricFamily(name string, m any) *dto.MetricFamily {
	f := &dto.MetricFamily{Name: proto.String(namePrefix + strings.NewReplacer(".", "_", "-", "_").Replace(name))}
	switch m := m.(type) {
	case metrics.Counter:
		f.Type = dto.MetricType_COUNTER.Enum()
		f.Metric = []*dto.Metric{{Counter: &dto.Counter{Value: proto.Float64(float64(m.Count()))}}}
	case metrics.Gauge:
		f.Type = dto.MetricType_GAUGE.Enum()
		f.Metric = []*dto.Metric{{Gauge: &dto.Gauge{Value: proto.Float64(float64(m.Value()))}}}
	case metrics.GaugeFloat64:
		f.Type = dto.MetricType_GAUGE.Enum()
		f.Metric = []*dto.Metric{{Gauge: &dto.Gauge{Value: proto.Float64(m.Value())}}}
	case metrics.Meter:
		f.Type = dto.MetricType_COUNTER.Enum()
		f.Metric = []*dto.Metric{{Counter: &dto.Counter{Value: proto.Float64(float64(m.Count()))}}}
	case metrics.Histogram:
		h := m.Snapshot()
		setSummary(f, uint64(h.Count()), float64(h.Sum()), h.Percentiles(percentiles), 1)
	case metrics.Timer:
		t := m.Snapshot()
		setSummary(f, uint64(t.Count()), float64(t.Sum()), t.Percentiles(percentiles), nanosPerSecond)
	default:
		return nil
	}
	return f
}

// nanosPerSecond converts timer values to seconds.
const nanosPerSecond = 1e9

func setSummary(f *dto.MetricFamily, count uint64, sum float64, values []float64, divisor float64) {
	s := &dto.Summary{SampleCount: proto.Uint64(count), SampleSum: proto.Float64(sum / divisor)}
	for i, q := range percentiles {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: proto.Float64(q), Value: proto.Float64(values[i] / divisor)})
	}
	f.Type = dto.MetricType_SUMMARY.Enum()
	f.Metric = []*dto.Metric{{Summary: s}}
}

// Handler returns an HTTP handler that serves the metrics of r.
func Handler(r metrics.Registry) app.HandlerFunc {
	return func(_ context.Context, c *app.RequestContext) {
		text, err := Text(r)
		if err != nil {
			c.String(500, err.Error())
			return
		}
		c.Data(200, string(expfmt.NewFormat(expfmt.TypeTextPlain)), text)
	}
}
