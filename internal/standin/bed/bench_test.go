package bed

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/placer"
)

// reportMillis reports the median, 99th percentile and maximum of times in ms.
func reportMillis(b *testing.B, times []time.Duration) {
	slices.Sort(times)
	at := func(percent int) float64 {
		return float64(times[(len(times)-1)*percent/100].Microseconds()) / 1000
	}
	b.ReportMetric(at(50), "p50-ms")
	b.ReportMetric(at(99), "p99-ms")
	b.ReportMetric(at(100), "max-ms")
}

// BenchmarkPublishEverywhere measures the time from the start of a publish call until
// each of 8 hosts has applied the version.
func BenchmarkPublishEverywhere(b *testing.B) {
	o := newOperator(b, 8)
	o.publish(0)
	var times []time.Duration
	for version := uint64(1); b.Loop(); version++ {
		start := time.Now()
		o.publish(version)
		for _, h := range o.bed.Hosts {
			for h.Placer.Version() <= version {
				time.Sleep(time.Millisecond)
			}
		}
		times = append(times, time.Since(start))
	}
	reportMillis(b, times)
}

// BenchmarkTakeOver measures the time from the crash of a host that owns shards until
// other hosts have claimed all of them.
func BenchmarkTakeOver(b *testing.B) {
	var times []time.Duration
	for n := 0; b.Loop(); n++ {
		b.StopTimer()
		o := newOperator(b, 4)
		o.publish(0)
		o.await("replicas", func() bool { return len(runningServices(o.status(o.bed.Hosts[0]))) == 6 })
		victim := owners(o.status(o.bed.Hosts[0]))[0]
		h := o.bed.Hosts[slices.IndexFunc(o.bed.Hosts, func(h *Host) bool { return h.Settings.ID == victim })]
		shards := len(o.status(o.bed.Hosts[0]).Shards)
		b.StartTimer()
		if err := o.bed.KillHost(context.Background(), h); err != nil {
			b.Fatal(err)
		}
		start := time.Now()
		o.await("take-over", func() bool {
			s := o.status(o.bed.Hosts[0])
			return len(s.Shards) == shards && !slices.Contains(owners(s), victim)
		})
		times = append(times, time.Since(start))
	}
	reportMillis(b, times)
}

// owners returns the hosts that own shards, sorted and without duplicates.
func owners(s placer.Status) []platform.HostID {
	var out []platform.HostID
	for _, shard := range s.Shards {
		out = append(out, shard.Owner)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
