package slopes

import (
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/siskinvane/siskinvane/internal/process/lease"
	"github.com/siskinvane/siskinvane/internal/process/member"
	"github.com/siskinvane/siskinvane/internal/process/owner"
	"github.com/siskinvane/siskinvane/internal/process/placer"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// NodeCost is the cost of the control path for each of Nodes entry hosts.
type NodeCost struct {
	Nodes       int
	BytesPerSec float64
	CorePercent float64
	MemoryMB    float64
	// Parts is the cost by cause.
	Parts []CauseCost
}

// CauseCost is the cost of one cause.
type CauseCost struct {
	Name        string
	BytesPerSec float64
	CorePercent float64
}

// nodeCounts lists the numbers of entry hosts for which costs are computed.
var nodeCounts = []int{8, 16, 32, 48, 64, 96, 128}

const (
	// base64Factor is the factor by which log entries grow in the log's JSON
	// protocol.
	base64Factor = 4.0 / 3
	// shardReaders is the number of hosts that read a shard's records: the standby reads
	// all of them, the owner need not read back what it appended.
	shardReaders = 1
	// processMemoryMB is the resident memory of a placer without tasks.
	processMemoryMB  = 40
	microsPerPercent = 1e4
	// reportsPerTask is the number of reports that a task causes in addition to the
	// idle reports: one at its start and one at its end.
	reportsPerTask = 2
	// hostListChangesPerRestart is the number of host list changes per restart of a host:
	// leaving, removed, added.
	hostListChangesPerRestart = 3
)

// Nodes computes the cost of the control path for each of nodeCounts.
func (t *Table) Nodes(s DeploymentSize) []NodeCost {
	rows := make([]NodeCost, len(nodeCounts))
	for i, n := range nodeCounts {
		rows[i] = t.node(s, n)
	}
	return rows
}

func (t *Table) node(s DeploymentSize, nodes int) NodeCost {
	n := float64(nodes)
	workers := s.Workers / n
	perSecond := func(period time.Duration) float64 { return 1 / period.Seconds() }
	cost := NodeCost{Nodes: nodes}
	cost.add("idle reports", workers*perSecond(owner.IdleReportPeriod), t.value("worker report bytes"), t.value("worker report time"))
	cost.add("reports of changes", s.StartsPerSec*reportsPerTask/n, t.value("worker report bytes"), t.value("worker report time"))
	cost.add("lease renewals", workers*perSecond(lease.RenewPeriod), t.value("worker renew unchanged bytes"), t.value("worker renew unchanged time"))
	cost.add("task starts", s.StartsPerSec/n, t.value("worker start bytes"), t.value("worker start time"))
	written := t.value("log bytes, batches of 8") * base64Factor
	cost.add("log records", s.StartsPerSec/n*(1+shardReaders), written, 0)
	cost.add("heartbeats", 2*(n-1)*perSecond(member.HeartbeatPeriod), t.value("heartbeat bytes"), t.value("heartbeat time")/2)
	changes := s.ConfigPerDay / secondsPerDay
	cost.add("heartbeat changes", 2*(n-1)*changes, t.value("heartbeat change bytes"), t.value("heartbeat change time")/2)
	cost.add("host list polls", perSecond(placer.HostListPeriod), t.value("host list unchanged bytes"), 0)
	changedEntries := (s.Workers + n) * s.RestartsDaily * hostListChangesPerRestart / secondsPerDay
	cost.add("host list changes", changedEntries, t.value("host list bytes"), t.value("host list time"))
	cost.add("declarations", s.ConfigPerDay/secondsPerDay, t.value("declarations bytes")*base64Factor, t.value("declarations check time")*thousand)
	tasks := (s.Services + s.BatchTasks) / n / thousand
	cost.MemoryMB = processMemoryMB + tasks*t.value("task table memory")*(1+shardReaders) +
		s.Services*t.value("directory memory")/bytesPerMB
	return cost
}

// add adds a cause that occurs rate times per second and costs the given bytes and
// microseconds of processor time each time.
func (c *NodeCost) add(name string, rate, bytes, micros float64) {
	p := CauseCost{Name: name, BytesPerSec: rate * bytes, CorePercent: rate * micros / microsPerPercent}
	c.Parts = append(c.Parts, p)
	c.BytesPerSec += p.BytesPerSec
	c.CorePercent += p.CorePercent
}

// WriteNodes writes the costs as text tables.
func WriteNodes(out io.Writer, rows []NodeCost) error {
	const padding = 2
	w := tabwriter.NewWriter(out, 0, 0, padding, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "HOSTS\tB/S\t%% OF A CORE\tMB\t\n")
	for _, r := range rows {
		fmt.Fprintf(w, "%d\t%.0f\t%.2f\t%.0f\t\n", r.Nodes, r.BytesPerSec, r.CorePercent, r.MemoryMB)
	}
	fmt.Fprintf(w, "budget\t%.0f\t%.2f\t%.0f\t\n\n", NodeBudget.BytesPerSec, NodeBudget.CorePercent, NodeBudget.MemoryMB)
	fmt.Fprint(w, "B/S BY CAUSE\t")
	for _, r := range rows {
		fmt.Fprint(w, strconv.Itoa(r.Nodes)+" hosts\t")
	}
	fmt.Fprintln(w)
	for i := range rows[0].Parts {
		fmt.Fprint(w, rows[0].Parts[i].Name+"\t")
		for _, r := range rows {
			fmt.Fprintf(w, "%.0f\t", r.Parts[i].BytesPerSec)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// plotNodes plots bytes per second over the number of entry hosts.
func plotNodes(path string, rows []NodeCost) error {
	p := plot.New()
	p.Title.Text = "Control traffic of one entry host at the target's size"
	p.X.Label.Text = "entry hosts"
	p.Y.Label.Text = "bytes a second"
	total := make(plotter.XYs, len(rows))
	budget := make(plotter.XYs, len(rows))
	for i, r := range rows {
		total[i] = plotter.XY{X: float64(r.Nodes), Y: r.BytesPerSec}
		budget[i] = plotter.XY{X: float64(r.Nodes), Y: NodeBudget.BytesPerSec}
	}
	if err := plotutil.AddLinePoints(p, "control", total, "budget", budget); err != nil {
		return fmt.Errorf("plot nodes: %w", err)
	}
	const width, height = 16 * vg.Centimeter, 10 * vg.Centimeter
	if err := p.Save(width, height, path); err != nil {
		return fmt.Errorf("plot nodes: %w", err)
	}
	return nil
}
