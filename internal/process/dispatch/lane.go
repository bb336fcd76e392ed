package dispatch

import "sync"

// lane runs calls with bounded concurrency, in the order in which they were submitted.
// Orders of one kind share a lane, so that they do not wait behind orders of another
// kind. It is safe for concurrent use.
type lane struct {
	goroutines *sync.WaitGroup
	// limit is the number of calls that run at the same time.
	limit int

	mu      sync.Mutex
	running int
	queue   []func()
}

// submit runs call as soon as less than limit calls run. It does not block. The queue
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

// run runs a call and then queued ones until there are none left.
func (l *lane) run(call func()) {
	for ok := true; ok; call, ok = l.next() {
		call()
	}
}

// next removes the first call from the queue. If there is none it ends a run.
func (l *lane) next() (func(), bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 {
		l.running--
		return nil, false
	}
	call := l.queue[0]
	l.queue[0] = nil
	l.queue = l.queue[1:]
	return call, true
}

// load returns the calls that run or wait.
func (l *lane) load() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running + len(l.queue)
}
