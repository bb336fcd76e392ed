// Package starts measures the time from a task's submission to its start on a worker, in
// real time and in one process: an owner with stand-ins of the log and the workers that
// answer with a delay gets jobs at a constant rate.
package starts

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Command is the subcommand "starts" of siskin-bench.
type Command struct {
	Workers     int     `long:"workers" default:"175" description:"workers of the owner"`
	Rate        float64 `long:"rate" default:"9.2" description:"task starts a second"`
	Urgent      float64 `long:"urgent" default:"0.2" description:"part of the tasks that may not wait"`
	Seconds     int     `long:"seconds" default:"20" description:"length of the run"`
	Backlog     int     `long:"backlog" default:"500" description:"batch tasks that wait from the start on"`
	LogMillis   int     `long:"log-ms" default:"10" description:"delay of each call to the log"`
	WorkerMilli int     `long:"worker-ms" default:"2" description:"delay of each call to a worker"`

	// Stdout receives the table.
	Stdout io.Writer `no-flag:"true"`
}

// errNoUrgentStart reports a run without a started urgent task.
var errNoUrgentStart = errors.New("no urgent task was started")

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	b, err := newBench(c)
	if err != nil {
		return err
	}
	defer b.owner.Close()
	if err := b.run(context.Background()); err != nil {
		return err
	}
	fmt.Fprintf(c.Stdout, "%d workers, %.1f starts/s for %d s, backlog %d, log %d ms, worker %d ms\n\n",
		c.Workers, c.Rate, c.Seconds, c.Backlog, c.LogMillis, c.WorkerMilli)
	fmt.Fprintln(c.Stdout, "| work | submitted | started | p50 ms | p99 ms | max ms |\n|---|---|---|---|---|---|")
	if b.urgent.TotalCount() == 0 {
		return errNoUrgentStart
	}
	c.printRow("urgent", b.submitted[true], b.urgent)
	c.printRow("may wait", b.submitted[false], b.mayWait)
	return nil
}

func (c *Command) printRow(name string, submitted int, h *hdrhistogram.Histogram) {
	fmt.Fprintf(c.Stdout, "| %s | %d | %d | %d | %d | %d |\n",
		name, submitted, h.TotalCount(), h.ValueAtPercentile(50), h.ValueAtPercentile(99), h.Max())
}

// maxLatency is the largest recorded time from submission to start.
const maxLatency = 10 * time.Minute

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Milliseconds(), 3)
}
