package dispatch

import (
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// laneHold is how long a call takes up room in its lane. One that takes longer probably
// goes to a lost worker, and must not hold up those to the others.
const laneHold = 150 * time.Millisecond

// lane starts calls in the order in which they were submitted, with a bounded number that
// have run for less than laneHold. Orders of one kind share a lane, so that they do not
// wait behind orders of another kind. It is safe for concurrent use.
type lane struct {
	goroutines *sync.WaitGroup
	// limit is the number of calls that may take up room at the same time.
	limit int

	mu      sync.Mutex
	running int
	queue   []func()
}

// submit runs call as soon as there is room. It does not block. The queue
// is bounded by the callers, which have one order per attempt in flight.
func (l *lane) submit(call func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running >= l.limit {
		l.queue = append(l.queue, call)
		return
	}
	l.running++
	l.goroutines.Go(func() { l.run(call) })
}

// run runs a call and frees its room once it has ended or takes too long.
func (l *lane) run(call func()) {
	leave := sync.OnceFunc(l.startNext)
	defer leave()
	defer time.AfterFunc(laneHold, leave).Stop()
	call()
}

// startNext frees the room of a call, or passes it on to the first one that waits.
func (l *lane) startNext() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 {
		l.running--
		return
	}
	call := l.queue[0]
	l.queue[0] = nil
	l.queue = l.queue[1:]
	l.goroutines.Go(func() { l.run(call) })
}

// load returns the calls that take up room or wait.
func (l *lane) load() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running + len(l.queue)
}

// maxOrdersPerWorker bounds the start and throttle orders to one worker that have been under way for
// less than laneHold. Each needs a connection, and the connections of owners that are lost stay open
// at the worker, which accepts 64 from all hosts together.
const maxOrdersPerWorker = 2

// workerLanes has a lane for each worker with orders. It is safe for concurrent use.
type workerLanes struct {
	goroutines *sync.WaitGroup

	mu    sync.Mutex
	lanes map[platform.WorkerID]*lane
}

// submit runs call as soon as there is room in the lane of a worker. It does not block.
func (l *workerLanes) submit(id platform.WorkerID, call func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lanes[id] == nil {
		l.dropIdle()
		l.lanes[id] = &lane{goroutines: l.goroutines, limit: maxOrdersPerWorker}
	}
	l.lanes[id].submit(call)
}

// dropIdle drops the lanes without orders: workers come and go. The caller holds mu.
func (l *workerLanes) dropIdle() {
	for id, w := range l.lanes {
		if w.load() == 0 {
			delete(l.lanes, id)
		}
	}
}
