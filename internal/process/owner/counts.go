package owner

import (
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/stream"
)

// Counts holds the values that an owner contributes to the metrics.
type Counts struct {
	Queued   int
	Assigned int
	Running  int
	Workers  int
	// Commits counts the writes to the shard's stream.
	Commits stream.Stats
}

// Counts returns the current values.
func (o *Owner) Counts() Counts {
	var c Counts
	o.follower.View(func() {
		c.Queued = o.table.CountInState(record.Queued)
		c.Assigned = o.table.CountInState(record.Assigned)
		c.Running = o.table.CountInState(record.Running)
	})
	o.mu.Lock()
	c.Workers = len(o.workers)
	o.mu.Unlock()
	c.Commits = o.writer.Stats()
	return c
}
