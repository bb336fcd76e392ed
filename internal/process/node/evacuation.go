package node

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

// Evacuated returns the failure domains that operators have evacuated, as far as this host has
// read, sorted.
func (n *Node) Evacuated() []platform.FailureDomain {
	if domains := n.evacuated.Load(); domains != nil {
		return *domains
	}
	return nil
}

// evacuate puts the evacuations that were read in force. They are at most stale old.
func (n *Node) evacuate(declared queue.Declared, stale time.Duration) {
	for _, err := range declared.Odd {
		event.EvacuationOdd.Log(n.Logger, logrus.Fields{"error": err})
	}
	before := n.evacuated.Load()
	if before != nil && slices.Equal(*before, declared.Evacuated) {
		return
	}
	n.setEvacuated(declared.Evacuated)
	var known []platform.FailureDomain
	if before != nil {
		known = *before
	}
	n.logEvacuations(event.EvacuationBegun, declared.Evacuated, known, stale)
	n.logEvacuations(event.EvacuationEnded, known, declared.Evacuated, stale)
}

// setEvacuated passes the evacuated domains to the dispatcher and to later ones.
func (n *Node) setEvacuated(domains []platform.FailureDomain) {
	n.applying.Lock()
	defer n.applying.Unlock()
	n.evacuated.Store(&domains)
	if d := n.ownedDispatcher(); d != nil {
		d.SetEvacuated(domains)
	}
}

// logEvacuations logs an event for each domain that is among list and not among others.
func (n *Node) logEvacuations(e event.Event, list, others []platform.FailureDomain, stale time.Duration) {
	for _, domain := range list {
		if !slices.Contains(others, domain) {
			e.Log(n.Logger, logrus.Fields{"domain": domain, "stale_ms": stale.Milliseconds(), "owner": n.OwnsShard()})
		}
	}
}
