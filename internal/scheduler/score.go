package scheduler

import (
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/headroom"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// Weights of scores, in units of a whole worker's free CPU.
const (
	// interferenceWeight is the weight of the fraction of a serving task's remaining
	// headroom that a filler takes.
	interferenceWeight = 2.0
	// affinityWeight is the weight of each serving task of the same image on the
	// worker, and the penalty for each one of another image. Whether images interfere
	// depends on the pair, so the fewer images the serving tasks of a worker have, the
	// more fillers do not interfere with them.
	affinityWeight = 0.5
	// packingWeight packs serving tasks onto full workers, which leaves other workers
	// without any.
	packingWeight = 0.3
	// strayWeight is the penalty for a worker on which stray leases may last, which exceeds all
	// other parts: if the worker is lost, its tasks wait for them.
	strayWeight = 100
)

// score rates a worker for a task of a step; higher is better.
func (s *Shard) score(step *job.Step, image headroom.ImageID, w *workerState) float64 {
	total := 0.0
	switch {
	case step.Fills:
		total = w.fractionOfCPU(w.colocation.spareMilliCPU) - interferenceWeight*s.worstInterference(step, image, w)
	case isServing(step):
		total = affinityWeight*w.imageAffinity(image) - packingWeight*w.fractionOfCPU(float64(w.free().MilliCPU)) - s.headroom.Taken(image, w.colocation.currentShares(), s.now)
	default:
		total = w.fractionOfCPU(float64(w.free().MilliCPU))
		if s.inShortage(s.now) {
			total = -total
		}
	}
	if isRemote(step.DataRack, w.info.Rack) {
		total -= s.bounds.RemoteFactor
	}
	if step.LongRunning && s.strayUntil(w) > s.now+maxResidualLease {
		total -= strayWeight
	}
	return total
}

// isRemote reports whether a task's data is on another rack.
func isRemote(data, rack platform.RackID) bool { return data != "" && data != rack }

// fractionOfCPU returns thousandths of a core as a fraction of the worker's CPU.
func (w *workerState) fractionOfCPU(milliCPU float64) float64 {
	if w.info.Capacity.MilliCPU == 0 {
		return 0
	}
	return milliCPU / float64(w.info.Capacity.MilliCPU)
}

// worstInterference returns the largest fraction that a filler would take of a serving
// task's remaining headroom, that above its target.
func (s *Shard) worstInterference(step *job.Step, image headroom.ImageID, w *workerState) float64 {
	share := w.cpuShare(step, 100)
	most := 0.0
	for _, a := range w.colocation.serving {
		most = max(most, s.headroomCost(a, image, share)/max(a.headroom-1, minHeadroomLeft))
	}
	return most
}

// minHeadroomLeft is the lower bound on the remaining headroom by which a cost is
// divided.
const minHeadroomLeft = 0.1

// imageAffinity counts the serving tasks of an image on a worker, minus those of other
// images.
func (w *workerState) imageAffinity(image headroom.ImageID) float64 {
	n := 0.0
	for _, a := range w.colocation.serving {
		if a.image == image {
			n++
		} else {
			n--
		}
	}
	return n
}
