package node

import (
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// lateAppend is how long after its call an append without an answer may still be carried
// out. The platform says seconds.
const lateAppend = 15 * time.Second

// openWrites are the submissions of which this host does not know whether they are in the
// log: callers repeat a request whose answer was lost, and the repetition must not be
// refused as never to run while the first one may be stored. It is safe for concurrent
// use.
type openWrites struct {
	mu sync.Mutex
	// inFlight counts the writes of a job that have no outcome yet, and until is the time
	// up to which one without an outcome may be carried out.
	inFlight map[job.ID]int
	until    map[job.ID]time.Duration
}

func newOpenWrites() *openWrites {
	return &openWrites{inFlight: map[job.ID]int{}, until: map[job.ID]time.Duration{}}
}

// begin records that a write of a job starts.
func (o *openWrites) begin(id job.ID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight[id]++
}

// end records that a write of a job has ended, and whether its outcome is unknown.
func (o *openWrites) end(now time.Duration, id job.ID, unknown bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.inFlight[id]--; o.inFlight[id] == 0 {
		delete(o.inFlight, id)
	}
	if unknown {
		o.add(now, id)
	}
}

// note records that the outcome of a write of a job is unknown.
func (o *openWrites) note(now time.Duration, id job.ID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.add(now, id)
}

// add also drops the writes that cannot be carried out any more. The caller holds mu.
func (o *openWrites) add(now time.Duration, id job.ID) {
	for other, until := range o.until {
		if now >= until {
			delete(o.until, other)
		}
	}
	o.until[id] = now + lateAppend
}

// mayBeStored reports whether an earlier write of a job may be in the log, now or later.
func (o *openWrites) mayBeStored(now time.Duration, id job.ID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.inFlight[id] > 0 || now < o.until[id]
}
