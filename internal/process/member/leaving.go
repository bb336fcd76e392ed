package member

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// MaxHostListLag bounds how far the host list may lag behind. A leaving host
// counts as live again, and a missing worker as gone, only once the list has said
// so for this long.
const MaxHostListLag = 5 * time.Minute

// LeavingTracker tracks which hosts were leaving and which workers were listed,
// since the host list may return to an older state. It is not safe for concurrent
// use.
type LeavingTracker struct {
	leaving map[string]*leavingHost
	workers map[string]*listedWorker
}

// leavingHost is a host that was listed as leaving.
type leavingHost struct {
	addr        netip.AddrPort
	incarnation uint64
	// liveSince is when the list first showed the host as live again; zero while it
	// shows it as leaving.
	liveSince time.Time
}

// listedWorker is a worker as last listed, at listedAt.
type listedWorker struct {
	host     platform.Host
	listedAt time.Time
}

// NewLeavingTracker returns a tracker without hosts.
func NewLeavingTracker() *LeavingTracker {
	return &LeavingTracker{leaving: map[string]*leavingHost{}, workers: map[string]*listedWorker{}}
}

// Correct returns hosts with two corrections: a host that was leaving keeps that
// state until the list has shown it as live for MaxHostListLag, and a worker that
// the list omits is added as leaving for as long. incarnation returns the latest
// known incarnation of an entry host. A host with another address or incarnation
// counts as a new one.
func (l *LeavingTracker) Correct(hosts []platform.Host, incarnation func(platform.HostID) uint64, now time.Time) []platform.Host {
	corrected := make([]platform.Host, 0, len(hosts))
	for _, h := range hosts {
		var current uint64
		if h.Role == platform.RoleEntry {
			current = incarnation(platform.HostID(h.ID))
		}
		h = l.correctHost(h, current, now)
		if h.Role == platform.RoleWorker {
			l.workers[h.ID] = &listedWorker{host: h, listedAt: now}
		}
		corrected = append(corrected, h)
	}
	return append(corrected, l.missingWorkers(now)...)
}

// correctHost returns h, as leaving if the list has not shown it as live for long
// enough.
func (l *LeavingTracker) correctHost(h platform.Host, incarnation uint64, now time.Time) platform.Host {
	if h.State == platform.HostLeaving {
		l.leaving[h.ID] = &leavingHost{addr: h.Addr, incarnation: incarnation}
		return h
	}
	known := l.leaving[h.ID]
	if known == nil {
		return h
	}
	if known.liveSince.IsZero() {
		known.liveSince = now
	}
	if known.addr != h.Addr || known.incarnation != incarnation || now.Sub(known.liveSince) >= MaxHostListLag {
		delete(l.leaving, h.ID)
		return h
	}
	h.State = platform.HostLeaving
	return h
}

// missingWorkers returns, as leaving, the workers that are not in the list of now
// but were in one within MaxHostListLag.
func (l *LeavingTracker) missingWorkers(now time.Time) []platform.Host {
	var missing []platform.Host
	for id, w := range l.workers {
		switch age := now.Sub(w.listedAt); {
		case age > MaxHostListLag:
			delete(l.workers, id)
		case age > 0:
			h := w.host
			h.State = platform.HostLeaving
			missing = append(missing, h)
		}
	}
	slices.SortFunc(missing, func(a, b platform.Host) int { return strings.Compare(a.ID, b.ID) })
	return missing
}
