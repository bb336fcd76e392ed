package place

import (
	"math"

	"github.com/siskinvane/siskinvane/internal/process/interference"
)

// Weights of the scorers. Interference with services outweighs spread and batch
// slowdown, which outweigh fit.
const (
	interferenceWeight = 16
	spreadWeight       = 4
	slowdownWeight     = 4
	fitWeight          = 1
)

// interferenceScorer prefers workers on which the task raises the services' miss
// chance least and, if it is a replica, has a low miss chance itself.
type interferenceScorer struct{ predictor Predictor }

// Name implements Scorer.
func (interferenceScorer) Name() string { return "harm" }

// Score implements Scorer.
func (s interferenceScorer) Score(r *Request, w *WorkerView, _ *Cache) float64 {
	before, after := maxMissChances(s.predictor, r, w, interference.Expected)
	cost := max(after-before, 0)
	if r.Service != "" {
		load := w.loadWith(r.Size.MilliCPU)
		own := s.predictor.MissChance(r.Class, load, neighboursWith(r, w), interference.Cautious)
		cost = max(cost, own)
	}
	return 1 - cost
}

// slowdownScorer prefers workers on which a batch task and the batch tasks beside
// it are slowed down least. The score is 1/(1+s), where s is the product of the
// expected slowdowns.
type slowdownScorer struct{ predictor Predictor }

// Name implements Scorer.
func (slowdownScorer) Name() string { return "pace" }

// Score implements Scorer.
func (s slowdownScorer) Score(r *Request, w *WorkerView, _ *Cache) float64 {
	if r.Service != "" {
		return 1
	}
	neighboursAfter := neighboursWith(r, w)
	load, loadAfter := w.Load(), w.loadWith(r.Size.MilliCPU)
	own, _ := s.predictor.Ratio(r.Class, loadAfter, neighboursAfter)
	// The lower bound keeps the logarithm finite.
	cost := math.Log(max(own, 1e-3))
	for _, n := range w.Neighbours {
		// The effect on services is part of the interference score.
		if interference.AmountOf(w.Victims, n.Class) > 0 {
			continue
		}
		before, known := s.predictor.Ratio(n.Class, load, w.Neighbours)
		if !known {
			continue
		}
		after, _ := s.predictor.Ratio(n.Class, loadAfter, neighboursAfter)
		cost += n.Amount * math.Log(after/before)
	}
	return 1 / (1 + math.Exp(cost))
}

// spreadScorer spreads the replicas of a service: it prefers failure domains,
// racks and workers with few of them.
type spreadScorer struct{}

// Name implements Scorer.
func (spreadScorer) Name() string { return "spread" }

// Score implements Scorer.
func (spreadScorer) Score(r *Request, w *WorkerView, c *Cache) float64 {
	if r.Service == "" {
		return 1
	}
	counts := c.replicas[r.Service]
	if counts == nil {
		return 1
	}
	const levels = 3
	score := inverse(counts.domains[w.Domain]) + inverse(counts.racks[w.Rack]) + inverse(w.services[r.Service])
	return score / levels
}

// inverse decreases from 1 towards 0 as n grows.
func inverse(n int) float64 { return 1 / float64(1+n) }

// fitScorer prefers workers with much free processor time for services, and
// nearly full workers without services for batch tasks.
type fitScorer struct{}

// Name implements Scorer.
func (fitScorer) Name() string { return "fit" }

// Score implements Scorer.
func (fitScorer) Score(r *Request, w *WorkerView, _ *Cache) float64 {
	free := 1 - min(max(w.Load(), 0), 1)
	if r.Service != "" {
		return free
	}
	if len(w.Victims) > 0 {
		return free / 2
	}
	return 1 - free/2
}
