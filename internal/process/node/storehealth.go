package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/process/bootclock"
	"github.com/siskinvane/siskinvane/internal/process/event"
)

// storeHealth logs the beginning and the end of store outages, separately for each use
// of the store. It is safe for concurrent use.
type storeHealth struct {
	logger *logrus.Logger
	clock  bootclock.Clock

	mu          sync.Mutex
	failedSince map[string]time.Duration
}

// reportFailure records that the store failed to serve a use. Cancelled calls are
// ignored.
func (h *storeHealth) reportFailure(use string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, failing := h.failedSince[use]; failing {
		return
	}
	h.failedSince[use] = h.clock()
	event.StoreLost.Log(h.logger, logrus.Fields{"use": use, "error": err})
}

// reportSuccess records that the store served a use.
func (h *storeHealth) reportSuccess(use string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	since, failing := h.failedSince[use]
	if !failing {
		return
	}
	delete(h.failedSince, use)
	event.StoreRegained.Log(h.logger, logrus.Fields{"use": use, "away_ms": (h.clock() - since).Milliseconds()})
}
