package place

import (
	"container/list"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// startsPerBatchStart reserves one in this many starts for deferrable tasks while
// both urgent and deferrable tasks are waiting.
const startsPerBatchStart = 8

// Item is a task waiting for a worker.
type Item struct {
	Request
	// Since is when the task began to wait.
	Since time.Time
}

// taskShape is the equivalence key of waiting tasks: if no worker is found for
// one, none will be found for the others.
type taskShape struct {
	team     platform.TeamName
	class    platform.ClassName
	template platform.TemplateName
	service  platform.ServiceName
	size     platform.Resources
	urgent   bool
}

// shapeGroup holds the waiting tasks of one shape, ordered by age.
type shapeGroup struct {
	shape taskShape
	items *list.List
	// blockedRound is the last round in which no worker was found for a task of
	// the group.
	blockedRound uint64
	// lastServed is the queue's placement count when a task of the group was last
	// placed.
	lastServed uint64
}

// queuePosition locates a waiting task.
type queuePosition struct {
	group   *shapeGroup
	element *list.Element
}

// Queue orders waiting tasks. Urgent tasks come first, by age. A share of the
// starts is reserved for deferrable tasks, whose shapes are served round-robin,
// so that no team waits for the whole job of another. A shape for which no worker
// was found is not offered again in the same round. A Queue is not safe for
// concurrent use.
type Queue struct {
	groups      map[taskShape]*shapeGroup
	items       map[platform.TaskID]queuePosition
	round       uint64
	placedCount uint64
	// urgentStreak counts the urgent tasks placed since the last deferrable one.
	urgentStreak int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{groups: map[taskShape]*shapeGroup{}, items: map[platform.TaskID]queuePosition{}, round: 1}
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return len(q.items) }

// Contains reports whether the task is waiting.
func (q *Queue) Contains(id platform.TaskID) bool {
	_, ok := q.items[id]
	return ok
}

// Add enqueues a task. Adding a waiting task again changes nothing.
func (q *Queue) Add(item Item) {
	if q.Contains(item.Task) {
		return
	}
	s := taskShape{item.Team, item.Class, item.Template, item.Service, item.Size, item.Urgent}
	g := q.groups[s]
	if g == nil {
		g = &shapeGroup{shape: s, items: list.New(), lastServed: q.placedCount}
		q.groups[s] = g
	}
	q.items[item.Task] = queuePosition{group: g, element: insertByAge(g.items, item)}
}

// insertByAge inserts item into a list ordered by age. It searches from the back,
// since tasks mostly arrive in order.
func insertByAge(l *list.List, item Item) *list.Element {
	for e := l.Back(); e != nil; e = e.Prev() {
		if !e.Value.(Item).Since.After(item.Since) {
			return l.InsertAfter(item, e)
		}
	}
	return l.PushFront(item)
}

// Remove removes a task and reports whether it was waiting.
func (q *Queue) Remove(id platform.TaskID) bool {
	p, ok := q.items[id]
	if !ok {
		return false
	}
	p.group.items.Remove(p.element)
	delete(q.items, id)
	if p.group.items.Len() == 0 {
		delete(q.groups, p.group.shape)
	}
	return true
}

// RemoveIf removes every waiting task for which remove returns true.
func (q *Queue) RemoveIf(remove func(platform.TaskID) bool) {
	for id := range q.items {
		if remove(id) {
			q.Remove(id)
		}
	}
}

// BeginRound starts a round, in which all shapes are offered again.
func (q *Queue) BeginRound() { q.round++ }

// Next returns the task to place next without removing it. It reports false if
// nothing is left in this round. Deferrable tasks are skipped unless
// includeDeferrable is set.
func (q *Queue) Next(includeDeferrable bool) (Item, bool) {
	urgent, deferrable := q.nextGroups()
	if !includeDeferrable {
		deferrable = nil
	}
	switch {
	case urgent == nil && deferrable == nil:
		return Item{}, false
	case urgent == nil, deferrable != nil && q.urgentStreak >= startsPerBatchStart-1:
		return deferrable.items.Front().Value.(Item), true
	}
	return urgent.items.Front().Value.(Item), true
}

// nextGroups returns, among the groups not blocked in this round, the urgent one
// with the oldest task and the deferrable one that was served least recently; nil
// where there is none.
func (q *Queue) nextGroups() (urgent, deferrable *shapeGroup) {
	for _, g := range q.groups {
		switch {
		case g.blockedRound == q.round:
		case g.shape.urgent:
			if urgent == nil || headOlder(g, urgent) {
				urgent = g
			}
		case deferrable == nil || g.lastServed < deferrable.lastServed || (g.lastServed == deferrable.lastServed && headOlder(g, deferrable)):
			deferrable = g
		}
	}
	return urgent, deferrable
}

// headOlder reports whether the oldest task of a is older than that of b.
func headOlder(a, b *shapeGroup) bool {
	x, y := a.items.Front().Value.(Item), b.items.Front().Value.(Item)
	if !x.Since.Equal(y.Since) {
		return x.Since.Before(y.Since)
	}
	return x.Task < y.Task
}

// MarkPlaced removes a task that was placed on a worker.
func (q *Queue) MarkPlaced(id platform.TaskID) {
	p, ok := q.items[id]
	if !ok {
		return
	}
	q.placedCount++
	p.group.lastServed = q.placedCount
	q.urgentStreak++
	if !p.group.shape.urgent {
		q.urgentStreak = 0
	}
	q.Remove(id)
}

// BlockShape withholds the task's shape for the rest of the round, since no
// worker was found for it.
func (q *Queue) BlockShape(id platform.TaskID) {
	if p, ok := q.items[id]; ok {
		p.group.blockedRound = q.round
	}
}
