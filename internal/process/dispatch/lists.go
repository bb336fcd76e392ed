package dispatch

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

const (
	// rowTime is the processor time that one row of a worker's lists is assumed to take, and
	// maxListShare the share of the processor that all lists may take.
	rowTime      = time.Microsecond
	maxListShare = 0.25
	// ignoredListPause is the pause up to which lists count as short.
	ignoredListPause = 20 * time.Millisecond
)

// listSizes holds the numbers of rows in the latest lists of all workers. A worker answers a renewal
// at its next end with all that it runs, so without a pause long lists of many workers would take
// the processor time of everything else. It is not safe for concurrent use.
type listSizes struct {
	rows  map[platform.WorkerID]int
	total int
}

// set sets the number of rows that a worker has listed.
func (l *listSizes) set(id platform.WorkerID, rows int) {
	l.total += rows - l.rows[id]
	l.rows[id] = rows
}

// forget drops a worker that is not renewed any more.
func (l *listSizes) forget(id platform.WorkerID) {
	l.set(id, 0)
	delete(l.rows, id)
}

// renewPause returns how long to wait between two renewals of a worker for the sake of the
// processor.
func (l *listSizes) renewPause() time.Duration {
	wait := time.Duration(float64(l.total) * float64(rowTime) / maxListShare)
	if wait <= ignoredListPause {
		return 0
	}
	return min(wait, maxRenewPause)
}
