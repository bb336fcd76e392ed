// Package routing chooses the endpoint for each try of a request. It compares two
// random endpoints of this host's failure domain by expected latency, and spills
// over to other domains before the latency target is missed.
package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// spilloverPercent is the percentage of the latency target above which
	// the expected latency makes endpoints of other failure domains eligible.
	spilloverPercent = 50
	// crossDomainPenalty is added to the expected latency of endpoints in
	// other failure domains.
	crossDomainPenalty = 2 * time.Millisecond
)

// Candidate is the state of one endpoint that a choice depends on.
type Candidate struct {
	// Expected is the expected latency of the next request.
	Expected time.Duration
	// Usable is unset for endpoints that must not get a request now.
	Usable bool
}

// View lists the candidates of one group, with indexes from 0 to Len()-1.
type View interface {
	Len() int
	Candidate(i int) Candidate
}

// noCandidate is the index of no candidate.
const noCandidate = -1

// pickOfTwo returns the better of two random candidates and its index. If neither
// is usable, it searches the others.
func pickOfTwo(v View, rnd *rand.Rand) (int, Candidate) {
	n := v.Len()
	if n == 0 {
		return noCandidate, Candidate{}
	}
	a := rnd.IntN(n)
	best, bestCandidate := a, v.Candidate(a)
	if n > 1 {
		b := (a + 1 + rnd.IntN(n-1)) % n
		if c := v.Candidate(b); better(c, bestCandidate) {
			best, bestCandidate = b, c
		}
	}
	if bestCandidate.Usable {
		return best, bestCandidate
	}
	for i := range n {
		j := (a + i) % n
		if c := v.Candidate(j); c.Usable {
			return j, c
		}
	}
	return noCandidate, Candidate{}
}

// better reports whether a is preferred to b.
func better(a, b Candidate) bool {
	if a.Usable != b.Usable {
		return a.Usable
	}
	return a.Expected < b.Expected
}

// Choose returns the index of the chosen candidate and whether it is in the
// remote group. The index is negative if no candidate is usable.
func Choose(local, remote View, target time.Duration, rnd *rand.Rand) (index int, isRemote bool) {
	i, localBest := pickOfTwo(local, rnd)
	if i != noCandidate && localBest.Expected*100 <= target*spilloverPercent {
		return i, false
	}
	j, remoteBest := pickOfTwo(remote, rnd)
	if j == noCandidate {
		return i, false
	}
	if i == noCandidate || remoteBest.Expected+crossDomainPenalty < localBest.Expected {
		return j, true
	}
	return i, false
}
