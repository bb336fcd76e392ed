package placer

import (
	"context"
	"fmt"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
	"github.com/siskinvane/siskinvane/internal/process/owner"
	"github.com/siskinvane/siskinvane/internal/process/web"
)

// ExplainArgs identifies a task of a shard.
type ExplainArgs struct {
	Shard platform.ShardID
	Task  platform.TaskID
}

// ExplainReply returns an explanation; Found is false if the task is not in the
// shard.
type ExplainReply struct {
	Found       bool
	Explanation owner.Explanation
}

// Explain describes a task of a shard that this host owns.
func (p *Peer) Explain(a ExplainArgs, reply *ExplainReply) error {
	o, err := p.placer.ownedShard(a.Shard)
	if err != nil {
		return err
	}
	reply.Explanation, reply.Found = o.Explain(a.Task)
	return nil
}

// handleExplain asks the owners of all shards to explain a task.
func (p *Placer) handleExplain(_ context.Context, c *app.RequestContext) {
	id := platform.TaskID(c.Query("task"))
	p.mu.Lock()
	shards := p.layout.Shards()
	p.mu.Unlock()
	unanswered := 0
	for _, s := range shards {
		var reply ExplainReply
		if err := p.callOwner(s, "Explain", ExplainArgs{Shard: s, Task: id}, &reply); err != nil {
			unanswered++
			continue
		}
		if reply.Found {
			web.WriteJSON(c, reply.Explanation)
			return
		}
	}
	if unanswered > 0 {
		web.WriteError(c, 503, httpapi.CodeUnavailable, fmt.Sprintf("%d of %d shards did not answer", unanswered, len(shards)))
		return
	}
	web.WriteError(c, 404, httpapi.CodeNotFound, fmt.Sprintf("no shard holds task %q", id))
}

// ConfigReply is the version of the declarations in force.
type ConfigReply struct {
	Version  uint64 `json:"version"`
	Operator string `json:"operator"`
	// Document is null at version 0.
	Document []byte `json:"document"`
}

func (p *Placer) handleConfig(_ context.Context, c *app.RequestContext) {
	var reply ConfigReply
	p.configFollower.View(func() {
		reply = ConfigReply{Version: p.configReplay.Version(), Operator: p.configReplay.Operator(), Document: p.configReplay.Raw()}
	})
	web.WriteJSON(c, reply)
}
