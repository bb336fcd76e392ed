package shard

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/version/declaration"
)

// unlimitedSlots is the number of slots of every quota: quotas do not limit slots.
const unlimitedSlots = math.MaxInt32

// Allotment divides replicas and quotas among shards. It is a pure function of one
// version of the declarations and the layout. Every host therefore computes the
// same one, and a shard starts tasks without asking other shards. It is immutable.
type Allotment struct {
	replicas    map[platform.ShardID]map[platform.ServiceName][]uint32
	quotaShares map[platform.ShardID]map[platform.TeamName]platform.Resources
	homeRacks   map[platform.TeamName][]record.Rack
}

// NewAllotment returns the allotment of a document. A team's quota covers its
// service replicas first, in the order of the document. The remainder is divided
// equally among the team's home racks, and a shard gets the sum of its racks.
// Shares never add up to more than the quota.
func NewAllotment(doc *declaration.Document, l *Layout) *Allotment {
	a := &Allotment{
		replicas:    map[platform.ShardID]map[platform.ServiceName][]uint32{},
		quotaShares: map[platform.ShardID]map[platform.TeamName]platform.Resources{},
		homeRacks:   map[platform.TeamName][]record.Rack{},
	}
	if len(l.racks) == 0 {
		return a
	}
	for _, team := range doc.Teams {
		remaining := declaration.Size(team.Quota).Resources()
		remaining.Slots = unlimitedSlots
		for i := range doc.Services {
			if doc.Services[i].Team == team.Name {
				remaining = a.assignReplicas(&doc.Services[i], l, remaining)
			}
		}
		a.divideBatchQuota(team.Name, largestTemplate(doc, team.Name), l, remaining)
	}
	return a
}

// assignReplicas assigns the replicas of a service to shards and returns what is
// left of its team's quota. A replica that exceeds the remaining quota is assigned
// too, but its shard gets no share for it.
func (a *Allotment) assignReplicas(s *declaration.Service, l *Layout, remaining platform.Resources) platform.Resources {
	domains := rankDomains(string(s.Name), l.racks)
	size := s.Size.Resources()
	for i := range s.Replicas {
		key := string(s.Name) + "#" + strconv.Itoa(i)
		rack := bestRack(key, domains[i%len(domains)])
		id := ForRack(rack.Domain, rack.Rack)
		if a.replicas[id] == nil {
			a.replicas[id] = map[platform.ServiceName][]uint32{}
		}
		a.replicas[id][s.Name] = append(a.replicas[id][s.Name], uint32(i))
		if size.Fits(remaining) {
			a.addQuotaShare(id, s.Team, size)
			remaining = remaining.Sub(size)
		}
	}
	return remaining
}

// divideBatchQuota divides remaining among as many racks as possible such that each
// share fits a task of the team's largest template.
func (a *Allotment) divideBatchQuota(team platform.TeamName, largest platform.Resources, l *Layout, remaining platform.Resources) {
	shares := shareCount(remaining, largest, len(l.racks))
	homes := interleave(rankDomains(string(team), l.racks), string(team))[:shares]
	a.homeRacks[team] = homes
	n := int64(shares)
	share := platform.Resources{
		MilliCPU: remaining.MilliCPU / n, MemoryMB: remaining.MemoryMB / n,
		Accelerators: remaining.Accelerators / n, Slots: remaining.Slots / n,
	}
	for _, r := range homes {
		a.addQuotaShare(ForRack(r.Domain, r.Rack), team, share)
	}
}

func (a *Allotment) addQuotaShare(id platform.ShardID, team platform.TeamName, r platform.Resources) {
	if a.quotaShares[id] == nil {
		a.quotaShares[id] = map[platform.TeamName]platform.Resources{}
	}
	a.quotaShares[id][team] = a.quotaShares[id][team].Add(r)
}

// Replicas returns the replica indexes of each service that a shard runs. The caller
// must not change the result.
func (a *Allotment) Replicas(id platform.ShardID) map[platform.ServiceName][]uint32 {
	return a.replicas[id]
}

// QuotaShares returns the part of each team's quota that a shard may reserve. A
// team without an entry may reserve nothing there. The caller must not change the
// result.
func (a *Allotment) QuotaShares(id platform.ShardID) map[platform.TeamName]platform.Resources {
	return a.quotaShares[id]
}

// HomeShard returns the shard that runs a team's job. It returns false when the
// team is not declared or no rack is known.
func (a *Allotment) HomeShard(team platform.TeamName, job platform.JobID) (platform.ShardID, bool) {
	homes := a.homeRacks[team]
	if len(homes) == 0 {
		return "", false
	}
	best := bestRack(string(job), homes)
	return ForRack(best.Domain, best.Rack), true
}

// largestTemplate returns the maximum over a team's templates, by resource.
func largestTemplate(doc *declaration.Document, team platform.TeamName) platform.Resources {
	var largest platform.Resources
	for _, t := range doc.Templates {
		if t.Team != team {
			continue
		}
		size := t.Size.Resources()
		largest.MilliCPU = max(largest.MilliCPU, size.MilliCPU)
		largest.MemoryMB = max(largest.MemoryMB, size.MemoryMB)
		largest.Accelerators = max(largest.Accelerators, size.Accelerators)
	}
	return largest
}

// shareCount returns how many times largest fits into available, at least 1 and at
// most limit.
func shareCount(available, largest platform.Resources, limit int) int {
	shares := int64(limit)
	for _, d := range [][2]int64{
		{available.MilliCPU, largest.MilliCPU},
		{available.MemoryMB, largest.MemoryMB},
		{available.Accelerators, largest.Accelerators},
	} {
		if d[1] > 0 {
			shares = min(shares, d[0]/d[1])
		}
	}
	return int(max(shares, 1))
}

// rankDomains groups racks by failure domain and orders the groups by rendezvous
// hashing of key.
func rankDomains(key string, racks []record.Rack) [][]record.Rack {
	groups := slices.Collect(racksByDomain(racks))
	slices.SortFunc(groups, func(a, b []record.Rack) int {
		return cmp.Or(
			cmp.Compare(rendezvousScore(key, string(b[0].Domain)), rendezvousScore(key, string(a[0].Domain))),
			cmp.Compare(a[0].Domain, b[0].Domain))
	})
	return groups
}

// racksByDomain yields the racks of each failure domain. racks must be sorted.
func racksByDomain(racks []record.Rack) func(yield func([]record.Rack) bool) {
	return func(yield func([]record.Rack) bool) {
		for from := 0; from < len(racks); {
			to := from
			for to < len(racks) && racks[to].Domain == racks[from].Domain {
				to++
			}
			if !yield(racks[from:to]) {
				return
			}
			from = to
		}
	}
}

// rankRacks returns racks ordered by rendezvous hashing of key.
func rankRacks(key string, racks []record.Rack) []record.Rack {
	type scored struct {
		rack  record.Rack
		score uint64
	}
	ranked := make([]scored, len(racks))
	for i, r := range racks {
		ranked[i] = scored{r, rendezvousScore(key, rackKey(r.Domain, r.Rack))}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), record.CompareRacks(a.rack, b.rack))
	})
	out := make([]record.Rack, len(ranked))
	for i, r := range ranked {
		out[i] = r.rack
	}
	return out
}

// bestRack returns the rack that ranks first by rendezvous hashing of key.
func bestRack(key string, racks []record.Rack) record.Rack {
	best, bestScore := racks[0], uint64(0)
	for _, r := range racks {
		if s := rendezvousScore(key, rackKey(r.Domain, r.Rack)); s > bestScore {
			best, bestScore = r, s
		}
	}
	return best
}

// interleave returns the racks of all groups in round-robin order of the groups.
func interleave(groups [][]record.Rack, key string) []record.Rack {
	ranked := make([][]record.Rack, len(groups))
	for i, g := range groups {
		ranked[i] = rankRacks(key, g)
	}
	var out []record.Rack
	for i := 0; ; i++ {
		before := len(out)
		for _, g := range ranked {
			if i < len(g) {
				out = append(out, g[i])
			}
		}
		if len(out) == before {
			return out
		}
	}
}

func rendezvousScore(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
