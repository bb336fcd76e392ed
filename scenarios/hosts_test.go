package scenarios

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
	"github.com/siskinvane/siskinvane/internal/process/placer"
	"github.com/siskinvane/siskinvane/internal/standin/bed"
)

// hostsKey is the key of a script's startedHosts.
type hostsKey struct{}

// startedHosts holds the hosts that a script started in this process, indexed by their
// numbers in the script.
type startedHosts struct {
	bed      *bed.Bed
	hosts    []*bed.Host
	replaced int
}

// replaceTimeout bounds the time that a replaced host takes to stop.
const replaceTimeout = 20 * time.Second

// cmdReplace performs a planned replacement of a host of this process: it starts a new
// host, waits until it is ready, stops the old one and gives its number to the new
// one: replace HOST.
func cmdReplace(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: replace HOST")
	}
	i, err := strconv.Atoi(args[0])
	ts.Check(err)
	started := ts.Value(hostsKey{}).(*startedHosts)
	old := started.hosts[i]
	started.replaced++
	id := platform.HostID(fmt.Sprintf("entry-%d", len(started.hosts)+started.replaced-1))
	replacement, err := started.bed.AddHost(id, old.Settings.Domain)
	ts.Check(err)
	waitUntilReady(ts, replacement.Settings.Control)
	ctx, cancel := context.WithTimeout(context.Background(), replaceTimeout)
	defer cancel()
	ts.Check(started.bed.StopHost(ctx, old))
	started.hosts[i] = replacement
	setHostVariables(ts, i, replacement.Settings)
}

func waitUntilReady(ts *testscript.TestScript, control netip.AddrPort) {
	client, err := httpapi.NewClient(0)
	ts.Check(err)
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(awaitInterval) {
		if client.Call(context.Background(), control, "GET", placer.PathReady, nil, nil) == nil {
			return
		}
	}
	ts.Fatalf("host at %s is not ready", control)
}
