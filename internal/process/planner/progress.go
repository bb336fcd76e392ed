package planner

import (
	"math"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/estimate"
	"github.com/siskinvane/siskinvane/internal/process/interference"
	"github.com/siskinvane/siskinvane/internal/process/place"
)

const (
	// minProgress is the minimum progress between two measurements, as a fraction of
	// the task, from which a speed is computed.
	minProgress = 0.005
	// logTimeDivisor is the inverse of the smoothing factor of a template's typical
	// log time.
	logTimeDivisor = 64
)

// progress is the completed fraction of a batch task at its last measurement.
type progress struct {
	attempt platform.Attempt
	done    float64
	at      time.Time
}

// observeProgress trains the model with the slowdown of a batch task: the time that it
// took for a fraction of its work, over the typical time of its template for that
// fraction. Attempts that were ever throttled and intervals in which the neighbours
// changed are ignored.
func (p *Planner) observeProgress(t *platform.TaskReport, r *place.Resident, at time.Time, o interference.Observation) {
	last := p.progress[t.Task]
	p.progress[t.Task] = progress{attempt: t.Attempt, done: t.Done, at: at}
	progressed := t.Done - last.done
	if last.attempt != t.Attempt || r.CPUPercent != 0 || progressed < minProgress {
		return
	}
	if _, unchanged := p.history.Between(r.Worker, last.at, at); !unchanged {
		return
	}
	logTime := math.Log(at.Sub(last.at).Seconds() / progressed)
	template := templateOf(r.Template, r.Service)
	typical, ok := p.typicalLogTime[template]
	if !ok {
		typical = logTime
	}
	p.typicalLogTime[template] = typical + (logTime-typical)/logTimeDivisor
	o.Victim, o.Ratio = r.Class, math.Exp(logTime-typical)
	p.model.Observe(o)
}

// logTimes holds, for each template, the logarithm of the typical time in seconds for
// the whole work of a task.
type logTimes map[estimate.Template]float64
