package member

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// headerBytes is the size of the IPv4 and UDP headers of a datagram.
const headerBytes = 28

// minRoundGap is the minimum time between two rounds of datagrams.
const minRoundGap = 50 * time.Millisecond

// ExchangeConfig configures an Exchange.
type ExchangeConfig struct {
	Host        platform.HostID
	Incarnation uint64
	// Facts returns the host's current facts.
	Facts func() Facts
	// Targets returns the addresses of the other hosts.
	Targets func() []netip.AddrPort
	// OnHeartbeat is called after a heartbeat with a peer's facts was stored in View. It
	// must not block.
	OnHeartbeat func(Heartbeat)
	View        *View
	Now         func() time.Time
	// OnEncodeError is called if the host's heartbeat cannot be encoded. Nothing is sent
	// then.
	OnEncodeError func(error)
}

// Traffic counts datagrams and bytes, headers included.
type Traffic struct {
	SentDatagrams, SentBytes, ReceivedDatagrams, ReceivedBytes uint64
}

// Exchange sends a host's heartbeats to its peers and stores theirs in a View. Its
// methods are safe for concurrent use.
type Exchange struct {
	config         ExchangeConfig
	conn           *net.UDPConn
	roundRequested chan struct{}
	loops          sync.WaitGroup

	mu      sync.Mutex
	encoder datagramEncoder
	traffic Traffic
}

// Listen opens an exchange's UDP socket on addr. Nothing is sent before Start.
func Listen(addr netip.AddrPort, c ExchangeConfig) (*Exchange, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, platform.WrapCall("listen for heartbeats", addr.String(), err)
	}
	return &Exchange{
		config: c, conn: conn, roundRequested: make(chan struct{}, 1),
		encoder: datagramEncoder{host: c.Host, incarnation: c.Incarnation},
	}, nil
}

// Addr returns the address of the socket.
func (e *Exchange) Addr() netip.AddrPort {
	return e.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Start sends heartbeats in the background until ctx is done, and receives those
// of peers until Close.
func (e *Exchange) Start(ctx context.Context) {
	e.loops.Go(e.receiveLoop)
	e.loops.Go(func() { e.sendLoop(ctx) })
}

// Close closes the socket and waits for the background loops. The context given to
// Start must be done.
func (e *Exchange) Close() {
	e.conn.Close()
	e.loops.Wait()
}

// RequestRound requests a round of heartbeats before the next period, because the
// facts changed.
func (e *Exchange) RequestRound() {
	select {
	case e.roundRequested <- struct{}{}:
	default:
	}
}

// Traffic returns the traffic so far.
func (e *Exchange) Traffic() Traffic {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.traffic
}

// sendLoop sends a round of heartbeats in each period and on request, at least
// minRoundGap apart, until ctx is done.
func (e *Exchange) sendLoop(ctx context.Context) {
	ticker := time.NewTicker(HeartbeatPeriod)
	defer ticker.Stop()
	for {
		e.SendRound()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.roundRequested:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(minRoundGap):
		}
	}
}

// SendRound immediately sends one heartbeat to each target. It carries the facts
// only if they changed since the last round.
func (e *Exchange) SendRound() {
	facts := e.config.Facts()
	e.mu.Lock()
	changed, err := e.encoder.setFacts(facts)
	var own Heartbeat
	var data []byte
	if err == nil {
		own = e.encoder.ownHeartbeat()
		data, err = e.encoder.nextDatagram(changed, false)
	}
	e.mu.Unlock()
	if err != nil {
		e.config.OnEncodeError(fmt.Errorf("encode heartbeat of %s: %w", e.config.Host, err))
		return
	}
	now := e.config.Now()
	e.config.View.Tick(now)
	e.config.View.Observe(own, now)
	for _, to := range e.config.Targets() {
		e.sendDatagram(data, to)
	}
}

// sendDatagram sends one datagram. Errors are ignored, since the next datagram
// replaces a lost one.
func (e *Exchange) sendDatagram(data []byte, to netip.AddrPort) {
	if _, err := e.conn.WriteToUDPAddrPort(data, to); err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.traffic.SentDatagrams++
	e.traffic.SentBytes += uint64(len(data) + headerBytes)
}

// receiveLoop handles datagrams until the socket is closed.
func (e *Exchange) receiveLoop() {
	buf := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.traffic.ReceivedDatagrams++
		e.traffic.ReceivedBytes += uint64(n + headerBytes)
		e.mu.Unlock()
		if d, err := decodeDatagram(buf[:n]); err == nil {
			e.handleDatagram(d, from)
		}
	}
}

// handleDatagram stores a peer's heartbeat. It replies with the host's facts if
// the peer has requested them, and asks for the peer's facts if they are not known.
func (e *Exchange) handleDatagram(d datagram, from netip.AddrPort) {
	now := e.config.Now()
	factsMissing := false
	if d.Facts != nil {
		h := Heartbeat{Host: d.Host, Incarnation: d.Incarnation, Sequence: d.Sequence, State: d.State, Facts: *d.Facts}
		if e.config.View.Observe(h, now) {
			e.config.OnHeartbeat(h)
		}
	} else {
		factsMissing = !e.config.View.Refresh(d.Host, d.Incarnation, d.Sequence, d.State, now)
	}
	if !d.WantFacts && !factsMissing {
		return
	}
	e.mu.Lock()
	data, err := e.encoder.nextDatagram(d.WantFacts, factsMissing)
	e.mu.Unlock()
	if err == nil {
		e.sendDatagram(data, from)
	}
}
