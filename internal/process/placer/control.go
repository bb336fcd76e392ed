package placer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
	"github.com/siskinvane/siskinvane/internal/process/member"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/task"
	"github.com/siskinvane/siskinvane/internal/process/telemetry"
	"github.com/siskinvane/siskinvane/internal/process/web"
	"github.com/siskinvane/siskinvane/internal/version/declaration"
)

// Paths of the control interface for operators.
const (
	PathPublish = "/v1/publish"
	PathStatus  = "/v1/status"
	PathSubmit  = "/v1/submit"
	PathCancel  = "/v1/cancel"
	PathExplain = "/v1/explain"
	PathConfig  = "/v1/config"
)

// PublishRequest publishes a new version of the declarations.
type PublishRequest struct {
	Base     uint64          `json:"base"`
	Operator string          `json:"operator"`
	Document json.RawMessage `json:"document"`
}

// PublishReply returns the version that the publish created.
type PublishReply struct {
	Version uint64 `json:"version"`
}

// SubmitRequest submits a batch job. It is idempotent for the same ID.
type SubmitRequest struct {
	ID       platform.JobID        `json:"id"`
	Template platform.TemplateName `json:"template"`
	Tasks    uint32                `json:"tasks"`
}

// CancelRequest requests the cancellation of a job.
type CancelRequest struct {
	ID platform.JobID `json:"id"`
}

// Status is the state of the whole system as seen by one host.
type Status struct {
	Version uint64               `json:"version"`
	Members []member.Heartbeat   `json:"members"`
	Shards  []ShardStatus        `json:"shards"`
	Tasks   []TaskStatus         `json:"tasks"`
	Config  declaration.Document `json:"config"`
}

// ShardStatus names the owner of a shard.
type ShardStatus struct {
	Shard platform.ShardID `json:"shard"`
	Owner platform.HostID  `json:"owner"`
	Epoch platform.Epoch   `json:"epoch"`
}

// TaskStatus describes one task to operators.
type TaskStatus struct {
	Task     platform.TaskID   `json:"task"`
	Shard    platform.ShardID  `json:"shard"`
	State    string            `json:"state"`
	Attempt  platform.Attempt  `json:"attempt"`
	Worker   platform.WorkerID `json:"worker,omitempty"`
	Endpoint string            `json:"endpoint,omitempty"`
	Reason   string            `json:"reason,omitempty"`
}

func (p *Placer) registerRoutes() {
	p.controlServer.POST(PathPublish, p.handlePublish)
	p.controlServer.GET(PathStatus, p.handleStatus)
	p.controlServer.POST(PathSubmit, p.handleSubmit)
	p.controlServer.POST(PathCancel, p.handleCancel)
	p.controlServer.GET(PathExplain, p.handleExplain)
	p.controlServer.POST(PathDrain, p.handleDrain)
	p.controlServer.GET(telemetry.PathMetrics, p.handleMetrics)
	p.controlServer.GET(PathJob, p.handleJob)
	p.controlServer.GET(PathConfig, p.handleConfig)
	p.controlServer.GET(PathVersions, p.handleVersions)
	p.controlServer.GET(PathReady, p.handleReady)
}

func (p *Placer) handlePublish(ctx context.Context, c *app.RequestContext) {
	var req PublishRequest
	if !web.ReadJSON(c, &req) {
		return
	}
	if _, err := declaration.Parse(req.Document); err != nil {
		web.WriteError(c, 422, httpapi.CodeInvalid, err.Error())
		return
	}
	reply, err := p.publish(ctx, req)
	var stale *staleBaseError
	switch {
	case errors.As(err, &stale):
		web.WriteError(c, 409, httpapi.CodeStale, err.Error())
	case errors.Is(err, platform.ErrOutcomeUnknown):
		web.WriteError(c, 504, httpapi.CodeOutcomeUnknown, "the publish may take effect yet: "+err.Error())
	case err != nil:
		web.WriteError(c, 503, httpapi.CodeUnavailable, err.Error())
	default:
		web.WriteJSON(c, reply)
	}
}

func (p *Placer) handleSubmit(ctx context.Context, c *app.RequestContext) {
	var req SubmitRequest
	if !web.ReadJSON(c, &req) {
		return
	}
	job, err := p.newJob(req)
	if err != nil {
		web.WriteError(c, 422, httpapi.CodeInvalid, err.Error())
		return
	}
	err = p.submitJob(ctx, job)
	if errors.Is(err, errRefused) {
		web.WriteError(c, 422, httpapi.CodeRefused, err.Error())
		return
	}
	if err != nil {
		web.WriteError(c, 503, httpapi.CodeUnavailable, err.Error())
		return
	}
	web.WriteJSON(c, None{})
}

func (p *Placer) newJob(req SubmitRequest) (record.Job, error) {
	var t declaration.Template
	var found bool
	p.configFollower.View(func() { t, found = p.configReplay.Document().Template(req.Template) })
	if !found {
		return record.Job{}, fmt.Errorf("template: %q is not declared", req.Template)
	}
	if req.ID == "" || req.Tasks == 0 {
		return record.Job{}, fmt.Errorf("id and tasks: want a name and at least 1")
	}
	return record.Job{
		ID: req.ID, Team: t.Team, Class: t.Class, Template: t.Name, Count: req.Tasks,
		Size: t.Size.Resources(), WorkMillis: uint64(t.WorkSeconds) * 1000,
		SubmittedMillis: p.config.Now().UnixMilli(),
	}, nil
}

func (p *Placer) handleCancel(_ context.Context, c *app.RequestContext) {
	var req CancelRequest
	if !web.ReadJSON(c, &req) {
		return
	}
	found, err := p.cancelJob(req.ID)
	switch {
	case err != nil:
		web.WriteError(c, 503, httpapi.CodeUnavailable, err.Error())
	case !found:
		web.WriteError(c, 404, httpapi.CodeNotFound, fmt.Sprintf("job %q is not known", req.ID))
	default:
		web.WriteJSON(c, None{})
	}
}

func (p *Placer) handleStatus(_ context.Context, c *app.RequestContext) {
	web.WriteJSON(c, p.status())
}

func (p *Placer) status() Status {
	var s Status
	p.configFollower.View(func() {
		s.Version = p.configReplay.Version()
		s.Config = *p.configReplay.Document()
	})
	for _, m := range p.members.Live(p.config.Now()) {
		s.Members = append(s.Members, m.Heartbeat)
		for _, owned := range m.Owned {
			s.Shards = append(s.Shards, ShardStatus{Shard: owned.Shard, Owner: m.Host, Epoch: owned.Epoch})
			var reply TasksReply
			if p.peers.Call(m.Peer, PeerService, "Tasks", ShardArgs{Shard: owned.Shard}, &reply) == nil {
				s.Tasks = append(s.Tasks, taskStatuses(owned.Shard, reply.Tasks)...)
			}
		}
	}
	return s
}

func taskStatuses(id platform.ShardID, tasks []task.Task) []TaskStatus {
	out := make([]TaskStatus, 0, len(tasks))
	for _, t := range tasks {
		out = append(out, TaskStatus{
			Task: t.ID, Shard: id, State: t.State.String(), Attempt: t.Attempt,
			Worker: t.Worker, Endpoint: t.Endpoint, Reason: t.Reason,
		})
	}
	return out
}
