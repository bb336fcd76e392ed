package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record is what clients and workers have seen. It is written to record.txt.
type Record struct {
	began time.Time

	mu    sync.Mutex
	lines []string
	runs  []*runRecord
	// byRun finds a run by worker, life, task and attempt.
	byRun map[string]*runRecord
}

// runRecord is one run of a task on a worker.
type runRecord struct {
	task      string
	attempt   uint64
	worker    string
	startedAt time.Time
	stopAt    time.Time
	endedAt   time.Time
	how       string
	ackedAt   time.Time
}

func newRecord() *Record { return &Record{began: time.Now(), byRun: map[string]*runRecord{}} }

func (r *Record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(time.Now(), format, args...)
}

func (r *Record) add(at time.Time, format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", at.Sub(r.began).Seconds())+fmt.Sprintf(format, args...))
}

func runKey(w *Worker, l *life, task string, attempt uint64) string {
	return fmt.Sprintf("%s/%d/%s/%d", w.id, l.born.UnixNano(), task, attempt)
}

func (r *Record) started(w *Worker, x *run, token uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	run := &runRecord{task: x.task, attempt: x.attempt, worker: w.id, startedAt: now}
	r.runs = append(r.runs, run)
	r.byRun[runKey(w, w.life, x.task, x.attempt)] = run
	r.add(now, "worker %s starts %s, run %d, token %d, checkpoint %q", w.id, x.task, x.attempt, token, x.checkpoint)
}

func (r *Record) stopOrdered(w *Worker, x *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if run := r.byRun[runKey(w, w.life, x.task, x.attempt)]; run != nil {
		run.stopAt = now
	}
	r.add(now, "worker %s is told to stop %s, run %d", w.id, x.task, x.attempt)
}

func (r *Record) ended(w *Worker, x *run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if run := r.byRun[runKey(w, w.life, x.task, x.attempt)]; run != nil {
		run.endedAt, run.how = now, how
	}
	r.add(now, "worker %s: %s, run %d, ends: %s", w.id, x.task, x.attempt, how)
}

func (r *Record) acked(w *Worker, e end) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run := r.byRun[runKey(w, w.life, e.task, e.attempt)]; run != nil {
		run.ackedAt = time.Now()
	}
}

// snapshot returns copies of all runs in the order of their starts.
func (r *Record) snapshot() []runRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]runRecord, 0, len(r.runs))
	for _, run := range r.runs {
		list = append(list, *run)
	}
	return list
}

// at returns a time as seconds since the record began.
func (r *Record) at(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return fmt.Sprintf("%.3f s", t.Sub(r.began).Seconds())
}

func (r *Record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
