package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/pause"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

const (
	// successorInterval is the time between two calls that tell an earlier owner of its successor.
	successorInterval = 500 * time.Millisecond
	// successorTimeout bounds a call about the shard's owner.
	successorTimeout = 250 * time.Millisecond
	// maxOwnersAsked limits the earlier owners that are asked for the present one.
	maxOwnersAsked = 3
)

// SuccessorReply is the reply of Service.Successor: the latest owner that the host knows of.
type SuccessorReply struct {
	Owner job.Ownership
}

// Successor tells the latest owner that this host knows of. Hosts of older versions do not have it.
func (s *Service) Successor(_ Empty, reply *SuccessorReply) error {
	reply.Owner = s.node.latestOwner()
	return nil
}

// Succeeded tells a host that has owned the shard of the owner that has taken over, since it may not
// read the log. Hosts of older versions do not have it.
func (s *Service) Succeeded(owner job.Ownership, _ *Empty) error {
	s.node.noteOwner(owner, owner.Host)
	return nil
}

// latestOwner returns the owner with the highest epoch that is in the log or that another host
// has told of.
func (n *Node) latestOwner() job.Ownership {
	recorded := n.table.Owner()
	if told := n.toldOwner.Load(); told != nil && told.Epoch > recorded.Epoch {
		return *told
	}
	return recorded
}

// noteOwner takes in what another host tells of the owner. It reports whether that is news.
func (n *Node) noteOwner(owner job.Ownership, from platform.HostID) bool {
	for {
		told := n.toldOwner.Load()
		if owner.Epoch <= n.table.Owner().Epoch || told != nil && owner.Epoch <= told.Epoch {
			return false
		}
		if n.toldOwner.CompareAndSwap(told, &owner) {
			n.count("shard.owner_told")
			event.OwnerTold.Log(n.Logger, logrus.Fields{
				"owner": owner.Host, "epoch": owner.Epoch, "from": from, "read_age_ms": n.SinceCaughtUp().Milliseconds(),
			})
			return true
		}
	}
}

// forgetTold drops the owner of the given epoch, which did not serve a call, unless the log names it.
func (n *Node) forgetTold(epoch platform.Epoch) {
	if told := n.toldOwner.Load(); told != nil && told.Epoch == epoch {
		n.toldOwner.CompareAndSwap(told, nil)
	}
}

// askSuccessor asks the owners that this host knows of for one with a higher epoch, the latest
// first. It reports whether there is one.
func (n *Node) askSuccessor(ctx context.Context, epoch platform.Epoch) bool {
	for _, owner := range n.ownersToAsk() {
		if ctx.Err() != nil || n.latestOwner().Epoch > epoch {
			break
		}
		addr, err := netip.ParseAddrPort(owner.Addr)
		if err != nil || addr == n.Peer {
			continue
		}
		var reply SuccessorReply
		if n.peers.CallTimeout(successorTimeout, addr, peerService, "Successor", Empty{}, &reply) == nil {
			n.noteOwner(reply.Owner, owner.Host)
		}
	}
	return n.latestOwner().Epoch > epoch
}

// ownersToAsk returns the latest owner and those before.
func (n *Node) ownersToAsk() []job.Ownership {
	list := []job.Ownership{n.latestOwner()}
	terms := n.table.Owners()
	for i := len(terms) - 1; i >= 0 && len(list) < maxOwnersAsked; i-- {
		if terms[i].Epoch != list[0].Epoch {
			list = append(list, terms[i].Ownership)
		}
	}
	return list
}

// tellSuccession tells the host of an earlier owner that own has taken over, until it answers, the
// earlier owner has surely ended, or ctx is done.
func (n *Node) tellSuccession(ctx context.Context, earlier, own job.Ownership) {
	addr, err := netip.ParseAddrPort(earlier.Addr)
	if err != nil || addr == n.Peer {
		return
	}
	for until := n.Clock() + scheduler.AuthorityBound; ctx.Err() == nil && n.Clock() < until; {
		err := n.probes.CallTimeout(successorTimeout, addr, peerService, "Succeeded", own, &Empty{})
		if err == nil || unknownMethod(err) {
			return
		}
		// The loop ends with the context.
		_ = pause.For(ctx, successorInterval)
	}
}
