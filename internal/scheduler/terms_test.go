package scheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// hostClock is the clock of a host in terms of the true time.
type hostClock struct {
	offset time.Duration
	rate   float64
}

func (c hostClock) at(trueTime time.Duration) time.Duration {
	return c.offset + time.Duration(c.rate*float64(trueTime))
}

func (c hostClock) trueTime(at time.Duration) time.Duration {
	return time.Duration(float64(at-c.offset) / c.rate)
}

// TestEarlierOwnersAreNeverReplacedTooEarly: whichever hosts restart, however late their records
// get into the log or are read, and with clocks that differ by 2%, no host assumes that an owner
// was replaced before the next one's record was in the log.
func TestEarlierOwnersAreNeverReplacedTooEarly(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
		newClock := func() hostClock {
			return hostClock{offset: upTo(time.Hour), rate: 0.99 + 0.02*random.Float64()}
		}
		lag := func(d time.Duration) time.Duration {
			if seed%2 == 0 {
				return 0
			}
			return upTo(d)
		}
		const hosts = 3
		var clocks [hosts]hostClock
		var tables [hosts]*job.Table
		for i := range hosts {
			clocks[i], tables[i] = newClock(), job.NewTable()
		}
		now := time.Minute
		replaced := map[uint32]time.Duration{}
		var newest store.Record
		read := func(i int) {
			if newest.Key == "" {
				return
			}
			_, err := tables[i].Apply(store.Page{Records: []store.StoredRecord{{Record: newest}}}, clocks[i].at(now))
			must.NoError(t, err)
			for _, o := range tables[i].Owners() {
				if at, ok := replaced[o.Claim]; ok && clocks[i].trueTime(o.ReplacedAt) < at-time.Microsecond {
					t.Fatalf("seed %d: owner %d was replaced at %v, a host assumes %v", seed, o.Claim, at, clocks[i].trueTime(o.ReplacedAt))
				}
			}
		}
		for claim := uint32(1); claim < 30; claim++ {
			for i := range hosts {
				switch random.IntN(3) {
				case 0:
					clocks[i], tables[i] = newClock(), job.NewTable()
				case 1:
					read(i)
				}
			}
			now += upTo(time.Second)
			host := random.IntN(hosts)
			read(host)
			o := job.Ownership{Epoch: platform.Epoch(claim), Claim: claim, BoundsLeases: true}
			s := scheduler.New(bounds, o, clocks[host].at(now), scheduler.Predecessors(tables[host].Owners()))
			for written := 0; written <= random.IntN(4); written++ {
				r, err := job.OwnershipRecord(o, s.PastTerms(clocks[host].at(now)))
				must.NoError(t, err)
				now += lag(3 * time.Second)
				newest = r
				if _, ok := replaced[claim-1]; !ok && claim > 1 {
					replaced[claim-1] = now
				}
				s.ClaimRecorded(clocks[host].at(now))
				now += lag(2 * time.Second)
				read(random.IntN(hosts))
				now += upTo(2 * time.Second)
			}
		}
	}
}
