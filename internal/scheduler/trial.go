package scheduler

import (
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/headroom"
)

// Fillers wait while their expected cost is more than the headroom of the serving tasks on
// every worker. The cost of an image is learned only from its tasks, so the wait would have
// no end. A starved filler therefore starts on trial where it is expected to do the least
// harm: while the trial lasts, measurements alone decide whether it is throttled.

const (
	// trialLength is how long a trial lasts. It covers the work of a typical filler.
	trialLength = 3 * time.Second
	// trialRest is how long a worker gets no trial after its fillers were halted: its
	// serving tasks recover, and other workers come first.
	trialRest = 3 * time.Second
	// harmlessTrialRest replaces trialRest if all serving tasks over their targets were so
	// before the fillers worked: long enough for a measurement without them.
	harmlessTrialRest = measureRenewWait + measurementWindow + throttleDelay
	// workersPerTrial is the number of workers for each of which one more may have a trial at
	// a time. That grows by one with each trial that does no harm, up to a worker of every
	// workersPerHarmlessTrial, and halves with each one that does.
	workersPerTrial         = 4
	workersPerHarmlessTrial = 2
	// maxOverOnTrial replaces maxOverTarget if a trial does harm: two measurements. The first
	// one may come late, and fillers that are stopped work on for a while.
	maxOverOnTrial = 600 * time.Millisecond
	// urgentAfter is how long a step may be starved until it gets a trial however many go on,
	// and may join one, whether there is spare CPU or not: the platform's rules allow a wait of
	// 3 s where there is room.
	urgentAfter = 1600 * time.Millisecond
	// clearedFor is for how long fillers of an image need not be starved to get a trial after
	// one has done no harm.
	clearedFor = 5 * time.Second
	// throttleDelay is how long a throttle order takes to take effect.
	throttleDelay = 100 * time.Millisecond
)

// trial is the state of a worker's trials.
type trial struct {
	// until is when the present trial ends, and restUntil when the next one may begin.
	until, restUntil Instant
}

// onTrial reports whether a filler is on trial on the worker.
func (w *workerState) onTrial(now Instant) bool {
	return now < w.trial.until && len(w.colocation.fillers) > 0
}

// mayTry reports whether a trial may begin on the worker: no filler is on trial there, and
// none may be the cause of a serving task that is over its target. An urgent one may join
// others, as long as they have done no harm.
func (w *workerState) mayTry(now Instant, urgent bool) bool {
	c := &w.colocation
	if now < w.trial.restUntil {
		return false
	}
	if c.hasPaused(now) {
		return true
	}
	if urgent {
		return !w.harmedByFillers()
	}
	return !w.onTrial(now) && !slices.ContainsFunc(c.serving, func(a *attempt) bool {
		return a.overTargetSince != 0 && (c.pausedSince == 0 || a.overTargetSince > c.activeSince)
	})
}

// trials are the trials of a shard.
type trials struct {
	// extra is how many more than one for each workersPerTrial workers may go on at a time.
	extra int
	// clearedUntil is until when fillers of an image get trials without being starved.
	clearedUntil map[headroom.ImageID]Instant
}

// trialsLeft returns how many more trials may begin now.
func (s *Shard) trialsLeft(now Instant) int {
	n := max(1, len(s.workers)/workersPerTrial+s.trials.extra)
	for _, w := range s.workers {
		if w.onTrial(now) {
			n--
		}
	}
	return n
}

// beginTrial records that an attempt starts or goes on without the headroom that it is
// expected to need.
func (s *Shard) beginTrial(now Instant, a *attempt) {
	w := a.worker
	a.onTrial = true
	if now >= w.trial.until {
		w.trial.until = now + trialLength
	}
	lowest := float64(maxMeasuredHeadroom)
	for _, victim := range w.colocation.serving {
		lowest = min(lowest, victim.headroom)
	}
	s.notes.Trials = append(s.notes.Trials, TrialNote{Task: a.ref, Worker: w.info.ID, Headroom: lowest})
}

// assessTrials clears the images of the fillers on trial on a worker that have worked for
// as long as a measurement takes without harm.
func (s *Shard) assessTrials(now Instant, w *workerState) {
	if !w.onTrial(now) || w.harmedByFillers() {
		return
	}
	for _, a := range w.colocation.fillers {
		if !a.onTrial || a.phase != running || now-max(a.startedAt, a.resumedAt) < measurementWindow+throttleDelay {
			continue
		}
		a.onTrial = false
		s.trials.clearedUntil[a.image] = now + clearedFor
		s.trials.extra = min(s.trials.extra+1, len(s.workers)/workersPerHarmlessTrial)
	}
}

// endTrial records that the fillers on a worker are halted.
func (s *Shard) endTrial(now Instant, w *workerState) {
	if !w.harmedByFillers() {
		w.trial = trial{restUntil: now + harmlessTrialRest}
		return
	}
	if w.onTrial(now) {
		s.trials.extra /= 2
	}
	w.trial = trial{restUntil: now + trialRest}
}

// harmedByFillers reports whether a serving task on the worker has come over its target while
// fillers worked. One that was over it before gains nothing from their absence.
func (w *workerState) harmedByFillers() bool {
	since := w.colocation.activeSince
	return since != 0 && slices.ContainsFunc(w.colocation.serving, func(a *attempt) bool {
		return a.measuredHeadroom < 1 && a.overTargetSince > since
	})
}

// placeOnTrial starts one task of a step of fillers for which no worker has the headroom, and
// returns the number of start orders that it took. The step has been starved for the given
// time, or an image like its own was cleared.
func (p *placement) placeOnTrial(r *stepRun, starved time.Duration) int {
	if !p.full || !r.spec.Fills || p.startsLeft <= 0 || len(p.trialWorkers(p.service(r))) == 0 {
		return 0
	}
	p.urgent = starved >= urgentAfter
	if !p.urgent && p.shard.trialsLeft(p.now) <= 0 {
		return 0
	}
	p.onTrial = true
	defer func() { p.onTrial = false }()
	return p.placeOnce(r)
}

// trialWorkers returns the workers of a service on which a trial may begin.
func (p *placement) trialWorkers(service platform.ServiceName) []*workerState {
	list, known := p.tryable[service]
	if !known {
		for _, w := range p.schedulableWorkers(service) {
			if w.mayTry(p.now, true) {
				list = append(list, w)
			}
		}
		p.tryable[service] = list
	}
	return list
}

// isCleared reports whether a trial of a step's image has lately done no harm.
func (p *placement) isCleared(r *stepRun) bool {
	return r.spec.Fills && p.now < p.shard.trials.clearedUntil[p.shard.headroom.Image(r.spec.Image)]
}

// overBesideFillers returns for how long a serving task may have been over its target while
// fillers worked beside it, or zero if none does now.
func (a *attempt) overBesideFillers(now Instant) time.Duration {
	c := &a.worker.colocation
	if a.overTargetSince == 0 || c.activeSince == 0 || c.pausedSince != 0 {
		return 0
	}
	return now - max(a.overTargetSince, c.activeSince)
}

// mayHarm reports whether a serving task on the worker is over its target beside fillers that
// work.
func (w *workerState) mayHarm() bool {
	c := &w.colocation
	return c.activeSince != 0 && c.pausedSince == 0 &&
		slices.ContainsFunc(c.serving, func(a *attempt) bool { return a.overTargetSince != 0 })
}

// updateActive updates since when fillers have worked on the worker. Short ones that follow
// one another are as harmful as a long one.
func (c *colocation) updateActive(now Instant) {
	switch active := slices.ContainsFunc(c.fillers, func(a *attempt) bool { return a.cpuPercent > 0 }); {
	case active:
		if c.hasPaused(now) {
			c.activeSince = now
		}
		c.pausedSince = 0
	case c.pausedSince == 0:
		c.pausedSince = now
	}
}

// hasPaused reports whether no filler has worked for so long that those before are not the
// cause of a missed target.
func (c *colocation) hasPaused(now Instant) bool {
	return c.activeSince == 0 || c.pausedSince != 0 && now-c.pausedSince >= harmlessTrialRest
}
