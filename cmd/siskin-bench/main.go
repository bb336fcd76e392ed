// Command siskin-bench runs benchmarks and checks that take too long for tests. Each
// subcommand is one of them.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/siskinvane/siskinvane/internal/experiment/combined"
	"github.com/siskinvane/siskinvane/internal/experiment/day"
	"github.com/siskinvane/siskinvane/internal/experiment/policy"
	"github.com/siskinvane/siskinvane/internal/experiment/process"
	"github.com/siskinvane/siskinvane/internal/experiment/request"
	"github.com/siskinvane/siskinvane/internal/experiment/slopes"
	"github.com/siskinvane/siskinvane/internal/experiment/starts"
	"github.com/siskinvane/siskinvane/internal/process/run"
)

func main() { os.Exit(benchMain()) }

func benchMain() int {
	parser := flags.NewParser(nil, flags.Default)
	parser.AddCommand("requests", "request path: oracle and benchmark", //nolint:errcheck // the names are distinct
		"Drives entries with stand-in endpoints, and checks or measures them.", &request.Command{Out: os.Stdout})
	parser.AddCommand("slopes", "cost of control for each unit of size", //nolint:errcheck // the names are distinct
		"Measures what control costs and works out the target's size.", &slopes.Command{Out: os.Stdout})
	parser.AddCommand("starts", "time from submit to start", //nolint:errcheck // the names are distinct
		"Submits tasks to one owner in real time and measures when their workers run them.", &starts.Command{Stdout: os.Stdout})
	parser.AddCommand("policy", "placement decisions against baselines", //nolint:errcheck // the names are distinct
		"Drives the planner and three baselines through the same virtual hours.", &policy.Command{Stdout: os.Stdout})
	parser.AddCommand("process", "what a running process uses", //nolint:errcheck // the names are distinct
		"Measures processor time, bytes and memory of a process.", &process.Command{Out: os.Stdout})
	parser.AddCommand("combined", "the whole system under random faults", //nolint:errcheck // the names are distinct
		"Drives processes that a script started, and checks the promises.", &combined.Command{Out: os.Stdout})
	parser.AddCommand("day", "hosts, workers and callers under faults", //nolint:errcheck // the names are distinct
		"Plays a day of several hosts in one process against stand-ins, and checks what callers and workers see.", &day.Command{Out: os.Stdout})
	_, err := parser.Parse()
	var flagErr *flags.Error
	switch {
	case err == nil:
		return run.ExitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		return run.ExitOK
	case errors.As(err, &flagErr):
		return run.ExitUsage
	}
	return run.ExitFailure
}
