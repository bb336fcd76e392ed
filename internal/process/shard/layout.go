// Package shard contains the rules for shards, without I/O: which racks form a
// shard, which host owns it according to its log stream, which host should claim
// it, and how team quotas and service replicas are divided among shards.
package shard

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

// ShardsPerDomain is the number of shards of a failure domain. It is a power of two
// so that doubling it would split each shard in two. It is part of the log format:
// hosts with different values would disagree on which host owns a worker.
const ShardsPerDomain = 8

// ForRack returns the shard of a rack. It depends only on the names, so that a
// worker keeps its shard when the host list changes.
func ForRack(domain platform.FailureDomain, rack platform.RackID) platform.ShardID {
	index := xxhash.Sum64String(rackKey(domain, rack)) % ShardsPerDomain
	return platform.ShardID(fmt.Sprintf("%s-%d", domain, index))
}

// DomainOf returns the failure domain of a shard.
func DomainOf(id platform.ShardID) platform.FailureDomain {
	s := string(id)
	if i := strings.LastIndexByte(s, '-'); i >= 0 {
		return platform.FailureDomain(s[:i])
	}
	return platform.FailureDomain(s)
}

func rackKey(domain platform.FailureDomain, rack platform.RackID) string {
	return string(domain) + "/" + string(rack)
}

// Layout is the set of racks recorded in the log and the shards that they form. It
// is immutable.
type Layout struct {
	racks  []record.Rack
	shards []platform.ShardID
}

// NewLayout returns the layout of the given racks.
func NewLayout(racks []record.Rack) *Layout {
	l := &Layout{racks: slices.Clone(racks)}
	slices.SortFunc(l.racks, record.CompareRacks)
	l.racks = slices.Compact(l.racks)
	for _, r := range l.racks {
		l.shards = append(l.shards, ForRack(r.Domain, r.Rack))
	}
	slices.Sort(l.shards)
	l.shards = slices.Compact(l.shards)
	return l
}

// Racks returns all racks, sorted by failure domain and name.
func (l *Layout) Racks() []record.Rack { return l.racks }

// Shards returns all shards, sorted by name.
func (l *Layout) Shards() []platform.ShardID { return l.shards }

// MissingRacks returns the racks of the workers in hosts that are not in the
// layout, sorted by failure domain and name.
func (l *Layout) MissingRacks(hosts []platform.Host) []record.Rack {
	var missing []record.Rack
	for _, h := range hosts {
		r := record.Rack{Domain: h.Domain, Rack: h.Rack}
		if h.Role != platform.RoleWorker || slices.Contains(missing, r) {
			continue
		}
		if _, known := slices.BinarySearchFunc(l.racks, r, record.CompareRacks); !known {
			missing = append(missing, r)
		}
	}
	slices.SortFunc(missing, record.CompareRacks)
	return missing
}
