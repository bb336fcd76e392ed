package request

import (
	"errors"
	"fmt"
	"io"
	"time"
)

// Command is the subcommand "requests" of siskin-bench.
type Command struct {
	Oracle       bool   `long:"oracle" description:"send requests under faults and compare what callers were told with what ran"`
	Requests     int    `long:"requests" default:"200000" description:"requests of the oracle"`
	Callers      int    `long:"callers" default:"64" description:"concurrent callers of the oracle"`
	Seed         uint64 `long:"seed" default:"1" description:"seed of faults, events and requests"`
	FaultPercent int    `long:"fault-percent" default:"4" description:"requests that an endpoint fails, in percent"`
	RetryUnknown bool   `long:"retry-unknown" description:"break the entries: send again after an unknown outcome"`
	NoSessions   bool   `long:"no-sessions" description:"callers drop their session tokens"`
	Bench        bool   `long:"bench" description:"measure endpoints called directly and through one entry"`
	Seconds      int    `long:"seconds" default:"3" description:"duration of each measurement"`
	Connections  []int  `long:"connections" description:"open callers' connections to measure with (default: 100 and 8000)"`

	Out io.Writer `no-flag:"true"`
}

// ErrViolation reports that the oracle detected a violated guarantee.
var ErrViolation = errors.New("a guarantee was violated")

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	switch {
	case c.Bench:
		if len(c.Connections) == 0 {
			c.Connections = []int{100, 8000}
		}
		return RunBench(BenchConfig{
			Duration: time.Duration(c.Seconds) * time.Second, Connections: c.Connections, Out: c.Out,
		})
	case c.Oracle:
		return c.oracle()
	}
	return errors.New("missing flag: --oracle or --bench")
}

func (c *Command) oracle() error {
	report, err := RunOracle(OracleConfig{
		Requests: c.Requests, Callers: c.Callers, Entries: 3, Endpoints: 4, Seed: c.Seed,
		FaultPercent: c.FaultPercent, RetryUnknown: c.RetryUnknown, NoSessions: c.NoSessions,
	})
	if err != nil {
		return err
	}
	report.Print(c.Out)
	if n := report.Faults(); n > 0 {
		return fmt.Errorf("%w: %d times", ErrViolation, n)
	}
	return nil
}
