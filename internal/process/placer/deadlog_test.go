package placer

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/pause"
	"github.com/siskinvane/siskinvane/internal/process/settings"
	"github.com/siskinvane/siskinvane/internal/standin/logservice"
)

// deadConnectionLog answers no read on a connection of an earlier call.
type deadConnectionLog struct{ platform.Log }

// Read implements platform.Log.
func (l deadConnectionLog) Read(ctx context.Context, stream string, from platform.Offset, limit int) ([]platform.Entry, error) {
	if !platform.WantsNewConnection(ctx) {
		_ = pause.For(ctx, 3*time.Second)
		return nil, platform.ErrOutcomeUnknown
	}
	return l.Log.Read(ctx, stream, from, limit)
}

// TestConfigIsReadPastDeadConnection guards against a version that waits for a dead connection.
func TestConfigIsReadPastDeadConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		p := newPlacer(Config{
			Host: settings.Host{ID: "a"}, Log: deadConnectionLog{logservice.NewStore()}, Logger: logger, Now: time.Now,
		})
		started := time.Now()
		must.NoError(t, p.configFollower.Poll(t.Context()))
		must.Less(t, 3*time.Second-configPollPeriod, time.Since(started))
		time.Sleep(time.Minute)
	})
}
