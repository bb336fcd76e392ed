package placer

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/rcrowley/go-metrics"
	"github.com/siskinvane/siskinvane/internal/process/owner"
	"github.com/siskinvane/siskinvane/internal/process/telemetry"
)

// handleMetrics updates the gauges and returns all metrics.
func (p *Placer) handleMetrics(ctx context.Context, c *app.RequestContext) {
	r := metrics.NewRegistry()
	gauge := func(name string, value int) { metrics.GetOrRegisterGauge(name, r).Update(int64(value)) }
	facts := p.facts()
	gauge("placer.config_version", int(facts.ConfigVersion))
	gauge("placer.shards_owned", len(facts.Owned))
	gauge("placer.members_live", len(p.members.Live(p.config.Now())))
	traffic := p.exchange.Traffic()
	gauge("placer.heartbeats.sent_bytes", int(traffic.SentBytes))
	gauge("placer.heartbeats.received_bytes", int(traffic.ReceivedBytes))
	counts := p.totalCounts()
	gauge("placer.workers", counts.Workers)
	gauge("placer.tasks.queued", counts.Queued)
	gauge("placer.tasks.assigned", counts.Assigned)
	gauge("placer.tasks.running", counts.Running)
	gauge("placer.log.appends", int(counts.Commits.Appends))
	gauge("placer.log.records", int(counts.Commits.Records))
	gauge("placer.log.bytes", int(counts.Commits.Bytes))
	gauge("placer.log.unknown", int(counts.Commits.Unknown))
	gauge("placer.log.resent", int(counts.Commits.Resent))
	telemetry.Handler(r)(ctx, c)
}

// totalCounts sums the counts of the shards that this host owns.
func (p *Placer) totalCounts() owner.Counts {
	var sum owner.Counts
	for _, s := range p.localShards() {
		if !s.owner.Owns() {
			continue
		}
		c := s.owner.Counts()
		sum.Queued += c.Queued
		sum.Assigned += c.Assigned
		sum.Running += c.Running
		sum.Workers += c.Workers
		sum.Commits.Appends += c.Commits.Appends
		sum.Commits.Records += c.Commits.Records
		sum.Commits.Bytes += c.Commits.Bytes
		sum.Commits.Unknown += c.Commits.Unknown
		sum.Commits.Resent += c.Commits.Resent
	}
	return sum
}
