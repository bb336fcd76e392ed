package owner

import (
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

// pendingTransitions holds the transitions that result from calls and reports
// until they are committed, without duplicates. Since an attempt has only a few
// transitions, its size stays bounded while the log is down.
type pendingTransitions struct {
	records []record.Record
	known   map[transitionKey]struct{}
	tasks   map[platform.TaskID]struct{}
}

// transitionKey identifies a transition.
type transitionKey struct {
	task    platform.TaskID
	attempt platform.Attempt
	state   record.State
}

func (p *pendingTransitions) add(tr record.Transition) {
	key := transitionKey{tr.Task, tr.Attempt, tr.State}
	if _, known := p.known[key]; known {
		return
	}
	if p.known == nil {
		p.known = map[transitionKey]struct{}{}
		p.tasks = map[platform.TaskID]struct{}{}
	}
	p.known[key] = struct{}{}
	p.tasks[tr.Task] = struct{}{}
	p.records = append(p.records, record.Record{Transition: &tr})
}

// hasTask reports whether a transition of the task is pending.
func (p *pendingTransitions) hasTask(id platform.TaskID) bool {
	_, found := p.tasks[id]
	return found
}

// takeAll removes and returns all transitions in the order in which they were
// added.
func (p *pendingTransitions) takeAll() []record.Record {
	records := p.records
	*p = pendingTransitions{}
	return records
}

// requeue puts transitions that were taken back ahead of those added since.
func (p *pendingTransitions) requeue(records []record.Record) {
	later := p.takeAll()
	for _, r := range append(records, later...) {
		p.add(*r.Transition)
	}
}

// addPending adds a transition that was observed in t, unless t has ended.
func (o *Owner) addPending(t term, tr record.Transition) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == t {
		o.pending.add(tr)
	}
}

func (o *Owner) takePending() []record.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pending.takeAll()
}

// requeuePending puts records whose commit failed back. A repeated record whose
// first commit did take effect has no further effect.
func (o *Owner) requeuePending(t term, records []record.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == t {
		o.pending.requeue(records)
	}
}
