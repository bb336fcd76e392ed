package settings

import (
	"net/netip"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/version/jsonfield"
)

// Scheduler holds the settings of siskin-scheduler on one host.
type Scheduler struct {
	Host   platform.HostID        `json:"host"`
	Domain platform.FailureDomain `json:"failure_domain"`
	// Callers is the address for callers' jobs, Readiness the one for the load balancer.
	Callers   netip.AddrPort `json:"callers"`
	Readiness netip.AddrPort `json:"readiness"`
	// Peer is the address for other hosts (net/rpc).
	Peer netip.AddrPort `json:"peer"`
	// Metrics is the address of the metrics page. It is optional.
	Metrics netip.AddrPort `json:"metrics,omitzero"`
	// Store, Machines and Advice are the addresses of the platform's services.
	// Machines and Advice are optional; without Machines no maintenance is carried out.
	Store    netip.AddrPort `json:"store"`
	Machines netip.AddrPort `json:"machines,omitzero"`
	Advice   netip.AddrPort `json:"advice,omitzero"`
	// MemoryMB is the memory that the process may use, Processors the number of cores.
	MemoryMB   int64 `json:"memory_mb"`
	Processors int   `json:"processors"`
	// MaxDescriptors is the number of descriptors that the process may open. It is
	// optional; 0 means unknown.
	MaxDescriptors int `json:"max_descriptors,omitempty"`
	// LinkMbps is the bandwidth of the host's network link in megabit/s. It is optional;
	// 0 means unknown.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	Bounds   Bounds  `json:"bounds"`
	// LogLevel is the minimum level of log lines; empty means "info".
	LogLevel string `json:"log_level,omitempty"`
}

// Bounds are the limits that the platform sets.
type Bounds struct {
	// MaxLeaseMS is the longest lease that workers grant, in milliseconds.
	MaxLeaseMS int64 `json:"max_lease_ms"`
	// StopGraceMS is how long a stopped task may keep running, in milliseconds.
	StopGraceMS int64 `json:"stop_grace_ms"`
	// MachineLeaseMS is how long machine orders of another owner may be in flight, in
	// milliseconds; a new owner gives none until then.
	MachineLeaseMS int64 `json:"machine_lease_ms,omitempty"`
	// DeclarationsMS is the time within which a version of the declarations has to be in
	// force after its acknowledgement, in milliseconds. Zero means two seconds.
	DeclarationsMS int64 `json:"declarations_ms,omitempty"`
	// EvacuationMS is how soon after its acknowledgement an evacuation of a failure domain has
	// to be obeyed, in milliseconds. Zero means that operators evacuate none.
	EvacuationMS int64 `json:"evacuation_ms,omitempty"`
	// ShutdownSeconds is the time between the first signal and the end of the process.
	ShutdownSeconds float64 `json:"shutdown_s"`
	// RemoteFactor multiplies the duration of a task that runs away from its data.
	RemoteFactor float64 `json:"remote_factor"`
	// RetentionSeconds is how long callers can query a job after its end.
	RetentionSeconds float64 `json:"retention_s"`
	// AppendBytes is the greatest size of one append to the store.
	AppendBytes int `json:"append_bytes"`
}

const defaultDeclarationsBound = 2 * time.Second

// DeclarationsBound returns the time within which a version of the declarations has to be
// in force after its acknowledgement.
func (b Bounds) DeclarationsBound() time.Duration {
	if b.DeclarationsMS == 0 {
		return defaultDeclarationsBound
	}
	return Milliseconds(b.DeclarationsMS)
}

// OperatorsBound returns the time within which everything that operators declare has to be
// known after its acknowledgement.
func (b Bounds) OperatorsBound() time.Duration {
	if b.EvacuationMS == 0 {
		return b.DeclarationsBound()
	}
	return min(b.DeclarationsBound(), Milliseconds(b.EvacuationMS))
}

// Limits of the settings' values.
const (
	maxBoundMS = 3_600_000
	// minDeclarationsMS keeps the reads of what operators declare to ten a second.
	minDeclarationsMS   = 200
	maxShutdownSeconds  = 3600
	maxRetentionSeconds = 86_400
	// minAppendBytes fits the largest job that callers may submit.
	minAppendBytes  = 1 << 16
	maxAppendBytes  = 1 << 30
	minMemoryMB     = 32
	maxMemoryMB     = 1 << 20
	maxProcessors   = 1024
	minDescriptors  = 64
	maxDescriptors  = 1 << 30
	maxRemoteFactor = 100
	maxLinkMbps     = 10_000_000
)

// LoadScheduler reads the settings file of siskin-scheduler. The error names each
// invalid field.
func LoadScheduler(path string) (Scheduler, error) { return load[Scheduler](path) }

// Validate returns the errors of all invalid settings, joined, or nil.
func (s Scheduler) Validate() error {
	c := &jsonfield.Checker{}
	c.Name("host", string(s.Host))
	c.Name("failure_domain", string(s.Domain))
	checkAddresses(c, []address{
		{"callers", s.Callers, true, false},
		{"readiness", s.Readiness, true, false},
		{"peer", s.Peer, true, false},
		{"metrics", s.Metrics, true, true},
		{"store", s.Store, false, false},
		{"machines", s.Machines, false, true},
		{"advice", s.Advice, false, true},
	})
	jsonfield.Range(c, "memory_mb", s.MemoryMB, minMemoryMB, maxMemoryMB)
	jsonfield.Range(c, "processors", s.Processors, 1, maxProcessors)
	if s.MaxDescriptors != 0 {
		jsonfield.Range(c, "max_descriptors", s.MaxDescriptors, minDescriptors, maxDescriptors)
	}
	jsonfield.Range(c, "link_mbps", s.LinkMbps, 0, maxLinkMbps)
	jsonfield.Range(c, "bounds.max_lease_ms", s.Bounds.MaxLeaseMS, 1, maxBoundMS)
	jsonfield.Range(c, "bounds.stop_grace_ms", s.Bounds.StopGraceMS, 0, maxBoundMS)
	jsonfield.Range(c, "bounds.machine_lease_ms", s.Bounds.MachineLeaseMS, 0, maxBoundMS)
	if s.Bounds.DeclarationsMS != 0 {
		jsonfield.Range(c, "bounds.declarations_ms", s.Bounds.DeclarationsMS, minDeclarationsMS, maxBoundMS)
	}
	if s.Bounds.EvacuationMS != 0 {
		jsonfield.Range(c, "bounds.evacuation_ms", s.Bounds.EvacuationMS, minDeclarationsMS, maxBoundMS)
	}
	jsonfield.Range(c, "bounds.shutdown_s", s.Bounds.ShutdownSeconds, 0, maxShutdownSeconds)
	jsonfield.Range(c, "bounds.remote_factor", s.Bounds.RemoteFactor, 0, maxRemoteFactor)
	jsonfield.Range(c, "bounds.retention_s", s.Bounds.RetentionSeconds, 1, maxRetentionSeconds)
	jsonfield.Range(c, "bounds.append_bytes", s.Bounds.AppendBytes, minAppendBytes, maxAppendBytes)
	checkLogLevel(c, s.LogLevel)
	return c.Err()
}

// Seconds converts a setting in seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Milliseconds converts a setting in milliseconds to a duration.
func Milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
