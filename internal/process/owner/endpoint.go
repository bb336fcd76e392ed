package owner

import (
	"net/netip"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/directory"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/task"
)

// newEndpoint returns the directory entry of a running replica.
func newEndpoint(t *task.Task, w *workerState) directory.Endpoint {
	addr, err := netip.ParseAddrPort(t.Endpoint)
	if err != nil {
		addr = netip.AddrPort{}
	}
	e := directory.Endpoint{
		Task: t.ID, Attempt: t.Attempt, Worker: t.Worker, Domain: w.host.Domain, Addr: addr,
		Leaving: t.Cancelled || t.State == record.Checkpointing || w.host.State == platform.HostLeaving,
	}
	if r := w.contact.Report; r != nil {
		e.MaxConnections = r.MaxConnections
		e.Leaving = e.Leaving || r.Leaving
	}
	return e
}
