package node

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/process/bootclock"
	"github.com/siskinvane/siskinvane/internal/process/event"
)

const (
	// unreadableLogPeriod is the time in which each fault of an entry is logged once: other
	// writers may repeat their entries as often as workers do.
	unreadableLogPeriod = time.Minute
	// maxUnreadableLogged bounds the faults that are logged in that time.
	maxUnreadableLogged = 20
)

// unreadableEntries logs and counts the entries that name no worker to use. It is not safe for
// concurrent use.
type unreadableEntries struct {
	logger  *logrus.Logger
	metrics metrics.Registry
	clock   bootclock.Clock
	// logged holds the faults that were logged since periodStart, unlogged counts those of
	// all periods that were not.
	logged      map[string]bool
	periodStart time.Duration
	unlogged    int
}

// report handles the faults of the entries that were just read.
func (u *unreadableEntries) report(faults []error) {
	if len(faults) == 0 {
		return
	}
	if now := u.clock(); u.logged == nil || now >= u.periodStart+unreadableLogPeriod {
		u.logged, u.periodStart = map[string]bool{}, now
	}
	metrics.GetOrRegisterCounter("workers.entries_unreadable", u.metrics).Inc(int64(len(faults)))
	for _, fault := range faults {
		if u.logged[fault.Error()] || len(u.logged) >= maxUnreadableLogged {
			u.unlogged++
			continue
		}
		u.logged[fault.Error()] = true
		event.EntryUnreadable.Log(u.logger, logrus.Fields{"error": fault, "unlogged": u.unlogged})
		u.unlogged = 0
	}
}
