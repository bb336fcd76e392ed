package stream

import "runtime"

// AwaitQueued returns once n commits are queued.
func (w *Writer) AwaitQueued(n int) {
	w.waitUntil(func() bool { return len(w.queue) == n })
}

// AwaitSettled returns once no batch is unsettled.
func (w *Writer) AwaitSettled() {
	w.waitUntil(func() bool { return !w.unsettled })
}

func (w *Writer) waitUntil(condition func() bool) {
	for {
		w.mu.Lock()
		ok := condition()
		w.mu.Unlock()
		if ok {
			return
		}
		runtime.Gosched()
	}
}
