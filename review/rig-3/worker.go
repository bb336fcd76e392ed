package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in for one worker of the platform. A crash ends its life; start begins the
// next one, under the same id unless the scenario changes it.
type worker struct {
	w       *world
	id      string
	service string
	zone    string
	rack    string
	cpu     int
	memMB   int

	mu    sync.Mutex
	addr  string
	life  *life
	lives int
	// leaves, if set, says whether a call gets no answer and is carried out later, by carryOutLate.
	// It is called with mu held.
	leaves func(path string, o *order) bool
	// begins, if set, is called with mu held when a life begins, before it takes any call.
	begins func()
}

// life is one run of a worker.
type life struct {
	number  int
	born    time.Time
	server  *http.Server
	stop    context.CancelFunc
	token   uint64
	lease   int64
	running map[string]*taskRun
	fenced  map[string]int
	ends    []endRow
	ended   int
	changed chan struct{}
	seq     int
	over    bool
	// lapsedAt is when the lease lapsed last, or zero.
	lapsedAt time.Time
}

type taskRun struct {
	*runRecord
	timer *time.Timer
}

type endRow struct {
	number  int
	task    string
	attempt int
	how     string
	record  *runRecord
}

type order struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken uint64 `json:"fencing_token"`
	AckedThrough int    `json:"acked_through"`
	WaitMS       int    `json:"wait_ms"`
	Percent      int    `json:"percent"`
}

// start begins a life under the worker's id.
func (k *worker) start() {
	k.mu.Lock()
	defer k.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	k.lives++
	l := &life{number: k.lives, born: time.Now(), stop: cancel, running: map[string]*taskRun{}, fenced: map[string]int{}, changed: make(chan struct{})}
	k.life = l
	k.w.note("worker %s begins life %d, born %d", k.id, l.number, l.born.UnixMilli())
	ln, err := net.Listen("tcp", k.addr)
	if err != nil {
		k.w.cannotRun("worker %s: %v", k.id, err)
	}
	if k.begins != nil {
		k.begins()
	}
	l.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { k.serve(l, rw, r) })}
	go func() { _ = l.server.Serve(ln) }()
	k.register(l)
	go k.beat(ctx, l)
}

func (k *worker) beat(ctx context.Context, l *life) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.mu.Lock()
			if !l.over {
				k.register(l)
			}
			k.mu.Unlock()
		}
	}
}

const heartbeat = 1100 * time.Millisecond

// register writes the worker's entry. The caller holds mu.
func (k *worker) register(l *life) {
	l.seq++
	value, _ := json.Marshal(map[string]any{
		"backend": k.service, "address": k.addr, "zone": k.zone, "version": "v1", "capacity": 8, "state": "ready", "cold_left_ms": 0,
		"room": k.room(), "labels": []string{"a", k.rack}, "clock_ms": l.clock(), "seq": l.seq,
		"born": l.born.UnixMilli(),
	})
	k.w.store.put("keyed.servers", k.id, value)
}

func (k *worker) room() map[string]any {
	return map[string]any{"cpu": k.cpu, "mem_mb": k.memMB, "gpu": 0}
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() }

// crash ends the worker's life at once. Its entry lapses after three missed heartbeats.
func (k *worker) crash() {
	k.mu.Lock()
	l := k.life
	if l == nil || l.over {
		k.mu.Unlock()
		return
	}
	l.over = true
	l.stop()
	for task, r := range l.running {
		r.timer.Stop()
		r.finish("crashed")
		delete(l.running, task)
	}
	server := l.server
	k.w.note("worker %s crashes, life %d is over", k.id, l.number)
	k.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
	time.AfterFunc(3*heartbeat, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.life == l {
			k.w.store.put("keyed.servers", k.id, nil)
		}
	})
}

func (k *worker) serve(l *life, rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		rw.WriteHeader(200)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(400)
		return
	}
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != k.id {
		rw.WriteHeader(421)
		return
	}
	k.mu.Lock()
	left := k.leaves != nil && !l.over && k.leaves(r.URL.Path, &o)
	k.mu.Unlock()
	if left {
		<-r.Context().Done()
		return
	}
	if r.URL.Path == "/api/hold" {
		k.hold(l, &o, rw, r)
		return
	}
	k.mu.Lock()
	if l.over {
		k.mu.Unlock()
		return
	}
	status, answer := k.carryOut(l, r.URL.Path, &o)
	k.mu.Unlock()
	writeJSON(rw, status, answer)
}

// carryOutLate carries out a call that was left, in the worker's present life. The caller holds mu.
func (k *worker) carryOutLate(path string, o *order) {
	l := k.life
	if path != "/api/hold" {
		status, answer := k.carryOut(l, path, o)
		k.w.note("worker %s life %d carries out the late %s of %s attempt %d: %d %v", k.id, l.number, path, o.Task, o.Attempt, status, answer)
		return
	}
	k.w.note("worker %s life %d carries out the late hold acked through %d", k.id, l.number, o.AckedThrough)
	if o.FencingToken >= l.token {
		l.token = o.FencingToken
		l.extend(o.DeadlineMS)
		k.acknowledge(l, o.AckedThrough)
	}
}

const (
	maxHoldMS = 10_000
	stopGrace = 900 * time.Millisecond
)

func (l *life) extend(deadline int64) {
	if l.lease > 0 && l.lease < l.clock() {
		l.lapsedAt = l.born.Add(time.Duration(l.lease) * time.Millisecond)
	}
	l.lease = max(l.lease, min(deadline, l.clock()+maxHoldMS))
}

// carryOut carries out an order about one task. The caller holds mu.
func (k *worker) carryOut(l *life, path string, o *order) (int, map[string]any) {
	refuse := func(reason string) (int, map[string]any) {
		return 409, map[string]any{"clock_ms": l.clock(), "reason": reason}
	}
	if o.FencingToken < l.token {
		return refuse("fence")
	}
	l.token = o.FencingToken
	done := map[string]any{"clock_ms": l.clock()}
	run := l.running[o.Task]
	switch path {
	case "/api/run-start":
		if run != nil && run.attempt == o.Attempt {
			l.extend(o.DeadlineMS)
			return 200, done
		}
		if o.DeadlineMS <= l.clock() {
			return refuse("late")
		}
		l.extend(o.DeadlineMS)
		if o.Attempt <= l.fenced[o.Task] {
			return refuse("old")
		}
		k.run(l, o)
	case "/api/run-stop":
		l.fenced[o.Task] = max(l.fenced[o.Task], o.Attempt)
		if run != nil && run.attempt <= o.Attempt {
			run.timer.Stop()
			run.timer = time.AfterFunc(stopGrace/3, func() { k.end(l, o.Task, run, "stopped") })
		}
	case "/api/pace":
	default:
		return 404, done
	}
	return 200, done
}

// run starts a task. The caller holds mu.
func (k *worker) run(l *life, o *order) {
	r := &taskRun{runRecord: k.w.begin(k, l, o)}
	l.running[o.Task] = r
	duration, how := k.w.behaviour(o.Task, o.Attempt)
	r.timer = time.AfterFunc(duration, func() { k.end(l, o.Task, r, how) })
	k.w.note("worker %s life %d starts %s attempt %d token %d", k.id, l.number, o.Task, o.Attempt, o.FencingToken)
	go k.watchLease(l, o.Task, r)
}

func (k *worker) watchLease(l *life, task string, r *taskRun) {
	for {
		time.Sleep(50 * time.Millisecond)
		k.mu.Lock()
		if l.over || l.running[task] != r {
			k.mu.Unlock()
			return
		}
		lapsed := l.lease <= l.clock()
		k.mu.Unlock()
		if lapsed {
			k.end(l, task, r, "lapsed")
			return
		}
	}
}

// end ends a run and lists the end.
func (k *worker) end(l *life, task string, r *taskRun, how string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l.over || l.running[task] != r {
		return
	}
	r.timer.Stop()
	delete(l.running, task)
	l.fenced[task] = max(l.fenced[task], r.attempt)
	l.ended++
	r.finish(how)
	l.ends = append(l.ends, endRow{l.ended, task, r.attempt, how, r.runRecord})
	k.w.note("worker %s life %d: end %d of %s attempt %d is %s", k.id, l.number, l.ended, task, r.attempt, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

// acknowledge forgets ends. The caller holds mu.
func (k *worker) acknowledge(l *life, through int) {
	for len(l.ends) > 0 && l.ends[0].number <= through {
		k.w.acknowledged(l, l.ends[0].record)
		l.ends = l.ends[1:]
	}
}

func (k *worker) hold(l *life, o *order, rw http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	if l.over {
		k.mu.Unlock()
		return
	}
	if o.FencingToken < l.token {
		k.mu.Unlock()
		writeJSON(rw, 409, map[string]any{"clock_ms": l.clock(), "reason": "fence"})
		return
	}
	l.token = o.FencingToken
	l.extend(o.DeadlineMS)
	k.acknowledge(l, o.AckedThrough)
	timeout := time.After(time.Duration(o.WaitMS) * time.Millisecond)
	for waits := true; waits && len(l.ends) == 0; {
		changed := l.changed
		k.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waits = false
		case <-r.Context().Done():
			return
		}
		k.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for task, run := range l.running {
		running = append(running, []any{task, run.attempt, "", run.percent(), 1})
	}
	for _, e := range l.ends[:min(len(l.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	answer := map[string]any{"clock_ms": l.clock(), "running": running, "finished": finished, "born": l.born.UnixMilli()}
	k.mu.Unlock()
	writeJSON(rw, 200, answer)
}

// endTask ends the run of a task.
func (k *worker) endTask(task, how string) {
	k.mu.Lock()
	l, r := k.life, k.life.running[task]
	k.mu.Unlock()
	k.end(l, task, r, how)
}
