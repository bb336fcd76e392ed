package scenarios

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
	"github.com/siskinvane/siskinvane/internal/standin/logservice"
)

// cmdLogFaults replaces the injected faults of the log service: logfaults JSON. {}
// removes all faults. docs/LOG.md describes the form.
func cmdLogFaults(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: logfaults JSON")
	}
	var faults logservice.FaultSet
	ts.Check(json.Unmarshal([]byte(args[0]), &faults))
	addr, err := netip.ParseAddrPort(ts.Getenv("LOG"))
	ts.Check(err)
	client, err := httpapi.NewClient(0)
	ts.Check(err)
	ts.Check(client.Call(context.Background(), addr, "PUT", logservice.PathFaults, faults, nil))
}
