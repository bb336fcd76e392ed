package slopes

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/member"
)

// heartbeatTimeout is the timeout for the arrival of a heartbeat.
const heartbeatTimeout = time.Second

// heartbeatPair is a host that sends heartbeats and a host that receives them.
type heartbeatPair struct {
	sender   *member.Exchange
	receiver *member.Exchange
	version  atomic.Uint64
}

// newHeartbeatPair returns two hosts on loopback addresses; the sender owns the given
// number of shards.
func newHeartbeatPair(shards int) (*heartbeatPair, error) {
	p := &heartbeatPair{}
	common := member.ExchangeConfig{
		Host: "entry-1", Incarnation: 1, View: member.NewView(), Now: time.Now,
		Facts:       func() member.Facts { return member.Facts{Domain: "catania"} },
		Targets:     func() []netip.AddrPort { return nil },
		OnHeartbeat: func(member.Heartbeat) {},
	}
	var err error
	if p.receiver, err = member.Listen(anyPort, common); err != nil {
		return nil, err
	}
	senderConfig := common
	senderConfig.Host, senderConfig.Incarnation, senderConfig.View = "entry-0", 1<<60, member.NewView()
	senderConfig.Facts = func() member.Facts { return p.facts(shards) }
	senderConfig.Targets = func() []netip.AddrPort { return []netip.AddrPort{p.receiver.Addr()} }
	if p.sender, err = member.Listen(anyPort, senderConfig); err != nil {
		p.receiver.Close()
		return nil, err
	}
	return p, nil
}

func (p *heartbeatPair) facts(shards int) member.Facts {
	f := member.Facts{
		Domain: "catania", ConfigVersion: p.version.Load(), ConfigDigest: 1 << 63, ConfigNext: 4711,
		Peer: netip.MustParseAddrPort("10.20.30.40:7002"), EntryPeer: netip.MustParseAddrPort("10.20.30.40:7003"),
	}
	for i := range shards {
		id := platform.ShardID(fmt.Sprintf("catania-%d", i))
		f.Owned = append(f.Owned, member.OwnedShard{Shard: id, Epoch: 12, Directory: 4000})
	}
	return f
}

// sendHeartbeat sends a heartbeat and waits until it has been received.
func (p *heartbeatPair) sendHeartbeat() error {
	want := p.receiver.Traffic().ReceivedDatagrams + 1
	p.sender.SendRound()
	for start := time.Now(); p.receiver.Traffic().ReceivedDatagrams < want; {
		if time.Since(start) > heartbeatTimeout {
			return fmt.Errorf("heartbeat did not arrive within %v", heartbeatTimeout)
		}
	}
	return nil
}

// measureHeartbeats measures the heartbeats of a host that owns some shards, with
// unchanged and with changed facts.
func measureHeartbeats(t *Table) error {
	const shards = 3
	p, err := newHeartbeatPair(shards)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	p.receiver.Start(ctx)
	defer p.receiver.Close()
	defer p.sender.Close()
	if err := p.sendHeartbeat(); err != nil {
		return err
	}
	if err := p.measure(t, "heartbeat", "unchanged heartbeat", p.sendHeartbeat); err != nil {
		return err
	}
	return p.measure(t, "heartbeat change", fmt.Sprintf("changed heartbeat with %d shards", shards), func() error {
		p.version.Add(1)
		return p.sendHeartbeat()
	})
}

func (p *heartbeatPair) measure(t *Table, name, per string, send func() error) error {
	before, start := p.sender.Traffic().SentBytes, processorTime()
	if err := repeat(measuredCalls, send); err != nil {
		return err
	}
	bytes := float64(p.sender.Traffic().SentBytes-before) / measuredCalls
	micros := float64(processorTime()-start) / measuredCalls / nanosPerMicro
	t.add(UnitCost{Name: name + " bytes", Role: "placer", Value: bytes, Unit: "B", Per: per, Mechanism: "process/member"})
	t.add(UnitCost{Name: name + " time", Role: "placer", Value: micros, Unit: "us", Per: per + ", both sides", Mechanism: "process/member"})
	return nil
}
