package platform

import (
	"context"
	"net/netip"
)

// HostRole is the role of a listed host.
type HostRole string

// Roles of listed hosts.
const (
	RoleEntry  HostRole = "entry"
	RoleWorker HostRole = "worker"
)

// HostState is the state of a listed host. A leaving host gets no new work.
type HostState string

// States of listed hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the host list.
type Host struct {
	// ID is the HostID of an entry host or the WorkerID of a worker.
	ID     string         `json:"id"`
	Role   HostRole       `json:"role"`
	State  HostState      `json:"state"`
	Addr   netip.AddrPort `json:"addr"`
	Rack   RackID         `json:"rack"`
	Domain FailureDomain  `json:"failure_domain"`
	Region Region         `json:"region"`
}

// HostList is the platform's list of hosts. It may be out of date, and may return
// an older state after a newer one.
type HostList interface {
	// Hosts returns the platform's current list.
	Hosts(ctx context.Context) ([]Host, error)
}
