package placer

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/web"
)

// PathDrain makes the called host hand over its shards. The call is idempotent and
// reports the progress.
const PathDrain = "/v1/drain"

// DrainReply reports the progress of a drain.
type DrainReply struct {
	Host platform.HostID `json:"host"`
	// Owned is the number of shards that the host still owns.
	Owned int `json:"owned"`
}

// handleDrain puts the host into the draining state until its next start: it
// claims no more shards and hands over those that it owns.
func (p *Placer) handleDrain(ctx context.Context, c *app.RequestContext) {
	p.drain(ctx)
	web.WriteJSON(c, DrainReply{Host: p.config.Host.ID, Owned: len(p.ownedShards())})
}
