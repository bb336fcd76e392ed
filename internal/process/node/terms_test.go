package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestRestartedHostsWaitOnce: all hosts were killed and started again every 6 s. Each owner knew
// one owner before itself and not since when the others had been replaced, so workers that only
// the first one had reached were waited for without end.
func TestRestartedHostsWaitOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const reachable = 3
		f, reached := newFleetWithWorkers(t, "x", "y")
		began := time.Now()
		var killedAt []time.Time
		// Workers on which nothing can be running any more are dismissed.
		awaited := func() bool { return len(f.nodes[f.owner()].table.Workers()) > reachable }
		for awaited() && time.Since(began) < time.Minute {
			first, other := f.ownerAndOther()
			killedAt = append(killedAt, time.Now())
			f.kill(first, other)
			time.Sleep(500 * time.Millisecond)
			for _, name := range []string{first, other} {
				f.start(name)
				reached[name].reachable.Store(reachable)
			}
			f.awaitOwner(10*time.Second, isWide)
			for end := time.Now().Add(4500 * time.Millisecond); awaited() && time.Now().Before(end); {
				time.Sleep(10 * time.Millisecond)
			}
		}
		n := f.nodes[f.owner()]
		waited := time.Since(began)
		t.Log(waited, n.ownedDispatcher().Ownership.Claim)
		terms := n.table.Owners()
		for _, term := range terms[:len(terms)-1] {
			must.LessEq(t, time.Since(killedAt[term.Claim-1]), n.Clock()-term.ReplacedAt)
		}
		f.stopAll()
		must.Less(t, 15*time.Second, waited)
	})
}
