package web

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/process/event"
)

// refusalLinePeriod is the shortest time between two log lines with the same reason.
const refusalLinePeriod = time.Second

// RefusalLog logs the clients of one server that were turned away. It is safe for
// concurrent use.
type RefusalLog struct {
	logger *logrus.Logger
	server string

	mu sync.Mutex
	// count counts those since the last line.
	count    map[Refusal]int
	loggedAt map[Refusal]time.Time
}

// NewRefusalLog returns a log of the server with the given name.
func NewRefusalLog(logger *logrus.Logger, server string) *RefusalLog {
	return &RefusalLog{logger: logger, server: server, count: map[Refusal]int{}, loggedAt: map[Refusal]time.Time{}}
}

// Add logs that a client was turned away while the server had the given connections and held the
// given bytes, unless a line with the same reason was written less than a second ago.
func (l *RefusalLog) Add(r Refusal, connections, bytes int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count[r]++
	if now.Sub(l.loggedAt[r]) < refusalLinePeriod {
		return
	}
	event.ClientTurnedAway.Log(l.logger, logrus.Fields{
		"server": l.server, "reason": string(r), "clients": l.count[r], "connections": connections, "bytes": bytes,
	})
	l.count[r], l.loggedAt[r] = 0, now
}
