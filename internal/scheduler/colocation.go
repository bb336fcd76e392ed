package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/scheduler/headroom"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// colocation describes the tasks that share a worker.
type colocation struct {
	// serving are the attempts of tasks with users of their own, fillers those of tasks
	// that use the CPU which others leave.
	serving []*attempt
	fillers []*attempt
	// spareMilliCPU estimates the CPU left for one more filler, in thousandths of a
	// core.
	spareMilliCPU float64
	// activeSince is since when fillers have worked with no break of harmlessTrialRest or more,
	// or zero. pausedSince is since when none works, or zero while one does.
	activeSince, pausedSince Instant
	// history are the CPU shares of the fillers' images over time; the last entry is
	// current.
	history []imageShares
}

// imageShares are the CPU shares of images on a worker since a given time.
type imageShares struct {
	since  Instant
	images []headroom.ImageShare
}

// measurementWindow is the time that a worker's measurement covers: the platform's
// specification of tasks says half a second.
const measurementWindow = 500 * time.Millisecond

const (
	// servingUsage is the assumed fraction of their reserved CPU that serving tasks
	// use: they are sized for a peak.
	servingUsage = 0.45
	// fillerUsage is the fraction of their declared size that fillers use. Images
	// differ between 0.66 and 1.
	fillerUsage = 0.85
)

// isServing reports whether the tasks of a step have users of their own.
func isServing(step *job.Step) bool { return step.TargetMS > 0 }

// updateColocation recomputes the colocation of a worker after its tasks or their
// shares have changed.
func (s *Shard) updateColocation(now Instant, w *workerState) {
	s.now = max(s.now, now)
	s.dirty.add(w)
	c := &w.colocation
	c.serving, c.fillers = c.serving[:0], c.fillers[:0]
	c.spareMilliCPU = float64(w.info.Capacity.MilliCPU)
	var images []headroom.ImageShare
	for _, a := range w.attempts {
		if a.task == nil {
			continue
		}
		step := a.task.step.spec
		if !step.Fills {
			if isServing(step) {
				c.serving = append(c.serving, a)
				c.spareMilliCPU -= servingUsage * float64(step.Size.MilliCPU)
			} else {
				c.spareMilliCPU -= float64(step.Size.MilliCPU)
			}
			continue
		}
		share := w.cpuShare(step, a.cpuPercent)
		c.spareMilliCPU -= fillerUsage * share * float64(w.info.Capacity.MilliCPU)
		c.fillers = append(c.fillers, a)
		images = addShare(images, a.image, share)
	}
	slices.SortFunc(c.fillers, func(a, b *attempt) int { return compareRefs(a.ref, b.ref) })
	c.updateActive(now)
	c.addShares(now, images)
	s.predictHeadroom(now, w)
}

// cpuShare returns the fraction of a worker's CPU that a task of a step uses at a
// percentage of its size.
func (w *workerState) cpuShare(step *job.Step, percent int) float64 {
	if w.info.Capacity.MilliCPU == 0 {
		return 0
	}
	return float64(step.Size.MilliCPU) * float64(percent) / 100 / float64(w.info.Capacity.MilliCPU)
}

func addShare(list []headroom.ImageShare, image headroom.ImageID, share float64) []headroom.ImageShare {
	for i := range list {
		if list[i].Image == image {
			list[i].Share += share
			return list
		}
	}
	return append(list, headroom.ImageShare{Image: image, Share: share})
}

func compareRefs(a, b job.TaskRef) int {
	return cmp.Or(
		cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index),
	)
}

// addShares appends the current shares and drops those that no measurement covers any
// more.
func (c *colocation) addShares(now Instant, images []headroom.ImageShare) {
	c.history = append(c.history, imageShares{since: now, images: images})
	drop := 0
	for drop < len(c.history)-1 && c.history[drop+1].since <= now-measurementWindow {
		drop++
	}
	c.history = slices.Delete(c.history, 0, drop)
}

// currentShares returns the shares of the images that run now.
func (c *colocation) currentShares() []headroom.ImageShare {
	if len(c.history) == 0 {
		return nil
	}
	return c.history[len(c.history)-1].images
}

// meanShares returns the mean shares of the images over the window of a measurement
// taken at now.
func (c *colocation) meanShares(now Instant) []headroom.ImageShare {
	var list []headroom.ImageShare
	from := now - measurementWindow
	for i, interval := range c.history {
		until := now
		if i+1 < len(c.history) {
			until = c.history[i+1].since
		}
		weight := (until - max(interval.since, from)).Seconds() / measurementWindow.Seconds()
		if weight <= 0 {
			continue
		}
		for _, share := range interval.images {
			list = addShare(list, share.Image, share.Share*weight)
		}
	}
	return list
}

// predictHeadroom predicts the headroom of each serving task beside its neighbours.
func (s *Shard) predictHeadroom(now Instant, w *workerState) {
	present := w.colocation.currentShares()
	for _, a := range w.colocation.serving {
		baseline, interference := s.headroom.Predict(a.image, &a.tracker, now, present)
		a.headroom, a.interference = baseline-interference, interference
	}
}

// observeLatencies updates the headroom model with the latencies that a worker has just
// reported.
func (s *Shard) observeLatencies(now Instant, w *workerState) {
	if len(w.colocation.serving) == 0 {
		return
	}
	neighbours := w.colocation.meanShares(now)
	for _, a := range w.colocation.serving {
		if a.load > 0 && now-a.startedAt >= measurementWindow {
			measured := float64(a.task.step.spec.TargetMS) / a.load
			a.updateOverTarget(now, measured)
			s.headroom.Observe(a.image, &a.tracker, now, neighbours, min(measured, maxMeasuredHeadroom))
		}
	}
	s.predictHeadroom(now, w)
}

const (
	// recoveredHeadroom is the measured headroom from which a serving task counts as back
	// under its target. Measurements are noisy, so one that is slightly better than the
	// last proves nothing.
	recoveredHeadroom = 1.15
	// recoveredAfter is how long all measurements have to be under the target before a
	// serving task counts as back under it though none has reached recoveredHeadroom.
	recoveredAfter = 2 * time.Second
)

// updateOverTarget updates since when a serving task may be over its target.
func (a *attempt) updateOverTarget(now Instant, measured float64) {
	a.measuredHeadroom = measured
	switch {
	case measured < 1:
		a.underTargetSince = 0
		if a.overTargetSince == 0 {
			a.overTargetSince = now
		}
	case measured >= recoveredHeadroom || a.underTargetSince != 0 && now-a.underTargetSince >= recoveredAfter:
		a.overTargetSince, a.underTargetSince = 0, 0
	case a.overTargetSince != 0 && a.underTargetSince == 0:
		a.underTargetSince = now
	}
}

// rejectNeighboursAfter is how long a serving task may be over its target before it
// gets no new neighbours, even if the last measurement was better.
const rejectNeighboursAfter = 600 * time.Millisecond

// rejectsNeighbours reports whether a serving task should get no new neighbours.
func (a *attempt) rejectsNeighbours(now Instant) bool {
	return a.overTargetSince != 0 && (a.measuredHeadroom < 1 || now-a.overTargetSince >= rejectNeighboursAfter)
}

// maxMeasuredHeadroom caps measured headroom; more makes no difference.
const maxMeasuredHeadroom = 6
