package placer

import (
	"context"
	"fmt"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
	"github.com/siskinvane/siskinvane/internal/process/web"
)

// PathJob is the path of one job's tasks; the query names the job.
const PathJob = "/v1/job"

// JobArgs identifies a job of a shard.
type JobArgs struct {
	Shard platform.ShardID
	Job   platform.JobID
}

// JobReply lists the tasks of one job.
type JobReply struct {
	Tasks []TaskStatus `json:"tasks"`
}

// JobTasks lists the tasks of a job in a shard that this host owns.
func (p *Peer) JobTasks(a JobArgs, reply *TasksReply) error {
	o, err := p.placer.ownedShard(a.Shard)
	if err != nil {
		return err
	}
	reply.Tasks = o.TasksOf(a.Job)
	return nil
}

// handleJob asks the owners of all shards for a job's tasks.
func (p *Placer) handleJob(_ context.Context, c *app.RequestContext) {
	id := platform.JobID(c.Query("job"))
	p.mu.Lock()
	shards := p.layout.Shards()
	p.mu.Unlock()
	var out JobReply
	for _, s := range shards {
		var reply TasksReply
		if err := p.callOwner(s, "JobTasks", JobArgs{Shard: s, Job: id}, &reply); err != nil {
			web.WriteError(c, 503, httpapi.CodeUnavailable, fmt.Sprintf("shard %s: %v", s, err))
			return
		}
		out.Tasks = append(out.Tasks, taskStatuses(s, reply.Tasks)...)
	}
	if len(out.Tasks) == 0 {
		web.WriteError(c, 404, httpapi.CodeNotFound, fmt.Sprintf("no shard holds job %q", id))
		return
	}
	web.WriteJSON(c, out)
}
