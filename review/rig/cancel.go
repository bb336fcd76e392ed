package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

const (
	// cancelBound is how long after the cancelling of a job its tasks may start (cancel_ms).
	cancelBound = 3 * time.Second
	// calm is the time after the cancelling until no disruption is near any more and
	// cancel_ms and stop_grace_ms have passed since.
	calm = 10 * time.Second
)

// cancelOvertaken freezes the machine that gives the orders for 3.5 s. Meanwhile a client hands
// a job in at another machine, leaves after a second without an answer, and cancels the job at
// a third machine.
func cancelOvertaken(s *System, trouble bool) (verdict, error) {
	const (
		id      = "d000000000000001"
		freeze  = 3500 * time.Millisecond
		patient = time.Second
		// workMS is how long each task works, in milliseconds.
		workMS = 8000
	)
	owner := s.owner()
	var others []*Host
	for _, h := range s.hosts {
		if h != owner {
			others = append(others, h)
		}
	}
	if owner == nil || len(others) < 2 {
		return nil, errors.New("no machine gives orders")
	}
	body, err := jobBody(payload{MS: workMS}, []step{
		{Count: 2, CPU: 2000, MemMB: 4000, EstimateMS: workMS},
		{Count: 4, CPU: 2000, MemMB: 4000, EstimateMS: workMS, DependsOn: []int{0}},
	})
	if err != nil {
		return nil, err
	}
	if trouble {
		s.record.line("%s freezes", owner.name)
		if err := owner.signal(syscall.SIGSTOP); err != nil {
			return nil, err
		}
		time.AfterFunc(freeze, func() {
			s.record.line("%s wakes", owner.name)
			_ = owner.signal(syscall.SIGCONT)
		})
	}
	submitted := s.call(others[0], "POST", id, body, patient)
	cancelled, at := answer{}, time.Time{}
	for try := range 12 {
		// Until the cancel has an answer, it is repeated at another machine.
		if cancelled = s.call(others[1-try%2], "DELETE", id, nil, clientTimeout); cancelled.status == 200 || cancelled.status == 410 {
			at = time.Now()
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if at.IsZero() {
		return nil, errors.New("the cancel has no answer")
	}
	time.Sleep(25 * time.Second)
	for _, h := range others {
		s.call(h, "GET", id, nil, clientTimeout)
	}
	var v verdict
	now := time.Now()
	for _, run := range s.record.snapshot() {
		switch {
		case run.startedAt.After(at.Add(cancelBound)):
			v = append(v, fmt.Sprintf("%s, run %d, started on %s at %s, although its job's cancelling was answered with %d at %s",
				run.task, run.attempt, run.worker, s.record.at(run.startedAt), cancelled.status, s.record.at(at)))
		case (run.endedAt.IsZero() && now.After(at.Add(calm))) || run.endedAt.After(at.Add(calm)):
			v = append(v, fmt.Sprintf("%s, run %d, has worked on %s until %s, although its job's cancelling was answered with %d at %s; handing it in was answered with %d",
				run.task, run.attempt, run.worker, s.record.at(run.endedAt), cancelled.status, s.record.at(at), submitted.status))
		}
	}
	return v, nil
}
