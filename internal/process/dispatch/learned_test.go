package dispatch

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// TestCapacityChangeIsRecordedAtOnce: an owner was killed up to 4 s after it had first seen a
// worker's capacity change, and the next one did not know that capacities change.
func TestCapacityChangeIsRecordedAtOnce(t *testing.T) {
	for name, refused := range map[string]time.Duration{"append accepted": 0, "append refused for a second": time.Second} {
		t.Run(name, func(t *testing.T) {
			s := &faultyStore{}
			var models atomic.Int64
			usual := int64(0)
			var writeErr error
			change := func(c *Config) {
				c.OnRecorded = func(records []store.Record) {
					for _, r := range records {
						if r.Key == job.LearnedModelsRecord(nil).Key {
							models.Add(1)
						}
					}
				}
			}
			withConfiguredDispatcher(t, s, change, func(d *Dispatcher) {
				time.Sleep(learnedRecordPeriod)
				_, writeErr = d.timedWrite(time.Second)
				usual = models.Load()
				s.unavailable.Store(refused > 0)
				for _, cores := range []int64{32, 16, 8} {
					d.updateShard(func(shard *scheduler.Shard, now scheduler.Instant) {
						shard.SetWorker(now, fleet.Worker{
							ID: "w", Service: "s", Started: 1, Addr: netip.MustParseAddrPort("127.0.0.9:80"),
							Capacity: platform.Resources{MilliCPU: cores * 1000},
						})
					})
				}
				time.Sleep(refused)
				s.unavailable.Store(false)
				time.Sleep(2 * recordRetryDelay)
			})
			must.NoError(t, writeErr)
			must.Eq(t, 1, usual)
			must.Eq(t, 2, models.Load(), must.Sprint("recorded with the first change, and once"))
		})
	}
}
