package scheduler

import (
	"maps"
	"slices"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// An evacuated failure domain gets no start orders until it is taken back. What runs there
// stays: the request is about what is sent, and stopping work would throw it away.

// evacuations are the failure domains that operators have evacuated.
type evacuations struct {
	// known is set once the operators' requests were read.
	known   bool
	domains map[platform.FailureDomain]bool
	// noted are the domains for which a note was added.
	noted map[platform.FailureDomain]bool
}

// include reports whether a worker of a domain must get no start orders. One without a domain
// may be in any.
func (e *evacuations) include(domain platform.FailureDomain) bool {
	return e.domains[domain] || domain == "" && len(e.domains) > 0
}

// Evacuation is an evacuated failure domain.
type Evacuation struct {
	Domain platform.FailureDomain
	// Workers counts the workers of the domain, Attempts what may be running there and goes on.
	Workers, Attempts int
}

// SetEvacuated sets the failure domains whose workers get no start orders.
func (s *Shard) SetEvacuated(domains []platform.FailureDomain) {
	before := s.schedulableMilliCPU()
	s.evacuations.known = true
	s.evacuations.domains = map[platform.FailureDomain]bool{}
	for _, d := range domains {
		s.evacuations.domains[d] = true
	}
	maps.DeleteFunc(s.evacuations.noted, func(d platform.FailureDomain, _ bool) bool { return !s.evacuations.domains[d] })
	for _, w := range s.workers {
		w.evacuated = s.evacuations.include(w.info.Domain)
	}
	s.dirty.all = true
	if after := s.schedulableMilliCPU(); after < before {
		s.scaleStartRates(float64(after) / float64(before))
	}
}

// Evacuations returns the failure domains whose workers get no start orders, sorted by name.
func (s *Shard) Evacuations() []Evacuation {
	var list []Evacuation
	place := map[platform.FailureDomain]int{}
	for _, d := range slices.Sorted(maps.Keys(s.evacuations.domains)) {
		place[d] = len(list)
		list = append(list, Evacuation{Domain: d})
	}
	if len(list) == 0 {
		return nil
	}
	for _, w := range s.workers {
		if i, evacuated := place[w.info.Domain]; evacuated && w.registered {
			list[i].Workers++
			list[i].Attempts += len(w.attempts)
		}
	}
	return list
}

// EvacuationsKnown reports whether the operators' requests were read, where there may be any.
func (s *Shard) EvacuationsKnown() bool { return s.evacuations.known || s.bounds.Evacuation == 0 }

// startsAllowed reports whether what operators and workers have declared is known well enough
// to start tasks.
func (s *Shard) startsAllowed(now Instant) bool {
	return s.CapacitiesKnown(now) && s.EvacuationsKnown()
}

// schedulableMilliCPU returns the CPU of the workers that may get new tasks, in thousandths of
// a core.
func (s *Shard) schedulableMilliCPU() int64 {
	var total int64
	for _, w := range s.workers {
		if w.schedulable() {
			total += w.info.Capacity.MilliCPU
		}
	}
	return total
}

// scaleStartRates multiplies the measured starts per second by factor, so that waits are
// estimated by the workers that are left before they have been measured.
func (s *Shard) scaleStartRates(factor float64) {
	for _, rate := range s.startRates {
		rate.count *= factor
	}
	for class := range s.inheritedRates {
		s.inheritedRates[class] *= factor
	}
}

// admitEvacuated refuses a job for which there are only workers of evacuated domains. It
// returns false if the job is to be decided on otherwise.
func (s *Shard) admitEvacuated(sub *job.Submission) (a Admission, refused bool) {
	if len(s.evacuations.domains) == 0 {
		return Admission{}, false
	}
	service, evacuated := s.serviceOf(sub.Queue, sub.Service), false
	for _, w := range s.workers {
		if !w.registered || w.info.Service != service {
			continue
		}
		if !w.evacuated {
			return Admission{}, false
		}
		evacuated = true
	}
	return Admission{Reason: reasonEvacuated, RetryAfter: maxRetryAfter}, evacuated
}

// noteEvacuations adds a note for each evacuation that the owner obeys from now on, once the
// workers' entries are known.
func (s *Shard) noteEvacuations(now Instant) {
	if len(s.evacuations.noted) == len(s.evacuations.domains) || !s.CapacitiesKnown(now) {
		return
	}
	for _, e := range s.Evacuations() {
		if !s.evacuations.noted[e.Domain] {
			s.evacuations.noted[e.Domain] = true
			s.notes.Evacuations = append(s.notes.Evacuations, e)
		}
	}
}
