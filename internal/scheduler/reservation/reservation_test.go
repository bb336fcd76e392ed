package reservation

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
)

func cores(n int64) platform.Resources {
	return platform.Resources{MilliCPU: 1000 * n, MemoryMB: 1000 * n}
}

const now = time.Minute

// TestRoomIsReadyAfterEnds: the ends of what runs add up until the task fits, in the order in which
// they are expected, and not beyond the horizon.
func TestRoomIsReadyAfterEnds(t *testing.T) {
	ends := []End{{now + 3*time.Second, cores(8)}, {now + time.Second, cores(4)}, {now - time.Second, cores(1)}}
	for _, c := range []struct {
		size, after time.Duration
		ok          bool
	}{{2, 0, true}, {3, 0, true}, {7, time.Second, true}, {8, 3 * time.Second, true}, {16, 0, false}} {
		ready, ok := ReadyAt(now, cores(int64(c.size)), cores(2), ends)
		must.Eq(t, c.ok, ok)
		if ok {
			must.Eq(t, now+c.after, ready)
		}
	}
	_, ok := ReadyAt(now, cores(4), cores(2), []End{{now + Horizon + time.Second, cores(8)}})
	must.False(t, ok)
}

func newReserved() *Book[string, string] {
	b := NewBook[string, string]()
	b.Add(now, Reservation[string, string]{Worker: "w", Step: "large", Size: cores(12), Priority: 1, Ready: now + 2*time.Second})
	return b
}

// TestSmallTasksPassOnlyIfTheyEndInTime guards against a large task that waits for as long as
// smaller ones arrive.
func TestSmallTasksPassOnlyIfTheyEndInTime(t *testing.T) {
	b := newReserved()
	allows := func(worker, step string, priority int, size, free int64, takes time.Duration) bool {
		return b.Allows(worker, step, priority, cores(size), cores(free), func() Instant { return now + takes })
	}
	must.False(t, allows("w", "small", 1, 4, 8, 3*time.Second))
	must.True(t, allows("w", "small", 1, 4, 8, time.Second), must.Sprint("ends before the room is needed"))
	must.True(t, allows("w", "small", 1, 4, 16, time.Minute), must.Sprint("leaves the reserved room"))
	must.True(t, allows("w", "urgent", 0, 4, 8, time.Minute), must.Sprint("is more urgent"))
	must.True(t, allows("w", "large", 1, 12, 12, time.Minute))
	must.True(t, allows("v", "small", 1, 4, 8, time.Minute), must.Sprint("another worker"))
	filler := platform.Resources{MemoryMB: 1000}
	must.True(t, b.Allows("w", "filler", 1, filler, platform.Resources{MilliCPU: -1, MemoryMB: 13_000}, func() Instant { return now + time.Minute }))
}

// TestReservationsLeaveRoomForSmallTasks guards against small tasks that wait for as long as large
// ones do: reservations are bounded in number and in time, and a step whose ones were not used has
// none for as long.
func TestReservationsLeaveRoomForSmallTasks(t *testing.T) {
	b := newReserved()
	must.Eq(t, 5, b.Left(100, false))
	must.Eq(t, 1, b.Left(100, true))
	all, many := func(string) bool { return true }, func(string) int { return 10 }
	b.Update(now+3*time.Second, all, many)
	must.Eq(t, 1, b.Len())
	b.Update(now+4*time.Second, all, many)
	must.Eq(t, 0, b.Len())
	must.False(t, b.MayReserve(now+7*time.Second, "large"))
	must.True(t, b.MayReserve(now+8*time.Second, "large"))
	must.True(t, b.MayReserve(now+4*time.Second, "other"))
}

// TestReservationEndsWithItsReason guards against room that is kept on a worker which takes no
// tasks any more, or for tasks that have started elsewhere.
func TestReservationEndsWithItsReason(t *testing.T) {
	b := newReserved()
	b.Update(now, func(w string) bool { return w != "w" }, func(string) int { return 1 })
	must.Eq(t, 0, b.Len())
	for i := range 3 {
		b.Add(now, Reservation[string, string]{Worker: fmt.Sprint(i), Step: "large", Size: cores(12), Ready: now + time.Duration(i)*time.Second})
	}
	b.Update(now, func(string) bool { return true }, func(string) int { return 2 })
	must.Eq(t, 2, b.Count("large"))
	must.Nil(t, b.On("2"), must.Sprint("the last one to be ready ends first"))
	b.Used("1", "small")
	must.Eq(t, 2, b.Count("large"))
	b.Used("1", "large")
	must.Eq(t, 1, b.Count("large"))
}
