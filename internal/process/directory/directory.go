// Package directory holds an entry host's view of the services and their
// endpoints. A Table is immutable: the placer builds a new one after each change,
// and the request path reads the current one without a lock.
package directory

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// Endpoint is one running replica of a service.
type Endpoint struct {
	Task    platform.TaskID        `json:"task"`
	Attempt platform.Attempt       `json:"attempt"`
	Worker  platform.WorkerID      `json:"worker"`
	Domain  platform.FailureDomain `json:"failure_domain"`
	Addr    netip.AddrPort         `json:"addr"`
	// Leaving endpoints get no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// MaxConnections bounds the connections to the worker from all entry
	// hosts together.
	MaxConnections int64 `json:"max_connections,omitempty"`
}

// Service is one service with its target and endpoints.
type Service struct {
	Name  platform.ServiceName `json:"name"`
	Class platform.ClassName   `json:"class"`
	// Percentile and Bound are the class's latency target: Bound is the maximum of
	// the given percentile. Both are zero for a class without such a target.
	Percentile float64       `json:"percentile"`
	Bound      time.Duration `json:"bound"`
	// MayWait is set if requests of the class are shed first under overload.
	MayWait   bool       `json:"may_wait,omitempty"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Table is one version of the directory.
type Table struct {
	// Version increases with every change on the host that builds the tables.
	Version uint64 `json:"version"`
	// ConfigVersion is the version of the declarations in force.
	ConfigVersion uint64 `json:"config_version"`
	// Members are the live entry hosts, including the local one, with the peer
	// addresses of their request processes.
	Members  []Member  `json:"members"`
	Services []Service `json:"services"`
}

// Member is one entry host.
type Member struct {
	Host   platform.HostID        `json:"host"`
	Domain platform.FailureDomain `json:"failure_domain"`
	// Entry is the address of the request process's peer service (net/rpc).
	Entry netip.AddrPort `json:"entry"`
}

// Service returns the named service, or nil.
func (t *Table) Service(name platform.ServiceName) *Service {
	for i := range t.Services {
		if t.Services[i].Name == name {
			return &t.Services[i]
		}
	}
	return nil
}

// Directory publishes the current table to concurrent readers.
type Directory struct {
	current atomic.Pointer[Table]
}

// New returns a directory with an empty table.
func New() *Directory {
	d := &Directory{}
	d.current.Store(&Table{})
	return d
}

// Table returns the current table, which must not be modified.
func (d *Directory) Table() *Table { return d.current.Load() }

// Publish makes t the current table unless the current version is the same or
// newer. It reports whether t was published.
func (d *Directory) Publish(t *Table) bool {
	for {
		old := d.current.Load()
		if t.Version <= old.Version {
			return false
		}
		if d.current.CompareAndSwap(old, t) {
			return true
		}
	}
}
