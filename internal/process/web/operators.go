package web

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/process/quota"
	"github.com/siskinvane/siskinvane/internal/request/framing"
)

// Limits of the servers for operators and scrapers. A request with the largest declarations, 4 MB,
// fits twice as large as they are, and six copies of it while it is handled.
const (
	operatorConnections = 128
	operatorHeadBytes   = 32 << 10
	operatorBodyBytes   = 8 << 20
	operatorBytes       = 64 << 20
)

// ListenOperators is like ListenGuarded for a program's address for operators and scrapers, with
// limits of its own. Clients that are turned away are logged under the server's name.
func ListenOperators(addr netip.AddrPort, logger *logrus.Logger, name string) (*Server, error) {
	q := quota.New(quota.Limits{Connections: operatorConnections, Bytes: operatorBytes})
	lines := NewRefusalLog(logger, name)
	return ListenGuarded(addr, Guard{
		Quota:  q,
		Limits: func() framing.Limits { return framing.Limits{Head: operatorHeadBytes, Body: operatorBodyBytes} },
		OnTurnedAway: func(r Refusal) {
			connections, bytes := q.Usage()
			lines.Add(r, connections, bytes, time.Now())
		},
	})
}
