package endpoint

import (
	"sync"
	"time"
)

// History is the total order of the writes to one service. A replica sees its own
// writes immediately and those of other replicas after a lag. It is safe for concurrent
// use.
type History struct {
	lag time.Duration

	mu     sync.Mutex
	writes []write
	// byKey lists the positions of each key's writes, counted from 1.
	byKey map[string][]int
}

type write struct {
	id string
	at time.Time
}

// NewHistory returns an empty history with the given replication lag.
func NewHistory(lag time.Duration) *History {
	return &History{lag: lag, byKey: map[string][]int{}}
}

// Replica is one endpoint's view of a history. It is safe for concurrent use.
type Replica struct {
	history *History
	// applied is the number of writes seen. history.mu guards it.
	applied int
}

// NewReplica returns a replica that has seen all writes so far.
func (h *History) NewReplica() *Replica {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &Replica{history: h, applied: len(h.writes)}
}

// Write appends a write to the history and returns its position. The replica then has
// seen all writes up to it.
func (r *Replica) Write(key, id string, now time.Time) uint64 {
	h := r.history
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes = append(h.writes, write{id: id, at: now})
	r.applied = len(h.writes)
	h.byKey[key] = append(h.byKey[key], r.applied)
	return uint64(r.applied)
}

// Position returns the number of writes that the replica has seen.
func (r *Replica) Position(now time.Time) uint64 {
	h := r.history
	h.mu.Lock()
	defer h.mu.Unlock()
	r.catchUp(now)
	return uint64(r.applied)
}

// Read returns the identifier of the last write of key that the replica has
// seen, and the replica's position.
func (r *Replica) Read(key string, now time.Time) (string, uint64) {
	h := r.history
	h.mu.Lock()
	defer h.mu.Unlock()
	r.catchUp(now)
	positions := h.byKey[key]
	for i := len(positions) - 1; i >= 0; i-- {
		if positions[i] <= r.applied {
			return h.writes[positions[i]-1].id, uint64(r.applied)
		}
	}
	return "", uint64(r.applied)
}

// catchUp applies the writes that are at least as old as the lag. The caller holds
// history.mu.
func (r *Replica) catchUp(now time.Time) {
	h := r.history
	for r.applied < len(h.writes) && now.Sub(h.writes[r.applied].at) >= h.lag {
		r.applied++
	}
}
