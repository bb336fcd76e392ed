package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// payload is what the rig's jobs carry as their spec: how their tasks behave.
type payload struct {
	// MS is how long a task works; a task that lasts has none.
	MS int64 `json:"ms,omitempty"`
	// StartMS is how long a task that lasts takes until it is at work.
	StartMS int64 `json:"start_ms,omitempty"`
	// Saves is set if the task writes checkpoints.
	Saves bool `json:"saves,omitempty"`
}

// Limits of the platform, as in the settings of the processes.
const (
	maxHold    = 10 * time.Second
	stopTime   = 100 * time.Millisecond
	listedEnds = 500
	heartbeat  = 1100 * time.Millisecond
)

// Worker is a stand-in for one worker. A crash or an upkeep ends its life; the next one has
// forgotten everything.
type Worker struct {
	id, service, addr, zone string
	labels                  []string
	milliCPU, memMB         int64
	store                   *Store
	record                  *Record
	listener                net.Listener
	server                  *http.Server

	mu   sync.Mutex
	life *life
	// dead is set while the worker is down. If it is dark its connections stay open without an
	// answer until back is closed.
	dead bool
	back chan struct{}
	seq  int
}

// life is one life of a worker.
type life struct {
	born     time.Time
	token    uint64
	deadline time.Duration
	running  map[string]*run
	refused  map[string]uint64
	ends     []end
	nextEnd  uint64
	acked    uint64
	changed  chan struct{}
	// over is closed when the life ends.
	over chan struct{}
}

type run struct {
	task       string
	attempt    uint64
	checkpoint string
	started    time.Time
	behaviour  payload
	stopping   bool
}

type end struct {
	number  uint64
	task    string
	attempt uint64
	how     string
	saved   string
}

func newWorker(id, service, zone string, labels []string, milliCPU, memMB int64, store *Store, rec *Record) (*Worker, error) {
	w := &Worker{id: id, service: service, zone: zone, labels: labels, milliCPU: milliCPU, memMB: memMB, store: store, record: rec, dead: true}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.addr = ln.Addr().String()
	w.begin(ln)
	go w.beat()
	return w, nil
}

// begin starts a life.
func (w *Worker) begin(ln net.Listener) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listener, w.dead = ln, false
	w.life = &life{
		born: time.Now(), running: map[string]*run{}, refused: map[string]uint64{}, nextEnd: 1,
		changed: make(chan struct{}), over: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 10 * time.Second}
	server := w.server
	go func() { _ = server.Serve(ln) }()
	go w.expire(w.life)
	w.writeEntry()
}

// Crash ends the worker's life: its connections are reset and it is not heard of any more.
func (w *Worker) Crash() {
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		return
	}
	w.dead = true
	l, server := w.life, w.server
	close(l.over)
	for _, r := range l.running {
		w.record.ended(w, r, "lost with its worker")
	}
	w.mu.Unlock()
	_ = server.Close()
}

// GoDark ends the worker's life like Crash, but nothing answers at its address until it
// restarts, and no connection is reset before.
func (w *Worker) GoDark() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	w.dead, w.back = true, make(chan struct{})
	close(w.life.over)
	for _, r := range w.life.running {
		w.record.ended(w, r, "lost with its worker")
	}
}

// Restart begins the next life under the same id and address.
func (w *Worker) Restart() error {
	w.mu.Lock()
	server, back := w.server, w.back
	w.back = nil
	w.mu.Unlock()
	if back != nil {
		close(back)
		_ = server.Close()
	}
	ln, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.begin(ln)
	return nil
}

// RemoveEntry deletes the worker's entry in the store.
func (w *Worker) RemoveEntry() { w.store.Put("keyed.servers", w.id, nil) }

func (w *Worker) beat() {
	for {
		time.Sleep(heartbeat)
		w.mu.Lock()
		if !w.dead {
			w.writeEntry()
		}
		w.mu.Unlock()
	}
}

// writeEntry writes the worker's entry. The caller holds mu. While the store is down the
// worker's entry stays as it is.
func (w *Worker) writeEntry() {
	if storeMode(w.store.mode.Load()) != storeHealthy {
		return
	}
	w.seq++
	value, err := json.Marshal(map[string]any{
		"backend": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "capacity": 8, "state": "ready",
		"cold_left_ms": 0, "room": map[string]int64{"cpu": w.milliCPU, "mem_mb": w.memMB, "gpu": 0}, "labels": w.labels,
		"clock_ms": w.life.clock().Milliseconds(), "seq": w.seq, "born": w.life.born.UnixMilli(),
	})
	if err == nil {
		w.store.Put("keyed.servers", w.id, value)
	}
}

// clock returns the worker's clock, which starts anew with each life.
func (l *life) clock() time.Duration { return time.Since(l.born) + time.Second }

// expire ends everything that runs once the lease is over.
func (w *Worker) expire(l *life) {
	for {
		select {
		case <-l.over:
			return
		case <-time.After(10 * time.Millisecond):
		}
		w.mu.Lock()
		if l.clock() > l.deadline {
			for _, r := range l.running {
				w.finish(l, r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// finish lists the end of a run. The caller holds mu.
func (w *Worker) finish(l *life, r *run, how string) {
	if l.running[r.task] != r {
		return
	}
	delete(l.running, r.task)
	l.refused[r.task] = max(l.refused[r.task], r.attempt)
	saved := ""
	if r.behaviour.Saves && how != "done" {
		saved = fmt.Sprintf("%08x", time.Since(r.started).Milliseconds())
	}
	l.ends = append(l.ends, end{l.nextEnd, r.task, r.attempt, how, saved})
	l.nextEnd++
	w.record.ended(w, r, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

type workerCall struct {
	Task         string `json:"task"`
	Attempt      uint64 `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken uint64 `json:"fencing_token"`
	Checkpoint   string `json:"checkpoint"`
	AckedThrough uint64 `json:"acked_through"`
	WaitMS       int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Expect-Instance") != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	var c workerCall
	if err != nil || json.Unmarshal(body, &c) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	l := w.life
	if w.dead {
		back := w.back
		w.record.line("worker %s is down and does not answer %s %s", w.id, r.URL.Path, c.Task)
		w.mu.Unlock()
		if back != nil {
			<-back
		}
		panic(http.ErrAbortHandler)
	}
	if c.FencingToken < l.token {
		w.answer(out, l, "fence")
		return
	}
	l.token = c.FencingToken
	switch r.URL.Path {
	case "/api/run-start":
		w.start(out, l, c)
	case "/api/run-stop":
		w.stop(out, l, c)
	case "/api/pace":
		w.answer(out, l, "")
	case "/api/hold":
		w.hold(out, r, l, c)
	default:
		w.mu.Unlock()
		out.WriteHeader(http.StatusNotFound)
	}
}

// answer answers an order and releases mu.
func (w *Worker) answer(out http.ResponseWriter, l *life, reason string) {
	v, status := map[string]any{"clock_ms": l.clock().Milliseconds()}, http.StatusOK
	if reason != "" {
		v["reason"], status = reason, http.StatusConflict
	}
	w.mu.Unlock()
	reply(out, status, v)
}

// extend extends the lease. The caller holds mu.
func (l *life) extend(deadlineMS int64) {
	wanted := time.Duration(deadlineMS) * time.Millisecond
	l.deadline = max(l.deadline, min(wanted, l.clock()+maxHold))
}

func (w *Worker) start(out http.ResponseWriter, l *life, c workerCall) {
	if time.Duration(c.DeadlineMS)*time.Millisecond <= l.clock() {
		w.answer(out, l, "late")
		return
	}
	l.extend(c.DeadlineMS)
	if r := l.running[c.Task]; r != nil && r.attempt == c.Attempt {
		w.answer(out, l, "")
		return
	}
	if l.running[c.Task] != nil || c.Attempt <= l.refused[c.Task] {
		w.answer(out, l, "old")
		return
	}
	r := &run{task: c.Task, attempt: c.Attempt, checkpoint: c.Checkpoint, started: time.Now()}
	if json.Unmarshal([]byte(c.Spec), &r.behaviour) != nil {
		w.mu.Unlock()
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	l.running[c.Task] = r
	w.record.started(w, r, c.FencingToken)
	if r.behaviour.MS > 0 {
		time.AfterFunc(time.Duration(r.behaviour.MS)*time.Millisecond, func() { w.finishLater(l, r, "done") })
	}
	w.answer(out, l, "")
}

func (w *Worker) finishLater(l *life, r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-l.over:
	default:
		if !r.stopping || how == "stopped" {
			w.finish(l, r, how)
		}
	}
}

func (w *Worker) stop(out http.ResponseWriter, l *life, c workerCall) {
	l.refused[c.Task] = max(l.refused[c.Task], c.Attempt)
	if r := l.running[c.Task]; r != nil && r.attempt <= c.Attempt && !r.stopping {
		r.stopping = true
		w.record.stopOrdered(w, r)
		time.AfterFunc(stopTime, func() { w.finishLater(l, r, "stopped") })
	}
	w.answer(out, l, "")
}

func (w *Worker) hold(out http.ResponseWriter, r *http.Request, l *life, c workerCall) {
	if c.DeadlineMS > 0 {
		l.extend(c.DeadlineMS)
	}
	l.acked = max(l.acked, c.AckedThrough)
	for len(l.ends) > 0 && l.ends[0].number <= l.acked {
		w.record.acked(w, l.ends[0])
		l.ends = l.ends[1:]
	}
	deadline := time.NewTimer(time.Duration(min(c.WaitMS, 2000)) * time.Millisecond)
	defer deadline.Stop()
	for waiting := c.WaitMS > 0; waiting && len(l.ends) == 0; {
		changed := l.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-l.over:
			w.mu.Lock()
			back := w.back
			w.mu.Unlock()
			if back != nil {
				<-back
			}
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range l.running {
		running = append(running, []any{r.task, r.attempt, r.checkpoint, r.percent(), 1.0})
	}
	for _, e := range l.ends[:min(len(l.ends), listedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, e.saved})
	}
	v := map[string]any{"clock_ms": l.clock().Milliseconds(), "born": l.born.UnixMilli(), "running": running, "finished": finished}
	w.mu.Unlock()
	reply(out, http.StatusOK, v)
}

// percent returns the progress of a task, or 100 once a task that lasts is at work.
func (r *run) percent() int {
	ran := time.Since(r.started).Milliseconds()
	if r.behaviour.MS > 0 {
		return int(min(99, 100*ran/r.behaviour.MS))
	}
	if ran >= r.behaviour.StartMS {
		return 100
	}
	return 0
}
