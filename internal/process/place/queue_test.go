package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
)

// newItem returns an item that has been waiting for ageSeconds.
func newItem(id string, team platform.TeamName, urgent bool, ageSeconds int) Item {
	r := newBatchRequest(id, size(1, 1000))
	r.Team, r.Urgent = team, urgent
	return Item{Request: r, Since: now.Add(-time.Duration(ageSeconds) * time.Second)}
}

// drain places all tasks that the queue offers and returns their order.
func drain(q *Queue) []platform.TaskID {
	var order []platform.TaskID
	for {
		item, ok := q.Next(true)
		if !ok {
			return order
		}
		order = append(order, item.Task)
		q.MarkPlaced(item.Task)
	}
}

func TestUrgentFirstByAge(t *testing.T) {
	q := NewQueue()
	q.Add(newItem("batch", "a", false, 100))
	q.Add(newItem("young", "a", true, 1))
	q.Add(newItem("old", "b", true, 9))
	q.Add(newItem("old", "b", true, 9))
	must.Eq(t, []platform.TaskID{"old", "young", "batch"}, drain(q))
	must.Eq(t, 0, q.Len())
}

func TestBatchKeepsShareOfStarts(t *testing.T) {
	q := NewQueue()
	for i := range 80 {
		q.Add(newItem(fmt.Sprintf("u/%d", i), "a", true, 1))
		q.Add(newItem(fmt.Sprintf("b/%d", i), "a", false, 1))
	}
	deferrable := 0
	for _, id := range drain(q)[:80] {
		if id[0] == 'b' {
			deferrable++
		}
	}
	must.Eq(t, 80/startsPerBatchStart, deferrable)
}

func TestTeamsAlternate(t *testing.T) {
	q := NewQueue()
	for i := range 10 {
		q.Add(newItem(fmt.Sprintf("a/%d", i), "a", false, 100))
	}
	q.Add(newItem("b/0", "b", false, 1))
	q.Add(newItem("b/1", "b", false, 1))
	must.SliceContains(t, drain(q)[:3], "b/0")
}

func TestBlockShapeLastsOneRound(t *testing.T) {
	q := NewQueue()
	q.Add(newItem("a/0", "a", false, 9))
	q.Add(newItem("a/1", "a", false, 9))
	q.Add(newItem("b/0", "b", false, 1))
	q.BlockShape("a/0")
	must.Eq(t, []platform.TaskID{"b/0"}, drain(q))
	q.BeginRound()
	must.True(t, q.Remove("a/1"))
	must.False(t, q.Remove("a/1"))
	must.Eq(t, []platform.TaskID{"a/0"}, drain(q))
}

func TestNextExcludesDeferrableTasks(t *testing.T) {
	q := NewQueue()
	q.Add(newItem("batch", "a", false, 9))
	_, ok := q.Next(false)
	must.False(t, ok)
	q.Add(newItem("urgent", "a", true, 1))
	item, ok := q.Next(false)
	must.True(t, ok)
	must.Eq(t, "urgent", item.Task)
}

func BenchmarkQueueWave(b *testing.B) {
	for b.Loop() {
		q := NewQueue()
		for i := range 5000 {
			q.Add(newItem(fmt.Sprintf("j/%d", i), platform.TeamName(fmt.Sprint(i%340)), i%10 == 0, 1))
		}
		drain(q)
	}
}
