package owner

import (
	"context"
	"fmt"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

// Release gives up the shard. It must not run concurrently with Step. After an
// error the next Follow shows whether the release took effect.
func (o *Owner) Release(ctx context.Context) error {
	_, epoch := o.CurrentOwner()
	_, err := o.writer.Commit(ctx, epoch+1, record.Record{Claim: &record.Claim{Release: true}})
	if err != nil {
		return fmt.Errorf("release shard %s: %w", o.config.Shard, err)
	}
	event.ShardReleased.Log(o.config.Logger, logrus.Fields{"shard": o.config.Shard, "epoch": epoch + 1})
	return nil
}

// HasJob reports whether the shard has a job, or had it before it was removed
// from the table.
func (o *Owner) HasJob(id platform.JobID) bool {
	var has bool
	o.follower.View(func() { has = o.table.Job(id) != nil || o.table.RecentlyPurged(id) })
	return has
}
