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

	startedAt time.Duration

	mu   sync.Mutex
	uses map[string]*storeUse
}

// storeUse is the state of one use. Its times are those of the node's clock.
type storeUse struct {
	// answeredAt is when the last call that was answered was sent, or the start.
	answeredAt time.Duration
	// failing is set during an outage, which was noticed at failedAt.
	failing  bool
	failedAt time.Duration
}

func newStoreHealth(logger *logrus.Logger, clock bootclock.Clock) *storeHealth {
	return &storeHealth{logger: logger, clock: clock, startedAt: clock(), uses: map[string]*storeUse{}}
}

// use returns the state of a use. The caller holds mu.
func (h *storeHealth) use(name string) *storeUse {
	u, known := h.uses[name]
	if !known {
		u = &storeUse{answeredAt: h.startedAt}
		h.uses[name] = u
	}
	return u
}

// age returns the time since the last answered call for a use was sent, or since the start.
func (h *storeHealth) age(name string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock() - h.use(name).answeredAt
}

// reportFailure records that a call for a use, sent at the given time, failed. Cancelled
// calls are ignored.
func (h *storeHealth) reportFailure(name string, sent time.Duration, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	u := h.use(name)
	if u.failing {
		return
	}
	u.failing, u.failedAt = true, h.clock()
	event.StoreLost.Log(h.logger, logrus.Fields{"use": name, "error": err, "waited_ms": (u.failedAt - sent).Milliseconds()})
}

// reportSuccess records that a call for a use, sent at the given time, was answered. It
// returns the time since the answered call before it was sent.
func (h *storeHealth) reportSuccess(name string, sent time.Duration) (stale time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	u, now := h.use(name), h.clock()
	stale = now - u.answeredAt
	u.answeredAt = sent
	if u.failing {
		u.failing = false
		event.StoreRegained.Log(h.logger, logrus.Fields{
			"use": name, "away_ms": (now - u.failedAt).Milliseconds(), "stale_ms": stale.Milliseconds(),
		})
	}
	return stale
}
