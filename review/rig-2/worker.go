package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Limits of the workers, as a small deployment states them.
const (
	maxHold         = 10 * time.Second
	heartbeat       = 1100 * time.Millisecond
	stopTime        = 50 * time.Millisecond
	startupTime     = 50 * time.Millisecond
	maxListedEnds   = 500
	silentIntervals = 3
)

// taskKind says how the tasks of a job's step run.
type taskKind struct {
	runs time.Duration
	// lasts is set for tasks that run until they are stopped.
	lasts bool
	cpu   int64
}

// oracle knows the jobs that clients have handed in and what the workers did with them.
type oracle struct {
	mu sync.Mutex
	// kinds holds the kind of each step by "ID.K.STEP" without the occurrence.
	kinds map[string]taskKind
	specs map[string]string
	// done, failed and starts count by task; running counts the runs that are under way.
	done, failed, starts, running map[string]int
	// noted holds the tasks whose end "done" was acknowledged, and when.
	noted map[string]time.Time
	// started and endedAt are by job.
	lastEnd map[string]time.Time
	// ends counts the listed ends and ackedEnds those that were acknowledged.
	ends, ackedEnds int
	broken          []string
	log             *recorder
}

func newOracle(log *recorder) *oracle {
	return &oracle{
		kinds: map[string]taskKind{}, specs: map[string]string{}, done: map[string]int{}, failed: map[string]int{}, starts: map[string]int{},
		running: map[string]int{}, noted: map[string]time.Time{}, lastEnd: map[string]time.Time{}, log: log,
	}
}

// stepOf returns the key of kinds for a task's name.
func stepOf(task string) (id, step string) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", ""
	}
	return parts[0], parts[0] + "." + parts[2]
}

type run struct {
	task    string
	attempt int64
	began   time.Time
	kind    taskKind
	timer   *time.Timer
	ended   bool
}

type end struct {
	number  uint64
	task    string
	attempt int64
	how     string
	at      time.Time
}

// worker is one worker. A crash ends its run; it may start again under the same id.
type worker struct {
	id, zone, rack, ip string
	cpu, memMB         int64
	store              *metaStore
	oracle             *oracle

	mu       sync.Mutex
	up       bool
	addr     string
	born     time.Time
	server   *http.Server
	token    uint64
	deadline time.Time
	running  map[string]*run
	// stopped holds the highest run of each task that was stopped or ended here.
	stopped  map[string]int64
	finished []end
	lastEnd  uint64
	changed  chan struct{}
	lease    *time.Timer
	seq      int
	// gone ends the reports of the present run.
	gone chan struct{}
}

// start begins a run of the worker.
func (w *worker) start() error {
	l, err := net.Listen("tcp", w.ip+":0")
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up, w.addr, w.born, w.token, w.deadline = true, l.Addr().String(), time.Now(), 0, time.Time{}
	w.running, w.stopped, w.finished, w.lastEnd = map[string]*run{}, map[string]int64{}, nil, 0
	w.changed, w.seq, w.gone = make(chan struct{}), 0, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.serveStart)
	mux.HandleFunc("POST /api/run-stop", w.serveStop)
	mux.HandleFunc("POST /api/hold", w.serveHold)
	mux.HandleFunc("POST /api/pace", w.serveStop)
	w.server = &http.Server{Handler: mux}
	server := w.server
	go func() { _ = server.Serve(l) }()
	go w.report(w.gone)
	return nil
}

// report writes the worker's entry until its run ends, and removes it after a silence.
func (w *worker) report(gone chan struct{}) {
	for {
		w.mu.Lock()
		w.seq++
		value, err := json.Marshal(map[string]any{
			"backend": "svc", "address": w.addr, "zone": w.zone, "version": "v1", "capacity": 8, "state": "ready", "cold_left_ms": 0,
			"room": map[string]any{"cpu": w.cpu, "mem_mb": w.memMB, "gpu": 0}, "labels": []string{"a", w.rack},
			"clock_ms": w.clock(), "seq": w.seq, "born": w.born.UnixMilli(),
		})
		w.mu.Unlock()
		if err == nil {
			w.store.put("keyed.servers", w.id, value)
		}
		select {
		case <-gone:
			born := w.born
			time.Sleep(silentIntervals * heartbeat)
			w.mu.Lock()
			still := !w.up || w.born.Equal(born)
			w.mu.Unlock()
			if still {
				w.store.put("keyed.servers", w.id, nil)
			}
			return
		case <-time.After(heartbeat):
		}
	}
}

// crash ends the worker's run at once.
func (w *worker) crash() {
	w.mu.Lock()
	w.up = false
	for _, r := range w.running {
		r.ended = true
		r.timer.Stop()
		w.oracle.leave(r.task)
	}
	w.running = map[string]*run{}
	server := w.server
	close(w.gone)
	w.mu.Unlock()
	_ = server.Close()
}

// idle returns those of the jobs of which no task runs and some are not done.
func (o *oracle) idle(jobs []jobSpec) (idle []jobSpec) {
	o.mu.Lock()
	defer o.mu.Unlock()
	running, done := map[string]int{}, map[string]int{}
	for task := range o.starts {
		id, _ := stepOf(task)
		running[id] += o.running[task]
		if o.done[task] > 0 {
			done[id]++
		}
	}
	for _, j := range jobs {
		if running[j.id] == 0 && done[j.id] < j.tasks() {
			idle = append(idle, j)
		}
	}
	return idle
}

// leave notes that a run is over that ended with its worker.
func (o *oracle) leave(task string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running[task]--
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

type orderBody struct {
	Task         string `json:"task"`
	Attempt      int64  `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken uint64 `json:"fencing_token"`
	AckedThrough uint64 `json:"acked_through"`
	WaitMS       int64  `json:"wait_ms"`
}

// accept decodes an order and checks its addressee and its token. It holds mu if it succeeds.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request) (orderBody, bool) {
	var in orderBody
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(rw, 400, nil)
		return in, false
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		reply(rw, 421, nil)
		return in, false
	}
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if in.FencingToken < w.token {
		clock := w.clock()
		w.mu.Unlock()
		reply(rw, 409, map[string]any{"clock_ms": clock, "reason": "fence"})
		return in, false
	}
	w.token = in.FencingToken
	return in, true
}

// extend extends the lease of everything here. The caller holds mu.
func (w *worker) extend(deadlineMS int64) {
	if deadlineMS == 0 {
		return
	}
	until := w.born.Add(time.Duration(deadlineMS) * time.Millisecond)
	if limit := time.Now().Add(maxHold); until.After(limit) {
		until = limit
	}
	if !until.After(w.deadline) {
		return
	}
	w.deadline = until
	if w.lease != nil {
		w.lease.Stop()
	}
	born := w.born
	w.lease = time.AfterFunc(time.Until(until), func() { w.expire(born) })
}

// expire kills everything once the lease is over.
func (w *worker) expire(born time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || !w.born.Equal(born) || time.Now().Before(w.deadline) {
		return
	}
	for _, r := range w.running {
		w.finish(r, "lapsed")
	}
}

func (w *worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	in, ok := w.accept(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	refuse := func(reason string) { reply(rw, 409, map[string]any{"clock_ms": w.clock(), "reason": reason}) }
	id, step := stepOf(in.Task)
	known := w.running[in.Task]
	switch {
	case known != nil && known.attempt == in.Attempt:
		w.extend(in.DeadlineMS)
		reply(rw, 200, map[string]any{"clock_ms": w.clock()})
		return
	case w.stopped[in.Task] >= in.Attempt || known != nil && known.attempt > in.Attempt:
		w.extend(in.DeadlineMS)
		refuse("old")
		return
	case in.DeadlineMS <= w.clock():
		refuse("late")
		return
	}
	kind := w.oracle.begin(in.Task, id, step, in.Spec, w.id)
	w.extend(in.DeadlineMS)
	fresh := &run{task: in.Task, attempt: in.Attempt, began: time.Now(), kind: kind}
	born := w.born
	fresh.timer = time.AfterFunc(kind.runs, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !fresh.ended && w.up && w.born.Equal(born) && !kind.lasts {
			w.finish(fresh, "done")
		}
	})
	w.running[in.Task] = fresh
	reply(rw, 200, map[string]any{"clock_ms": w.clock()})
}

// begin notes a start and returns how the task runs.
func (o *oracle) begin(task, id, step, spec, worker string) taskKind {
	o.mu.Lock()
	defer o.mu.Unlock()
	kind, asked := o.kinds[step]
	switch {
	case !asked || o.specs[id] != spec:
		o.broken = append(o.broken, "UNASKED "+task)
	case o.running[task] > 0:
		o.broken = append(o.broken, "TWICE two runs of "+task)
	case !o.noted[task].IsZero():
		o.broken = append(o.broken, "TWICE start after the end done of "+task)
	}
	o.starts[task]++
	o.running[task]++
	return kind
}

// finish lists the end of a run. The caller holds mu.
func (w *worker) finish(r *run, how string) {
	r.ended = true
	r.timer.Stop()
	delete(w.running, r.task)
	w.stopped[r.task] = max(w.stopped[r.task], r.attempt)
	w.lastEnd++
	w.finished = append(w.finished, end{w.lastEnd, r.task, r.attempt, how, time.Now()})
	close(w.changed)
	w.changed = make(chan struct{})
	o := w.oracle
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running[r.task]--
	o.ends++
	id, _ := stepOf(r.task)
	o.lastEnd[id] = time.Now()
	switch how {
	case "done":
		o.done[r.task]++
	case "failed":
		o.failed[r.task]++
	}
}

func (w *worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	in, ok := w.accept(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if r.URL.Path == "/api/run-stop" {
		known := w.running[in.Task]
		if known != nil && known.attempt <= in.Attempt {
			born := w.born
			time.AfterFunc(stopTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if !known.ended && w.up && w.born.Equal(born) {
					w.finish(known, "stopped")
				}
			})
		} else if known == nil {
			w.stopped[in.Task] = max(w.stopped[in.Task], in.Attempt)
		}
	}
	reply(rw, 200, map[string]any{"clock_ms": w.clock()})
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	in, ok := w.accept(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.extend(in.DeadlineMS)
	w.acknowledge(in.AckedThrough)
	born, timeout := w.born, time.NewTimer(time.Duration(in.WaitMS)*time.Millisecond)
	defer timeout.Stop()
	for waiting := in.WaitMS > 0; waiting && len(w.finished) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
		if !w.up || !w.born.Equal(born) {
			panic(http.ErrAbortHandler)
		}
		if in.FencingToken < w.token {
			reply(rw, 409, map[string]any{"clock_ms": w.clock(), "reason": "fence"})
			return
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.attempt, "", r.percent(), 0})
	}
	for _, e := range w.finished[:min(len(w.finished), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	reply(rw, 200, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "finished": finished})
}

func (r *run) percent() int {
	ran := time.Since(r.began)
	switch {
	case r.kind.lasts && ran > startupTime:
		return 100
	case r.kind.lasts:
		return 0
	}
	return int(min(99, 100*ran/max(1, r.kind.runs)))
}

// acknowledge forgets the ends up to a number. The caller holds mu.
func (w *worker) acknowledge(through uint64) {
	o := w.oracle
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for n < len(w.finished) && w.finished[n].number <= through {
		o.ackedEnds++
		if w.finished[n].how == "done" {
			o.noted[w.finished[n].task] = time.Now()
		}
		n++
	}
	w.finished = w.finished[n:]
}

// oldestEnd returns the age of the oldest end that is not acknowledged, and how many there are.
func (w *worker) oldestEnd() (time.Duration, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || len(w.finished) == 0 {
		return 0, 0
	}
	return time.Since(w.finished[0].at), len(w.finished)
}

// load returns the processor time in use, in thousandths of a core, and the runs.
func (w *worker) load() (cpu int64, runs int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.running {
		cpu += r.kind.cpu
	}
	return cpu, len(w.running)
}

func (w *worker) String() string { return fmt.Sprintf("%s (%s, %s)", w.id, w.zone, w.rack) }
