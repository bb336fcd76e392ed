package main

import (
	"fmt"
	"time"
)

// crashes lets workers go dark by turns, one of fourteen after the other and each for downTime,
// and hands in a job of one short task. The next worker goes dark overlap before the last one
// is back, so that two are down for that time.
func crashes(s *System, trouble bool) (verdict, error) {
	const (
		id       = "c000000000000001"
		turns    = 5
		downTime = 3 * time.Second
		overlap  = 100 * time.Millisecond
	)
	submit := func() error {
		return s.submit(id, payload{MS: 800}, step{Count: 1, CPU: 3000, MemMB: 6000, EstimateMS: 800})
	}
	if !trouble {
		if err := submit(); err != nil {
			return nil, err
		}
		return s.judgeEnd(id, 25*time.Second), nil
	}
	s.darken(0)
	time.Sleep(overlap)
	if err := submit(); err != nil {
		return nil, err
	}
	for i := range turns {
		time.Sleep(downTime - 2*overlap)
		s.darken(i + 1)
		time.Sleep(overlap)
		if err := s.workers[i].Restart(); err != nil {
			return nil, err
		}
		s.record.line("worker %s is back", s.workers[i].id)
	}
	time.Sleep(downTime)
	if err := s.workers[turns].Restart(); err != nil {
		return nil, err
	}
	return s.judgeEnd(id, 25*time.Second), nil
}

func (s *System) darken(i int) {
	s.record.line("worker %s crashes and goes dark", s.workers[i].id)
	s.workers[i].GoDark()
}

// awaitRun returns the worker on which a task has run for the given time, or nil.
func (s *System) awaitRun(task string, runs, limit time.Duration) *Worker {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		for _, w := range s.workers {
			w.mu.Lock()
			r := w.life.running[task]
			found := !w.dead && r != nil && time.Since(r.started) >= runs
			w.mu.Unlock()
			if found {
				return w
			}
		}
	}
	return nil
}

// judgeEnd asks for a job until it has ended, and returns a violation if it is shown as failed
// although none of its runs has, or is not done in time.
func (s *System) judgeEnd(id string, limit time.Duration) verdict {
	state := ""
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		state = s.call(s.hosts[0], "GET", id, nil, clientTimeout).state
		if state == "done" {
			return nil
		}
		if state == "failed" {
			break
		}
	}
	runs, failed := s.record.snapshot(), 0
	for _, run := range runs {
		if run.how == "failed" {
			failed++
		}
	}
	if state == "failed" && failed == 0 {
		return verdict{fmt.Sprintf("job %s, which nobody cancelled, is shown as failed; it has had %d runs, and none of them has ended as failed", id, len(runs))}
	}
	return verdict{fmt.Sprintf("job %s is shown as %q after %v", id, state, limit)}
}
