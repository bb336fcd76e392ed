package peer

import (
	"net"
	"net/netip"
	"time"
)

// Network opens the connections between processes.
type Network interface {
	Listen(addr netip.AddrPort) (net.Listener, error)
	Dial(addr netip.AddrPort, timeout time.Duration) (net.Conn, error)
}

// TCP is the Network over the host's TCP stack.
var TCP Network = tcp{}

type tcp struct{}

// Listen implements Network.
func (tcp) Listen(addr netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", addr.String()) }

// Dial implements Network.
func (tcp) Dial(addr netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", addr.String(), timeout)
}
