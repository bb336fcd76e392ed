// Package settings reads and validates the JSON settings of the programs. They are the
// only source of a process's addresses and failure domain.
package settings

import (
	"fmt"
	"math"
	"net/netip"
	"os"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/version/jsonfield"
)

// maxDrainNoticeMS limits drain_notice_ms, because the whole stop has to finish within
// its time limit.
const maxDrainNoticeMS = 5000

// minLogRetentionSeconds leaves time to retry a failed snapshot.
const minLogRetentionSeconds = 60

// Host describes the entry host that a process runs on and its platform. siskin-entry and
// siskin-placer on a host read the same file.
type Host struct {
	// ID is the host's name in the host list.
	ID platform.HostID `json:"id"`
	// Domain and Region are the host's location.
	Domain platform.FailureDomain `json:"failure_domain"`
	Region platform.Region        `json:"region"`
	// Log and HostList are the addresses of the platform's services.
	Log      netip.AddrPort `json:"log"`
	HostList netip.AddrPort `json:"host_list"`
	// Peer is the address of the placer's peer service (net/rpc).
	Peer netip.AddrPort `json:"peer"`
	// Control is the address of the placer's HTTP interface for operators.
	Control netip.AddrPort `json:"control"`
	// Entry is the address of the entry's HTTP interface for callers.
	Entry netip.AddrPort `json:"entry"`
	// EntryPeer is the address of the entry's peer service (net/rpc).
	EntryPeer netip.AddrPort `json:"entry_peer"`
	// EntryAdmin is the address of the entry's HTTP interface for readiness
	// and metrics. Without it the entry offers neither.
	EntryAdmin netip.AddrPort `json:"entry_admin,omitzero"`
	// SessionKeys is the path of the file with the keys of session tokens.
	// Without it the entry neither issues nor accepts tokens.
	SessionKeys string `json:"session_keys,omitempty"`
	// LogRetentionSeconds is how long the log retains an entry, in seconds. Zero means
	// one hour. Snapshots are written well within this time.
	LogRetentionSeconds int64 `json:"log_retention_seconds,omitempty"`
	// Trace configures the export of spans.
	Trace Trace `json:"trace,omitzero"`
	// LogLevel is the minimum level of log lines: "debug", "info", "warning" or "error".
	// Empty means "info".
	LogLevel string `json:"log_level,omitempty"`
	// FreshKeyHistory is set for the first start of an installation, when no earlier
	// entry can have executed requests with an idempotency key.
	FreshKeyHistory bool `json:"fresh_key_history,omitempty"`
	// DrainNoticeMS is how long a stopping entry continues to serve after it has reported
	// itself not ready, in milliseconds: the time until the load balancer notices. Zero
	// means two seconds.
	DrainNoticeMS int64 `json:"drain_notice_ms,omitempty"`
}

// defaultDrainNotice suits a load balancer that checks readiness every second.
const defaultDrainNotice = 2 * time.Second

// DrainNotice returns how long a stopping entry continues to serve after it has reported
// itself not ready.
func (h Host) DrainNotice() time.Duration {
	if h.DrainNoticeMS == 0 {
		return defaultDrainNotice
	}
	return time.Duration(h.DrainNoticeMS) * time.Millisecond
}

// Trace configures the export and the sampling of spans.
type Trace struct {
	// File receives one JSON span per line; "stdout" means standard output and empty
	// means no export.
	File string `json:"file,omitempty"`
	// Ratio is the fraction of new traces that are sampled, 0 to 1. A trace that the
	// caller samples is always sampled.
	Ratio float64 `json:"ratio,omitempty"`
}

// Load reads a settings file. The error names each invalid field.
func Load(path string) (Host, error) { return load[Host](path) }

// Parse decodes and validates settings. It returns the zero Host if any field is invalid.
func Parse(data []byte) (Host, error) { return parse[Host](data) }

// validator is implemented by every settings type.
type validator interface{ Validate() error }

func load[D validator](path string) (D, error) {
	var zero D
	data, err := os.ReadFile(path)
	if err != nil {
		return zero, fmt.Errorf("read settings: %w", err)
	}
	d, err := parse[D](data)
	if err != nil {
		return zero, fmt.Errorf("settings %s: %w", path, err)
	}
	return d, nil
}

func parse[D validator](data []byte) (D, error) {
	var d, zero D
	if err := jsonfield.Decode(data, &d); err != nil {
		return zero, err
	}
	if err := d.Validate(); err != nil {
		return zero, err
	}
	return d, nil
}

// Validate returns the errors of all invalid settings, joined, or nil.
func (h Host) Validate() error {
	c := &jsonfield.Checker{}
	c.Name("id", string(h.ID))
	c.Name("failure_domain", string(h.Domain))
	c.Name("region", string(h.Region))
	h.checkAddresses(c)
	jsonfield.Range(c, "drain_notice_ms", h.DrainNoticeMS, 0, maxDrainNoticeMS)
	if h.LogRetentionSeconds != 0 {
		jsonfield.Range(c, "log_retention_seconds", h.LogRetentionSeconds, minLogRetentionSeconds, math.MaxInt32)
	}
	jsonfield.Range(c, "trace.ratio", h.Trace.Ratio, 0, 1)
	checkLogLevel(c, h.LogLevel)
	return c.Err()
}

func checkLogLevel(c *jsonfield.Checker, level string) {
	switch level {
	case "", "debug", "info", "warning", "error":
	default:
		c.Fail("log_level", level, `"debug", "info", "warning" or "error"`)
	}
}

// address is a setting that holds an IP and a port. local is set for addresses that the
// host itself listens on.
type address struct {
	path     string
	addr     netip.AddrPort
	local    bool
	optional bool
}

func (h Host) checkAddresses(c *jsonfield.Checker) {
	checkAddresses(c, []address{
		{"log", h.Log, false, false},
		{"host_list", h.HostList, false, false},
		{"peer", h.Peer, true, false},
		{"control", h.Control, true, false},
		{"entry", h.Entry, true, false},
		{"entry_peer", h.EntryPeer, true, false},
		{"entry_admin", h.EntryAdmin, true, true},
	})
}

// checkAddresses checks that each address has an IP and a port, and that no two local
// addresses are the same.
func checkAddresses(c *jsonfield.Checker, addresses []address) {
	taken := map[netip.AddrPort]string{}
	for _, a := range addresses {
		if a.optional && a.addr == (netip.AddrPort{}) {
			continue
		}
		c.Require(a.addr.IsValid() && a.addr.Port() != 0, a.path, a.addr.String(), "IP:port with a port of 1 to 65535")
		if !a.local || !a.addr.IsValid() {
			continue
		}
		other, used := taken[a.addr]
		c.Require(!used, a.path, a.addr.String(), "another address than "+other)
		taken[a.addr] = a.path
	}
}
