package placer

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/member"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/settings"
	"github.com/siskinvane/siskinvane/internal/standin/logservice"
)

const followedShard = platform.ShardID("catania-00")

// countingLog counts the reads of the shard's stream.
type countingLog struct {
	platform.Log
	reads int
}

func (c *countingLog) Read(ctx context.Context, name string, from platform.Offset, limit int) ([]platform.Entry, error) {
	if name == record.ShardStream(followedShard) {
		c.reads++
	}
	return c.Log.Read(ctx, name, from, limit)
}

// TestFollowPeriods lets an owner and a standby follow a shard in steps of 200 ms
// for 10 s. They must read the stream only once per ownerFollowPeriod and
// standbyFollowPeriod.
func TestFollowPeriods(t *testing.T) {
	now := time.Unix(1000, 0)
	store := logservice.NewStore()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	start := func(host platform.HostID) (*Placer, *localShard, *countingLog) {
		log := &countingLog{Log: store}
		p := newPlacer(Config{
			Host: settings.Host{ID: host}, Log: log, Logger: logger, Now: func() time.Time { return now },
		})
		s, err := p.ensureLocalShard(followedShard)
		must.NoError(t, err)
		t.Cleanup(s.owner.Close)
		must.NoError(t, p.followShard(t.Context(), s))
		return p, s, log
	}
	owner, ownedShard, ownerLog := start("a")
	won, err := ownedShard.owner.Claim(t.Context())
	must.NoError(t, err)
	must.True(t, won)
	standby, standbyShard, standbyLog := start("b")

	ownerLog.reads, standbyLog.reads = 0, 0
	for i := range 50 {
		now = now.Add(200 * time.Millisecond)
		standby.members.Observe(member.Heartbeat{
			Host: "a", Sequence: uint64(i + 1),
			Facts: member.Facts{Owned: []member.OwnedShard{{Shard: followedShard, Epoch: 1}}},
		}, now)
		must.NoError(t, owner.followShard(t.Context(), ownedShard))
		must.NoError(t, standby.followShard(t.Context(), standbyShard))
	}
	must.Eq(t, 10, ownerLog.reads)
	must.Eq(t, 5, standbyLog.reads)
}
