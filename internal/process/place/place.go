// Package place chooses the worker that a task runs on. It is pure: it takes a
// cached view of the workers and a random source, and returns a decision with
// its reasons. Nothing in it is safe for concurrent use; the owner of a shard
// has one cache and one scheduler and calls them from one goroutine.
package place

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/interference"
)

const (
	// batchCandidates bounds the feasible workers that are scored for a batch
	// task.
	batchCandidates = 16
	// serviceCandidates bounds the feasible workers that are scored for a
	// replica of a service.
	serviceCandidates = 48
	// exploreProbability is the share of deferrable batch tasks that are placed by
	// the optimistic bound of uncertain interference estimates, so that these
	// estimates get measurements.
	exploreProbability = 0.05
)

// Request describes a task to be placed.
type Request struct {
	Task     platform.TaskID
	Team     platform.TeamName
	Class    platform.ClassName
	Template platform.TemplateName
	Service  platform.ServiceName
	// Size is the reservation of the task: the declared size corrected by the
	// usage estimates.
	Size platform.Resources
	// Declared is the size that counts against the team's quota; zero means
	// Size.
	Declared platform.Resources
	// Urgent is set if tasks of the class must not wait. Other tasks are deferrable.
	Urgent bool
	// Avoid lists workers on which the task must not run, for example because it
	// was moved away from there.
	Avoid []platform.WorkerID
	// Explore makes the filters use the optimistic bound of uncertain
	// interference estimates. The scheduler sets it.
	Explore bool
}

// quotaSize returns the size that counts against the team's quota.
func (r *Request) quotaSize() platform.Resources {
	if r.Declared == (platform.Resources{}) {
		return r.Size
	}
	return r.Declared
}

// ReasonCount is the number of workers rejected for one reason.
type ReasonCount struct {
	Reason string
	Count  int
}

// Decision is the outcome for one request. Worker is empty if no worker passed
// the filters.
type Decision struct {
	Worker platform.WorkerID
	// Reason says why this worker was chosen, or why none was.
	Reason string
	// Rejected counts the examined workers that a filter rejected, by reason.
	Rejected []ReasonCount
	// Examined is the number of workers examined.
	Examined int
}

// Filter decides whether a worker may run a task. The reason is empty if it may.
type Filter interface {
	Name() string
	Reject(r *Request, w *WorkerView) (reason string)
}

// Scorer ranks the workers that passed the filters by scores from 0 to 1; higher
// is better.
type Scorer interface {
	Name() string
	Score(r *Request, w *WorkerView, c *Cache) float64
}

// Predictor estimates the interference between tasks on one worker.
type Predictor interface {
	// MissChance returns the chance, 0 to 1, that a service of class victim
	// misses its target on a worker with the given processor load and
	// neighbours. c selects the bound of an uncertain estimate.
	MissChance(victim platform.ClassName, load float64, neighbours []interference.Neighbour, c interference.Confidence) float64
	// Ratio returns the expected ratio of tail latency to target for the class of
	// a service, or of run time to usual run time for a batch class, and whether
	// the class was ever measured.
	Ratio(victim platform.ClassName, load float64, neighbours []interference.Neighbour) (float64, bool)
}

// weightedScorer is a scorer with its weight in the total score.
type weightedScorer struct {
	scorer Scorer
	weight float64
}

// Scheduler chooses workers: it filters them and ranks the rest by the weighted
// sum of their scores.
type Scheduler struct {
	filters []Filter
	scorers []weightedScorer
}

// NewScheduler returns a scheduler with the standard filters and scorers. A nil
// predictor predicts no interference.
func NewScheduler(p Predictor) *Scheduler {
	if p == nil {
		p = noInterference{}
	}
	return &Scheduler{
		filters: []Filter{leavingFilter{}, setAsideFilter{}, avoidFilter{}, capacityFilter{}, interferenceFilter{p}},
		scorers: []weightedScorer{
			{interferenceScorer{p}, interferenceWeight},
			{spreadScorer{}, spreadWeight},
			{slowdownScorer{p}, slowdownWeight},
			{fitScorer{}, fitWeight},
		},
	}
}

// Place chooses the best worker for r among a bounded number of feasible ones.
func (s *Scheduler) Place(r Request, c *Cache, rng *rand.Rand) Decision {
	if dim := c.quotaExceeded(&r); dim != "" {
		return Decision{Reason: fmt.Sprintf("team %s has its quota of %s in use", r.Team, dim)}
	}
	r.Explore = !r.Urgent && r.Service == "" && rng.Float64() < exploreProbability
	state := search{scheduler: s, request: &r, cache: c, bestScore: -1, maxFeasible: batchCandidates}
	if r.Service != "" {
		state.maxFeasible = serviceCandidates
	}
	c.visitWorkers(r.Size, rng, state.visit)
	return state.decision()
}

// search is the state of one placement.
type search struct {
	scheduler   *Scheduler
	request     *Request
	cache       *Cache
	maxFeasible int
	feasible    int
	bestScore   float64
	result      Decision
}

// visit examines one worker and reports whether to continue. Ties go to the
// lower worker identifier.
func (s *search) visit(w *WorkerView) bool {
	s.result.Examined++
	if reason := s.scheduler.reject(s.request, w); reason != "" {
		s.result.Rejected = countReason(s.result.Rejected, reason)
		return true
	}
	s.feasible++
	score := s.scheduler.score(s.request, w, s.cache)
	if score > s.bestScore || (score == s.bestScore && w.ID < s.result.Worker) {
		s.bestScore = score
		s.result.Worker = w.ID
	}
	return s.feasible < s.maxFeasible
}

// decision returns the result with its reason.
func (s *search) decision() Decision {
	d := s.result
	sort.Slice(d.Rejected, func(i, j int) bool { return d.Rejected[i].Reason < d.Rejected[j].Reason })
	if d.Worker == "" {
		d.Reason = "no worker fits: " + describeReasons(d.Rejected)
		return d
	}
	d.Reason = fmt.Sprintf("best of %d workers that fit", s.feasible)
	if s.request.Explore {
		d.Reason += ", chosen to learn about uncertain neighbours"
	}
	return d
}

// countReason adds one to the count of reason.
func countReason(counts []ReasonCount, reason string) []ReasonCount {
	for i := range counts {
		if counts[i].Reason == reason {
			counts[i].Count++
			return counts
		}
	}
	return append(counts, ReasonCount{Reason: reason, Count: 1})
}

func describeReasons(counts []ReasonCount) string {
	if len(counts) == 0 {
		return "none is known"
	}
	parts := make([]string, len(counts))
	for i, c := range counts {
		parts[i] = fmt.Sprintf("%d %s", c.Count, c.Reason)
	}
	return strings.Join(parts, ", ")
}

// reject returns the reason of the first filter that rejects w, or "".
func (s *Scheduler) reject(r *Request, w *WorkerView) string {
	for _, f := range s.filters {
		if reason := f.Reject(r, w); reason != "" {
			return reason
		}
	}
	return ""
}

// score returns the weighted sum of the scores.
func (s *Scheduler) score(r *Request, w *WorkerView, c *Cache) float64 {
	var sum float64
	for _, sc := range s.scorers {
		sum += sc.weight * sc.scorer.Score(r, w, c)
	}
	return sum
}

// noInterference is a Predictor that expects no interference.
type noInterference struct{}

// MissChance implements Predictor.
func (noInterference) MissChance(platform.ClassName, float64, []interference.Neighbour, interference.Confidence) float64 {
	return 0
}

// Ratio implements Predictor.
func (noInterference) Ratio(platform.ClassName, float64, []interference.Neighbour) (float64, bool) {
	return 1, false
}
