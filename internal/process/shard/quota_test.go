package shard

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/standin/property"
	"github.com/siskinvane/siskinvane/internal/version/declaration"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { property.Main(m, 100, 0) }

func drawRacks(t *rapid.T) []record.Rack {
	var racks []record.Rack
	for d := range rapid.IntRange(1, 4).Draw(t, "domains") {
		for r := range rapid.IntRange(1, 9).Draw(t, "racks") {
			racks = append(racks, record.Rack{
				Domain: platform.FailureDomain(fmt.Sprintf("d%d", d)), Rack: platform.RackID(fmt.Sprintf("r%d", r)),
			})
		}
	}
	return racks
}

func drawSize(t *rapid.T) declaration.Size {
	return declaration.Size{
		Processors: float64(rapid.IntRange(1, 16).Draw(t, "processors")),
		MemoryMB:   rapid.Int64Range(1, 9000).Draw(t, "memory"),
	}
}

func drawDocument(t *rapid.T) *declaration.Document {
	doc := &declaration.Document{}
	for i := range rapid.IntRange(1, 3).Draw(t, "teams") {
		team := platform.TeamName(fmt.Sprintf("t%d", i))
		quota := declaration.Quota{
			Processors: float64(rapid.IntRange(0, 200).Draw(t, "quota processors")),
			MemoryMB:   rapid.Int64Range(0, 90000).Draw(t, "quota memory"),
		}
		doc.Teams = append(doc.Teams, declaration.Team{Name: team, Quota: quota})
		doc.Services = append(doc.Services, declaration.Service{
			Name: platform.ServiceName("s" + team), Team: team, Size: drawSize(t),
			Replicas: rapid.IntRange(0, 12).Draw(t, "replicas"),
		})
		doc.Templates = append(doc.Templates, declaration.Template{Name: "b", Team: team, Size: drawSize(t)})
	}
	return doc
}

// TestAllotmentProperties checks on random documents that shares stay within the
// quota, that each replica has exactly one shard, that replicas are spread over the
// failure domains, and that a job's home shard has a share of its team's quota.
func TestAllotmentProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc, layout := drawDocument(t), NewLayout(drawRacks(t))
		a := NewAllotment(doc, layout)
		for _, team := range doc.Teams {
			var sum platform.Resources
			for _, id := range layout.Shards() {
				share := a.QuotaShares(id)[team.Name]
				must.True(t, platform.Resources{}.Fits(share), must.Sprintf("negative share %v", share))
				sum = sum.Add(share)
			}
			quota := declaration.Size(team.Quota).Resources()
			sum.Slots, quota.Slots = 0, 0
			must.True(t, sum.Fits(quota), must.Sprintf("shares %v of quota %v", sum, quota))
			home, ok := a.HomeShard(team.Name, "monday")
			must.True(t, ok)
			_, shared := a.QuotaShares(home)[team.Name]
			must.True(t, shared)
		}
		for _, s := range doc.Services {
			checkReplicas(t, a, layout, s)
		}
	})
}

func checkReplicas(t *rapid.T, a *Allotment, layout *Layout, s declaration.Service) {
	seen := map[uint32]bool{}
	byDomain := map[platform.FailureDomain]int{}
	for _, id := range layout.Shards() {
		for _, i := range a.Replicas(id)[s.Name] {
			must.False(t, seen[i], must.Sprintf("replica %d twice", i))
			seen[i] = true
			byDomain[DomainOf(id)]++
		}
	}
	must.Eq(t, s.Replicas, len(seen))
	domains := map[platform.FailureDomain]bool{}
	for _, r := range layout.Racks() {
		domains[r.Domain] = true
	}
	for domain, n := range byDomain {
		must.LessEq(t, (s.Replicas+len(domains)-1)/len(domains), n, must.Sprintf("replicas in %s", domain))
	}
}

// TestSharesFitLargestTask checks that every share fits a task of the team's
// largest template, provided that the quota does.
func TestSharesFitLargestTask(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc, layout := drawDocument(t), NewLayout(drawRacks(t))
		doc.Services = nil
		a := NewAllotment(doc, layout)
		for _, team := range doc.Teams {
			largest := largestTemplate(doc, team.Name)
			if !largest.Fits(declaration.Size(team.Quota).Resources()) {
				continue
			}
			for _, id := range layout.Shards() {
				if share, ok := a.QuotaShares(id)[team.Name]; ok {
					must.True(t, largest.Fits(share), must.Sprintf("task %v in share %v", largest, share))
				}
			}
		}
	})
}

// TestLayoutIsStable checks that new racks remove no shards and that only racks of
// workers outside of the layout are reported as missing.
func TestLayoutIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		racks := drawRacks(t)
		kept := rapid.IntRange(1, len(racks)).Draw(t, "kept")
		all, some := NewLayout(racks), NewLayout(racks[:kept])
		for _, id := range some.Shards() {
			must.SliceContains(t, all.Shards(), id)
		}
		hosts := []platform.Host{{Role: platform.RoleWorker, Domain: "new", Rack: "r"}, {Role: platform.RoleEntry, Domain: "x"}}
		for _, r := range racks {
			hosts = append(hosts, platform.Host{Role: platform.RoleWorker, Domain: r.Domain, Rack: r.Rack})
		}
		must.Eq(t, []record.Rack{{Domain: "new", Rack: "r"}}, all.MissingRacks(hosts))
	})
}

// TestHomeShardsFollowRackCounts checks that 4000 jobs of a team with a large quota
// reach every shard in proportion to its racks, within a factor of two.
func TestHomeShardsFollowRackCounts(t *testing.T) {
	var racks []record.Rack
	for i := range 24 {
		racks = append(racks, record.Rack{Domain: platform.FailureDomain(fmt.Sprintf("d%d", i%3)), Rack: platform.RackID(fmt.Sprintf("r%d", i/3))})
	}
	layout := NewLayout(racks)
	doc := &declaration.Document{
		Teams:     []declaration.Team{{Name: "t", Quota: declaration.Quota{Processors: 1000, MemoryMB: 1e6}}},
		Templates: []declaration.Template{{Name: "b", Team: "t", Size: declaration.Size{Processors: 1, MemoryMB: 100}}},
	}
	a := NewAllotment(doc, layout)
	const jobs = 4000
	count := map[platform.ShardID]int{}
	for i := range jobs {
		id, ok := a.HomeShard("t", platform.JobID(fmt.Sprintf("job-%d", i)))
		must.True(t, ok)
		count[id]++
	}
	perShard := map[platform.ShardID]int{}
	for _, r := range racks {
		perShard[ForRack(r.Domain, r.Rack)]++
	}
	for id, n := range perShard {
		fair := jobs * n / len(racks)
		must.Between(t, fair/2, count[id], 2*fair, must.Sprintf("jobs of %s", id))
	}
}

func BenchmarkNewAllotment(b *testing.B) {
	var racks []record.Rack
	for i := range 175 {
		racks = append(racks, record.Rack{Domain: platform.FailureDomain(fmt.Sprintf("d%d", i%8)), Rack: platform.RackID(fmt.Sprintf("r%d", i/8))})
	}
	layout := NewLayout(racks)
	doc := &declaration.Document{}
	for i := range 340 {
		team := platform.TeamName(fmt.Sprintf("t%d", i))
		doc.Teams = append(doc.Teams, declaration.Team{Name: team, Quota: declaration.Quota{Processors: 200, MemoryMB: 1e6}})
		doc.Services = append(doc.Services, declaration.Service{Name: platform.ServiceName(team), Team: team, Replicas: 17, Size: declaration.Size{Processors: 1, MemoryMB: 1000}})
		doc.Templates = append(doc.Templates, declaration.Template{Name: "b", Team: team, Size: declaration.Size{Processors: 2, MemoryMB: 1000}})
	}
	b.ReportAllocs()
	for b.Loop() {
		NewAllotment(doc, layout)
	}
}
