package placer

import (
	"errors"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/directory"
	"github.com/siskinvane/siskinvane/internal/process/place"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/snapshot"
	"github.com/siskinvane/siskinvane/internal/process/task"
)

// PeerService is the net/rpc name of the placer's peer service.
const PeerService = "Peer"

// None is an empty argument or reply.
type None struct{}

// ShardArgs identifies a shard.
type ShardArgs struct {
	Shard platform.ShardID
}

// EndpointsArgs requests a shard's service endpoints.
type EndpointsArgs struct {
	Shard platform.ShardID
	// Since is the version that the requesting host has, in the shard's current
	// epoch.
	Since uint64
	// Cached requests the endpoints that the host last knew, even if it is not the
	// owner.
	Cached bool
}

// EndpointsReply lists the services whose endpoints changed.
type EndpointsReply struct {
	// Known is set if the host knows the endpoints of the shard.
	Known bool
	State endpointState
	// Whole is set when State lists all services of the shard.
	Whole bool
}

// SubmitReply answers SubmitArgs. Refused is the reason why the job can never run
// and was not recorded; it is empty if the job was recorded.
type SubmitReply struct {
	Refused string
}

// SubmitArgs carries a job to the owner of a shard.
type SubmitArgs struct {
	Shard platform.ShardID
	Job   record.Job
}

// CancelArgs carries a cancellation to the owner of a shard.
type CancelArgs struct {
	Shard platform.ShardID
	Job   platform.JobID
}

// TasksReply lists a shard's tasks.
type TasksReply struct {
	Tasks []task.Task
}

// LocateArgs requests the shard of a host that has a job.
type LocateArgs struct {
	Job platform.JobID
}

// LocateReply lists the host's shards that were searched, and the one that has the
// job, if any.
type LocateReply struct {
	Owned []platform.ShardID
	Found platform.ShardID
}

// TableArgs requests a directory newer than Version.
type TableArgs struct {
	Version uint64
}

// TableReply returns the directory; Table is nil if none is newer.
type TableReply struct {
	Table *directory.Table
}

// Peer is the net/rpc service for other placers and the local entry.
type Peer struct {
	placer *Placer
}

// Endpoints returns the service endpoints of a shard that this host owns, or the
// last known ones if the request allows that.
func (p *Peer) Endpoints(a EndpointsArgs, reply *EndpointsReply) error {
	return p.placer.endpoints(a, reply)
}

// Submit records a job in a shard that this host owns.
func (p *Peer) Submit(a SubmitArgs, reply *SubmitReply) error {
	o, err := p.placer.ownedShard(a.Shard)
	if err != nil {
		return err
	}
	ctx, cancel := p.placer.commitContext()
	defer cancel()
	err = o.Submit(ctx, a.Job)
	var unfit *place.UnfitError
	if errors.As(err, &unfit) {
		reply.Refused = err.Error()
		return nil
	}
	return err
}

// Cancel records a cancellation in a shard that this host owns.
func (p *Peer) Cancel(a CancelArgs, _ *None) error {
	o, err := p.placer.ownedShard(a.Shard)
	if err != nil {
		return err
	}
	ctx, cancel := p.placer.commitContext()
	defer cancel()
	return o.Cancel(ctx, a.Job)
}

// Tasks lists the tasks of a shard that this host owns.
func (p *Peer) Tasks(a ShardArgs, reply *TasksReply) error {
	o, err := p.placer.ownedShard(a.Shard)
	if err != nil {
		return err
	}
	reply.Tasks = o.Tasks()
	return nil
}

// Config returns this host's complete replayed configuration.
func (p *Peer) Config(_ None, reply *snapshot.Image) error {
	if !p.placer.hasConfig() {
		return errNoConfig
	}
	image, err := snapshot.Export(p.placer.configFollower, p.placer.configReplay)
	*reply = image
	return err
}

// Locate returns which of this host's shards has a job.
func (p *Peer) Locate(a LocateArgs, reply *LocateReply) error {
	for _, s := range p.placer.localShards() {
		if !s.owner.Owns() {
			continue
		}
		reply.Owned = append(reply.Owned, s.id)
		if s.owner.HasJob(a.Job) {
			reply.Found = s.id
		}
	}
	return nil
}

// Table returns the directory if it is newer than the entry's.
func (p *Peer) Table(a TableArgs, reply *TableReply) error {
	p.placer.raiseTableVersion(a.Version)
	if t := p.placer.directory.Table(); t.Version > a.Version {
		reply.Table = t
	}
	return nil
}
