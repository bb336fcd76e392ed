package node

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/process/peer"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// countingNetwork counts the bytes that a host writes.
type countingNetwork struct {
	peer.Network
	written atomic.Int64
}

// Dial implements peer.Network.
func (n *countingNetwork) Dial(addr netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	c, err := n.Network.Dial(addr, timeout)
	return &countingConn{Conn: c, network: n}, err
}

type countingConn struct {
	net.Conn
	network *countingNetwork
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	c.network.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// oldService is Service of a host that lacks ProposeJob.
type oldService struct {
	service *Service
	// submissions counts the proposals that hold a submission.
	submissions atomic.Int32
}

// Propose decides on a proposal.
func (s *oldService) Propose(p Proposal, v *Verdict) error {
	if p.Submission != nil {
		s.submissions.Add(1)
	}
	return s.service.Propose(p, v)
}

// replaceByOldService makes a host answer others like one that lacks ProposeJob and Term.
func (c *testCluster) replaceByOldService(t *testing.T, n *Node) *oldService {
	t.Helper()
	n.server.Close()
	old := &oldService{service: &Service{node: n}}
	var err error
	n.server, err = peer.ListenOn(c.network.Host(n.Peer.Addr()), n.Peer, peerService, old)
	must.NoError(t, err)
	n.server.Start()
	return old
}

const otherJobID job.ID = "00000000000000ab"

// TestProposalCarriesPayloadOnce guards against a payload that fills the owner's link
// twice, in the submission and in its record.
func TestProposalCarriesPayloadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const payload = 40_000
		c := newTestCluster()
		first, second := c.startPair(t)
		network := &countingNetwork{Network: c.network.Host(second.Peer.Addr())}
		second.peers = peer.NewClientOn(network)
		s := submission()
		s.Spec.Payload = strings.Repeat("x", payload)
		must.NoError(t, second.Submit(context.Background(), jobID, s))
		must.Zero(t, c.view("h2").Appends())
		must.Between(t, payload, network.written.Load(), payload+payload/10)
		c.stop(first, second)
	})
}

// TestOldOwnerGetsSubmission guards against an owner of an older version that is not told
// what to admit: it would write the record without a decision.
func TestOldOwnerGetsSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		first, second := c.startPair(t)
		old := c.replaceByOldService(t, first)
		second.peers = peer.NewClientOn(c.network.Host(second.Peer.Addr()))
		for _, id := range []job.ID{jobID, otherJobID} {
			must.NoError(t, second.Submit(context.Background(), id, submission()))
		}
		must.Eq(t, 2, old.submissions.Load())
		must.Zero(t, c.view("h2").Appends())
		must.Eq(t, uint64(first.table.Owner().Epoch), second.oldOwner.Load())
		c.stop(first, second)
	})
}
