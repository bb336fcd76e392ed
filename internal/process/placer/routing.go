package placer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

const (
	maxSubmitAttempts = 5
	submitRetryDelay  = 200 * time.Millisecond
)

// errNoHomeShard reports a job whose home shard cannot be determined yet.
var errNoHomeShard = errors.New("no shard is known yet")

// errRefused reports a job that can never run and was therefore not recorded.
var errRefused = errors.New("refused")

// submitJob submits a job to the shard that already has it, or else to its home
// shard. It retries while a shard changes its owner, which is safe because
// submission is idempotent.
func (p *Placer) submitJob(ctx context.Context, job record.Job) error {
	var err error
	for range maxSubmitAttempts {
		if err = p.trySubmitJob(job); err == nil || errors.Is(err, errRefused) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(submitRetryDelay):
		}
	}
	return err
}

func (p *Placer) trySubmitJob(job record.Job) error {
	id, found, err := p.locateJob(job.ID)
	if err != nil {
		return err
	}
	if !found {
		if id, found = p.allotment().HomeShard(job.Team, job.ID); !found {
			return fmt.Errorf("submit job %s: %w", job.ID, errNoHomeShard)
		}
	}
	var reply SubmitReply
	if err := p.callOwner(id, "Submit", SubmitArgs{Shard: id, Job: job}, &reply); err != nil {
		return err
	}
	if reply.Refused != "" {
		return fmt.Errorf("%w: %s", errRefused, reply.Refused)
	}
	return nil
}

// cancelJob cancels a job in the shard that has it. It returns false if no shard
// does.
func (p *Placer) cancelJob(id platform.JobID) (bool, error) {
	shardID, found, err := p.locateJob(id)
	if err != nil || !found {
		return false, err
	}
	return true, p.callOwner(shardID, "Cancel", CancelArgs{Shard: shardID, Job: id}, &None{})
}

// locateJob returns the shard that has a job. It asks the shards, because a job's
// home depends on the configuration and the layout, which change. It returns an
// error if the job was not found and some shard could not be asked.
func (p *Placer) locateJob(id platform.JobID) (platform.ShardID, bool, error) {
	p.mu.Lock()
	shards := p.layout.Shards()
	p.mu.Unlock()
	var wg sync.WaitGroup
	var mu sync.Mutex
	asked := map[platform.ShardID]bool{}
	var shardID platform.ShardID
	var errs []error
	for _, m := range p.members.Live(p.config.Now()) {
		if len(m.Owned) == 0 {
			continue
		}
		wg.Go(func() {
			var reply LocateReply
			err := p.peers.Call(m.Peer, PeerService, "Locate", LocateArgs{Job: id}, &reply)
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
			for _, s := range reply.Owned {
				asked[s] = true
			}
			if reply.Found != "" {
				shardID = reply.Found
			}
		})
	}
	wg.Wait()
	if shardID != "" {
		return shardID, true, nil
	}
	for _, s := range shards {
		if !asked[s] {
			errs = append(errs, fmt.Errorf("shard %s has no live owner", s))
		}
	}
	return "", false, errors.Join(errs...)
}

// callOwner calls the peer service of a shard's owner.
func (p *Placer) callOwner(id platform.ShardID, method string, args, reply any) error {
	addr, err := p.ownerAddr(id)
	if err != nil {
		return err
	}
	return p.peers.Call(addr, PeerService, method, args, reply)
}
