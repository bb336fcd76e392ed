package placer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/member"
)

// TestLatestOwner looks up a shard's owner while members report different claims.
func TestLatestOwner(t *testing.T) {
	now := time.Unix(1_780_000_000, 0)
	owns := func(host platform.HostID, epoch platform.Epoch, silence time.Duration) member.Member {
		return member.Member{HeardAt: now.Add(-silence), Heartbeat: member.Heartbeat{
			Host: host, Facts: member.Facts{Owned: []member.OwnedShard{{Shard: "catania-00", Epoch: epoch}}},
		}}
	}
	cases := []struct {
		name  string
		all   []member.Member
		host  platform.HostID
		found bool
	}{
		{"nobody", nil, "", false},
		{"one", []member.Member{owns("a", 1, 0)}, "a", true},
		{"superseded first", []member.Member{owns("a", 1, 0), owns("b", 2, 0)}, "b", true},
		{"superseded last", []member.Member{owns("a", 2, 0), owns("b", 1, 0)}, "a", true},
		{"latest is silent", []member.Member{owns("a", 1, 0), owns("b", 2, member.DeadAfter+1)}, "b", false},
		{"superseded is silent", []member.Member{owns("a", 1, member.DeadAfter+1), owns("b", 2, 0)}, "b", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m, _, found := latestOwner("catania-00", c.all, now)
			must.Eq(t, c.found, found)
			must.Eq(t, c.host, m.Host)
		})
	}
}
