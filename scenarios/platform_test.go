package scenarios

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
	"github.com/siskinvane/siskinvane/internal/standin/oracle"
	"github.com/siskinvane/siskinvane/internal/standin/worker"
)

// workerActions are the paths of the worker stand-in's admin interface by action.
var workerActions = map[string]string{
	"kill": worker.PathKill, "restart": worker.PathRestart, "pause": worker.PathPause,
	"resume": worker.PathResume, "leave": worker.PathLeave,
}

// cmdWorker controls a worker's stand-in: worker ID ACTION, where ACTION is kill,
// restart, pause, resume, leave or faults JSON.
func cmdWorker(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: worker ID kill|restart|pause|resume|leave|faults JSON")
	}
	addr := workerAddress(ts, args[0])
	if args[1] == "faults" && len(args) == 3 {
		var faults worker.FaultScript
		ts.Check(json.Unmarshal([]byte(args[2]), &faults))
		callStandin(ts, addr, "POST", worker.PathFaults, faults, nil)
		return
	}
	path, ok := workerActions[args[1]]
	if !ok {
		ts.Fatalf("unknown action %q", args[1])
	}
	callStandin(ts, addr, "POST", path, nil, nil)
}

// cmdRunsOnce checks the runs that the workers recorded: no two runs of a task may
// overlap, and no attempt may have begun twice.
func cmdRunsOnce(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 0 {
		ts.Fatalf("usage: runs-once")
	}
	var allRuns []worker.Run
	for _, h := range hostList(ts) {
		if h.Role != platform.RoleWorker {
			continue
		}
		var runs []worker.Run
		callStandin(ts, h.Addr, "GET", worker.PathRuns, nil, &runs)
		allRuns = append(allRuns, runs...)
	}
	if len(allRuns) == 0 {
		ts.Fatalf("no worker ran anything")
	}
	ts.Check(oracle.CheckRuns(allRuns))
}

func workerAddress(ts *testscript.TestScript, id string) netip.AddrPort {
	for _, h := range hostList(ts) {
		if h.ID == id {
			return h.Addr
		}
	}
	ts.Fatalf("no worker %s in the host list", id)
	return netip.AddrPort{}
}

func hostList(ts *testscript.TestScript) []platform.Host {
	var reply httpapi.HostsReply
	addr, err := netip.ParseAddrPort(ts.Getenv("HOSTLIST"))
	ts.Check(err)
	callStandin(ts, addr, "GET", httpapi.PathHosts, nil, &reply)
	return reply.Hosts
}

func callStandin(ts *testscript.TestScript, addr netip.AddrPort, method, path string, request, reply any) {
	client, err := httpapi.NewClient(0)
	ts.Check(err)
	ts.Check(client.Call(context.Background(), addr, method, path, request, reply))
}
