package program

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/process/quota"
	"github.com/siskinvane/siskinvane/internal/process/settings"
	"github.com/siskinvane/siskinvane/internal/request/framing"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

// TestDeclaredLimitsWiden: requests that the operators allow are not refused, whatever the
// defaults.
func TestDeclaredLimitsWiden(t *testing.T) {
	defaults := framing.Limits{Head: defaultHeadBytes, Body: defaultBodyBytes}
	must.Eq(t, defaults, requestLimits(nil))
	must.Eq(t, defaults, requestLimits(queue.New(1, nil, nil, queue.Limits{HeaderBytes: 1, BodyBytes: 1})))
	must.Eq(t, framing.Limits{Head: 1 << 16, Body: 1 << 20},
		requestLimits(queue.New(1, nil, nil, queue.Limits{HeaderBytes: 1 << 16, BodyBytes: 1 << 20})))
}

// TestClientsLeaveRoom: whatever clients open, five sixths of the memory and half of the
// descriptors are left.
func TestClientsLeaveRoom(t *testing.T) {
	for _, memoryMB := range []int64{32, 160, 536, 1 << 20} {
		for _, descriptors := range []int{256, 4100, 1 << 30} {
			s := settings.Scheduler{MemoryMB: memoryMB}
			var sum quota.Limits
			for _, share := range []float64{1 - 2*adminShare, adminShare, adminShare} {
				l := quotaLimits(s, descriptors, share)
				must.Positive(t, l.Connections)
				must.LessEq(t, l.Bytes/2, l.Connections*quota.ConnectionBytes)
				sum.Connections += l.Connections
				sum.Bytes += l.Bytes
			}
			must.LessEq(t, int(memoryMB)*bytesPerMB/6, sum.Bytes)
			must.LessEq(t, descriptors/2, sum.Connections)
		}
	}
}
