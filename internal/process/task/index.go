package task

import (
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

// link is a task's position in one list.
type link struct {
	prev, next *Task
}

// list is a doubly linked list of tasks. linkOf selects the link of a task that the
// list uses.
type list struct {
	linkOf      func(*Task) *link
	first, last *Task
	len         int
}

func stateLink(t *Task) *link  { return &t.state }
func workerLink(t *Task) *link { return &t.worker }

func (l *list) add(t *Task) {
	*l.linkOf(t) = link{prev: l.last}
	if l.last == nil {
		l.first = t
	} else {
		l.linkOf(l.last).next = t
	}
	l.last = t
	l.len++
}

func (l *list) remove(t *Task) {
	k := *l.linkOf(t)
	if k.prev == nil {
		l.first = k.next
	} else {
		l.linkOf(k.prev).next = k.next
	}
	if k.next == nil {
		l.last = k.prev
	} else {
		l.linkOf(k.next).prev = k.prev
	}
	*l.linkOf(t) = link{}
	l.len--
}

// each calls f for the tasks in order until f returns false. f may remove its task
// from the list.
func (l *list) each(f func(*Task) bool) {
	for t := l.first; t != nil; {
		next := l.linkOf(t).next
		if !f(t) {
			return
		}
		t = next
	}
}

// eachChangedSince calls f for the tasks that were added after the given count of
// state changes, the latest first.
func (l *list) eachChangedSince(since uint64, f func(*Task)) {
	for t := l.last; t != nil && t.Entered > since; t = l.linkOf(t).prev {
		f(t)
	}
}

// workerTasks holds the active tasks of one worker and the sum of their reservations.
type workerTasks struct {
	tasks     list
	committed platform.Resources
}

// index finds tasks by state and by worker.
type index struct {
	byState [record.Unrunnable + 1]list
	// urgentQueued holds the queued tasks whose class must not wait; they are not in
	// byState.
	urgentQueued list
	byWorker     map[platform.WorkerID]*workerTasks
}

func newIndex() index {
	x := index{urgentQueued: list{linkOf: stateLink}, byWorker: map[platform.WorkerID]*workerTasks{}}
	for i := range x.byState {
		x.byState[i].linkOf = stateLink
	}
	return x
}

func (x *index) stateList(t *Task) *list {
	if t.State == record.Queued && t.job.Spec.Urgent {
		return &x.urgentQueued
	}
	return &x.byState[t.State]
}

func (x *index) add(t *Task) {
	x.stateList(t).add(t)
	if !t.Active() {
		return
	}
	w := x.byWorker[t.Worker]
	if w == nil {
		w = &workerTasks{tasks: list{linkOf: workerLink}}
		x.byWorker[t.Worker] = w
	}
	w.tasks.add(t)
	w.committed = w.committed.Add(t.Size)
}

func (x *index) remove(t *Task) {
	x.stateList(t).remove(t)
	if !t.Active() {
		return
	}
	w := x.byWorker[t.Worker]
	w.tasks.remove(t)
	w.committed = w.committed.Sub(t.Size)
	if w.tasks.len == 0 {
		delete(x.byWorker, t.Worker)
	}
}
