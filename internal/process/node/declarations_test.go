package node

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

// scriptedDeclarations is a source whose calls end as sent on the channel.
type scriptedDeclarations chan declarationsReply

type declarationsReply struct {
	config    *queue.Config
	evacuated []platform.FailureDomain
	err       error
}

// Next implements queue.Source.
func (s scriptedDeclarations) Next(ctx context.Context) (queue.Declared, error) {
	select {
	case r := <-s:
		return queue.Declared{Config: r.config, Evacuated: r.evacuated}, r.err
	case <-ctx.Done():
		return queue.Declared{}, ctx.Err()
	}
}

func version(v int64) *queue.Config { return queue.New(v, nil, nil, queue.Limits{}) }

// linesOf returns the lines of an event.
func linesOf(h *logtest.Hook, e event.Event) []logrus.Fields {
	var lines []logrus.Fields
	for _, entry := range h.AllEntries() {
		if entry.Data["event"] == e.Number {
			lines = append(lines, entry.Data)
		}
	}
	return lines
}

// TestStaleDeclarationsAreVisible guards against logs that hide how old the declarations are.
func TestStaleDeclarationsAreVisible(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		source := make(scriptedDeclarations)
		logger, hook := logtest.NewNullLogger()
		c.declarations, c.logger = source, logger
		n := c.startHost(t, "h1", 1)
		gauge := func(name string) int64 { return n.Metrics.Get(name).(metrics.Gauge).Value() }

		source <- declarationsReply{config: version(1)}
		time.Sleep(3 * time.Second)
		must.Eq(t, 3000, gauge("declarations.age_ms"))
		source <- declarationsReply{err: errors.New("no answer")}
		time.Sleep(time.Second)
		source <- declarationsReply{config: version(4)}
		synctest.Wait()
		must.Eq(t, 4, gauge("declarations.version"))
		must.Eq(t, 900, gauge("declarations.age_ms"), must.Sprint("the read was sent 0.1 s after the failure"))
		must.Eq[any](t, int64(3000), linesOf(hook, event.StoreLost)[0]["waited_ms"])
		must.Eq[any](t, int64(4000), linesOf(hook, event.StoreRegained)[0]["stale_ms"])
		must.Eq[any](t, int64(4000), linesOf(hook, event.QueuesInForce)[1]["stale_ms"])

		source <- declarationsReply{err: &queue.UnusableError{Err: errors.New("bad")}}
		synctest.Wait()
		must.Len(t, 1, linesOf(hook, event.StoreLost))
		must.Eq[any](t, int64(4), linesOf(hook, event.QueuesRefused)[0]["version"])
		c.stop(n)
	})
}

// TestEvacuationsAreVisible guards against an evacuation that logs and metrics of a host do not show.
func TestEvacuationsAreVisible(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		source := make(scriptedDeclarations)
		logger, hook := logtest.NewNullLogger()
		c.declarations, c.logger = source, logger
		n := c.startHost(t, "h1", 1)
		send := func(domains ...platform.FailureDomain) {
			source <- declarationsReply{config: version(1), evacuated: domains}
			synctest.Wait()
			must.Eq(t, int64(len(domains)), n.Metrics.Get("evacuations.domains").(metrics.Gauge).Value())
		}
		send("d1")
		send("d1")
		// An unusable version of the declarations does not hide an evacuation.
		source <- declarationsReply{evacuated: []platform.FailureDomain{"d1", "d2"}, err: &queue.UnusableError{Err: errors.New("bad")}}
		synctest.Wait()
		must.Len(t, 2, linesOf(hook, event.EvacuationBegun))
		send("d2")
		send()
		must.Len(t, 2, linesOf(hook, event.EvacuationBegun))
		ended := linesOf(hook, event.EvacuationEnded)
		must.Len(t, 2, ended)
		must.Eq[any](t, platform.FailureDomain("d1"), ended[0]["domain"])
		c.stop(n)
	})
}

// TestOwnerWithoutEvacuationsLeavesShardToOthers guards against a shard that stays with a host that
// may start nothing, since it has never read what operators evacuate, while another one has.
func TestOwnerWithoutEvacuationsLeavesShardToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		c.workers = func(string) *testWorkers { return newTestWorkers(2) }
		c.declarations = make(scriptedDeclarations)
		limits := scheduler.Bounds{MaxLease: 10 * time.Second, Evacuation: time.Second}
		first := c.startHost(t, "h1", 1)
		first.SetBounds(limits)
		time.Sleep(2 * time.Second)
		must.True(t, first.OwnsShard())
		c.declarations = nil
		second := c.startHost(t, "h2", 2)
		second.SetBounds(limits)
		time.Sleep(maxUnable + 10*time.Second)
		must.True(t, second.OwnsShard())
		c.stop(first, second)
	})
}
