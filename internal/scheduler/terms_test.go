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
		replaced, ended := map[uint32]time.Duration{}, map[uint32]time.Duration{}
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
				if o.EndedAt != 0 && clocks[i].trueTime(o.EndedAt) < ended[o.Claim]-time.Microsecond {
					t.Fatalf("seed %d: owner %d had ended at %v, a host assumes %v", seed, o.Claim, ended[o.Claim], clocks[i].trueTime(o.EndedAt))
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
				if random.IntN(3) == 0 {
					if _, ok := ended[claim-1]; !ok {
						ended[claim-1] = now
					}
					s.PredecessorEnded(clocks[host].at(now), claim-1)
				}
				now += lag(2 * time.Second)
				read(random.IntN(hosts))
				now += upTo(2 * time.Second)
			}
		}
	}
}

// TestOwnerThatActsOnIsNotOvertaken: the first owner loses the log and the later ones, but still
// reaches two thirds of the workers and renews their leases for as long as it may. Later owners
// whose hosts restart must not start its task again while it runs, nor wait for longer than once.
func TestOwnerThatActsOnIsNotOvertaken(t *testing.T) {
	for _, period := range []time.Duration{2500 * time.Millisecond, 3 * time.Second, 4500 * time.Millisecond, 6 * time.Second} {
		t.Run(period.String(), func(t *testing.T) {
			h, id := newTakeoverHarness(t, "w00", longRunningStep())
			h.restartedHosts = true
			first, confirmedAt := h.shard, h.now
			reached := []platform.WorkerID{"w00", "w01", "w02", "w03"}
			partition := func(p bool) {
				for _, w := range reached {
					h.cluster.SetPartitioned(w, p)
				}
			}
			actOn := func() {
				partition(false)
				defer partition(true)
				first.Plan(h.now, h.now.Milliseconds(), 0)
				age := h.now - confirmedAt
				if age > scheduler.AuthorityBound || age > scheduler.AuthorityWindow && !first.HasQuorum(h.now) {
					return
				}
				for _, w := range reached {
					_, order, ok := first.RenewOrder(h.now, w)
					must.True(t, ok)
					lists, answered := h.cluster.Renew(h.now, w, order)
					must.True(t, answered)
					first.RenewAnswered(h.now, h.now, w, lists)
				}
			}
			partition(true)
			began, starts, runningUntil := h.now, h.cluster.Starts(), h.now
			for h.cluster.Starts() == starts && h.now < began+60*time.Second {
				h.takeOver(false)
				for end := h.now + period; h.now < end && h.cluster.Starts() == starts; {
					if h.cluster.Running(id) == 1 {
						runningUntil = h.now
					}
					h.tick()
					actOn()
				}
			}
			t.Log(runningUntil-began, h.now-began)
			h.checkViolations()
			must.Between(t, 12*time.Second, runningUntil-began, scheduler.AuthorityBound+6*time.Second)
			must.Between(t, runningUntil-began, h.now-began, 40*time.Second)
		})
	}
}
