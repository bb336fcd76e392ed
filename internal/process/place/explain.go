package place

import (
	"fmt"
	"sort"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// UnfitError reports a task that exceeds the capacity of every worker.
type UnfitError struct {
	// Dimension is the one that is too small on the largest number of workers.
	Dimension string
	// Size is the task's size.
	Size platform.Resources
	// Workers is the number of workers examined.
	Workers int
}

// Error implements error.
func (e *UnfitError) Error() string {
	return fmt.Sprintf("no worker of %d can hold the task: %s", e.Workers, e.Dimension)
}

// dimensions lists the resource dimensions by precedence in error reports.
var dimensions = []string{"processors", "memory", "accelerators", "slots"}

// CheckSubmit returns an *UnfitError if no listed worker could hold a task of the
// given size even if it were empty. It returns nil while no worker is listed.
func (c *Cache) CheckSubmit(size platform.Resources) error {
	exceeded := map[string]int{}
	workers, fits := 0, false
	c.EachWorker(func(w *WorkerView) {
		workers++
		exceeded[size.Exceeded(w.Capacity)]++
		fits = fits || size.Fits(w.Capacity)
	})
	if workers == 0 || fits {
		return nil
	}
	worst := ""
	for _, d := range dimensions {
		if exceeded[d] > exceeded[worst] {
			worst = d
		}
	}
	return &UnfitError{Dimension: worst, Size: size, Workers: workers}
}

// ExplainWaiting returns a sentence for operators that says why a waiting task
// has no worker, or how many workers would accept it now.
func (s *Scheduler) ExplainWaiting(item Item, c *Cache, now time.Time) string {
	waited := now.Sub(item.Since).Round(time.Second)
	prefix := fmt.Sprintf("task %s has waited for %s: ", item.Task, waited)
	if err := c.CheckSubmit(item.Size); err != nil {
		return fmt.Sprintf("task %s can never run: %v", item.Task, err)
	}
	if dim := c.quotaExceeded(&item.Request); dim != "" {
		return prefix + fmt.Sprintf("team %s has its quota of %s in use", item.Team, dim)
	}
	var counts []ReasonCount
	accepting := 0
	c.EachWorker(func(w *WorkerView) {
		reason := s.reject(&item.Request, w)
		if reason == "" {
			accepting++
			return
		}
		counts = countReason(counts, reason)
	})
	if accepting > 0 {
		return prefix + fmt.Sprintf("%d workers would take it; its turn has not come", accepting)
	}
	sort.Slice(counts, func(i, j int) bool { return counts[i].Count > counts[j].Count })
	return prefix + fmt.Sprintf("of %d workers, %s", c.Len(), describeReasons(counts))
}
