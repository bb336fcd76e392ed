package hostlist

import (
	"context"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
)

// TestClientSeesEveryChange polls over HTTP while the list changes. It guards against
// a cached list that hides a change, after a wrong answer with status 304.
func TestClientSeesEveryChange(t *testing.T) {
	list := &List{}
	server, err := Serve(list, netip.MustParseAddrPort("127.0.0.1:0"))
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, server.Stop(context.Background())) })
	client, err := httpapi.NewClient(0)
	must.NoError(t, err)
	hostList := httpapi.NewHostList(client, server.Addr())
	poll := func() []platform.Host {
		hosts, err := hostList.Hosts(context.Background())
		must.NoError(t, err)
		return hosts
	}
	must.SliceEmpty(t, poll())
	h := platform.Host{ID: "worker-1", Role: platform.RoleWorker, State: platform.HostLive, Addr: netip.MustParseAddrPort("127.0.0.1:1")}
	list.Set(h)
	must.Eq(t, []platform.Host{h}, poll())
	must.Eq(t, []platform.Host{h}, poll())
	h.State = platform.HostLeaving
	list.Set(h)
	must.Eq(t, []platform.Host{h}, poll())
	list.Remove(h.ID)
	must.SliceEmpty(t, poll())
}
