package owner

import (
	"fmt"
	"strings"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/task"
)

// Explanation describes in plain sentences why a task is in its state.
type Explanation struct {
	Task     platform.TaskID   `json:"task"`
	Shard    platform.ShardID  `json:"shard"`
	State    string            `json:"state"`
	Attempt  platform.Attempt  `json:"attempt"`
	Worker   platform.WorkerID `json:"worker,omitempty"`
	Team     platform.TeamName `json:"team"`
	Class    string            `json:"class"`
	Declared string            `json:"declared_size"`
	// Lines are sentences for operators, the most important first.
	Lines []string `json:"lines"`
}

// Explain describes a task of the shard. The second result is false when the
// task is not in the shard.
func (o *Owner) Explain(id platform.TaskID) (Explanation, bool) {
	var e Explanation
	found := false
	o.follower.View(func() {
		t := o.table.Task(id)
		if t == nil {
			return
		}
		found = true
		job := o.table.Job(task.JobOf(id))
		e = Explanation{
			Task: id, Shard: o.config.Shard, State: t.State.String(), Attempt: t.Attempt, Worker: t.Worker,
			Team: job.Team, Class: string(job.Class), Declared: formatSize(job.Size),
		}
		e.Lines = o.explainLines(t, job)
	})
	return e, found
}

// explainLines is called inside follower.View.
func (o *Owner) explainLines(t *task.Task, job *record.Job) []string {
	switch {
	case t.State == record.Queued:
		return o.explainQueued(t)
	case t.Active():
		lines := []string{fmt.Sprintf("Attempt %d was placed on worker %s: %s.", t.Attempt, t.Worker, reasonOrDefault(t.Reason))}
		if r := o.placement.planner.Cache().Resident(t.ID); r != nil && r.EffectiveCPUPercent() < unthrottledPercent {
			lines = append(lines, fmt.Sprintf("It is throttled to %d%% to protect a service on the worker.", r.EffectiveCPUPercent()))
		}
		if t.Cancelled {
			lines = append(lines, "Its job was cancelled; it ends as soon as the worker confirms.")
		}
		return lines
	case t.State == record.Unrunnable:
		return []string{"It can never run: " + reasonOrDefault(t.Reason) + "."}
	}
	at := time.UnixMilli(t.AtMillis).UTC().Format(time.RFC3339)
	return []string{fmt.Sprintf("It ended as %s at %s%s.", t.State, at, reasonSuffix(t.Reason))}
}

// explainQueued explains why a queued task has no worker yet.
func (o *Owner) explainQueued(t *task.Task) []string {
	now := o.config.Now()
	text := o.placement.planner.ExplainWaiting(newQueueItem(t, now), now)
	lines := []string{toSentence(text)}
	if t.Attempt > 0 {
		lines = append(lines, fmt.Sprintf("Attempt %d is over%s.", t.Attempt, reasonSuffix(t.Reason)))
	}
	return lines
}

// toSentence capitalizes text and ends it with a full stop.
func toSentence(text string) string {
	if text == "" {
		return ""
	}
	return strings.ToUpper(text[:1]) + strings.TrimRight(text[1:], ";.") + "."
}

func formatSize(r platform.Resources) string {
	const milli = 1000
	text := fmt.Sprintf("%.3g processors, %d MB", float64(r.MilliCPU)/milli, r.MemoryMB)
	if r.Accelerators > 0 {
		text += fmt.Sprintf(", %d accelerators", r.Accelerators)
	}
	return text
}

func reasonOrDefault(reason string) string {
	if reason == "" {
		return "no reason recorded"
	}
	return reason
}

func reasonSuffix(reason string) string {
	if reason == "" {
		return ""
	}
	return " (" + reason + ")"
}
