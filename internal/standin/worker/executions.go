package worker

import (
	"maps"
	"sync"
)

// HeaderRequest is the header with the caller's request identifier, by which
// executions are counted.
const HeaderRequest = "X-Request-Id"

// Executions counts how often each request was executed by the endpoints of one
// worker. It is safe for concurrent use.
type Executions struct {
	mu     sync.Mutex
	counts map[string]int
}

// Add counts one execution of a request. Requests without an identifier are
// not counted.
func (e *Executions) Add(id string) {
	if id == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.counts == nil {
		e.counts = map[string]int{}
	}
	e.counts[id]++
}

// Counts returns a copy of the counts by request identifier.
func (e *Executions) Counts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.counts)
}
