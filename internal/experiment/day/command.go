package day

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/siskinvane/siskinvane/internal/process/run"
)

// Command runs simulated days in real time. It implements flags.Commander.
type Command struct {
	Seed uint64 `long:"seed" default:"1" description:"draws jobs, callers and random faults; further days count up from it"`
	Days int    `long:"days" default:"1" description:"days to play, one after the other"`
	Log  string `long:"log" value-name:"FILE" description:"write the hosts' log lines to this file"`
	JSON bool   `long:"json" description:"print JSON instead of tables"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"the day's plan as JSON"`
	} `positional-args:"yes" required:"yes"`
	Out io.Writer `no-flag:"true"`
}

// errViolations reports days with violated guarantees.
var errViolations = errors.New("guarantees were violated")

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	plan, err := readPlan(c.Args.File)
	if err != nil {
		return err
	}
	log := io.Discard
	if c.Log != "" {
		f, err := os.Create(c.Log)
		if err != nil {
			return fmt.Errorf("create log: %w", err)
		}
		defer f.Close()
		log = f
	}
	violatedDays := 0
	for i := range c.Days {
		plan.Seed = c.Seed + uint64(i)
		r, err := Run(plan, run.NewLogger(log, "info"))
		if err != nil {
			return fmt.Errorf("run day of seed %d: %w", plan.Seed, err)
		}
		if err := c.print(plan.Seed, r); err != nil {
			return err
		}
		if len(r.Violations) > 0 {
			violatedDays++
		}
	}
	if violatedDays > 0 {
		return fmt.Errorf("%w on %d of %d days", errViolations, violatedDays, c.Days)
	}
	return nil
}

func (c *Command) print(seed uint64, r Report) error {
	if c.JSON {
		return json.NewEncoder(c.Out).Encode(struct {
			Seed uint64 `json:"seed"`
			Report
		}{seed, r})
	}
	if _, err := fmt.Fprintf(c.Out, "day of seed %d\n", seed); err != nil {
		return err
	}
	return r.Print(c.Out)
}

// readPlan reads and validates a plan. Validation errors name the field.
func readPlan(file string) (Plan, error) {
	var p Plan
	f, err := os.Open(file)
	if err != nil {
		return p, fmt.Errorf("open plan: %w", err)
	}
	defer f.Close()
	d := json.NewDecoder(f)
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return p, fmt.Errorf("read plan %s: %w", file, err)
	}
	if err := p.validate(); err != nil {
		return p, fmt.Errorf("plan %s: %w", file, err)
	}
	return p, nil
}

// Upper bounds of a plan; all hosts run in one process.
const (
	maxHosts         = 64
	maxWorkers       = 254
	maxSeconds       = 3600
	maxJobsPerSecond = 200
	maxRandomFaults  = 1000
	maxPayloadBytes  = 4000
	maxServingLoad   = 10
	// maxLinkKBPerSecond is a link of 10 Gbit/s.
	maxLinkKBPerSecond = 1.25e6
)

func (p *Plan) validate() error {
	ranges := []struct {
		name      string
		value     float64
		low, high float64
	}{
		{"hosts", float64(p.Hosts), 1, maxHosts},
		{"narrow_hosts", float64(p.NarrowHosts), 0, float64(p.Hosts)},
		{"workers", float64(p.Workers), 1, maxWorkers},
		{"seconds", float64(p.Seconds), 1, maxSeconds},
		{"quiet_seconds", float64(p.QuietSeconds), 1, maxSeconds},
		{"jobs_per_second", p.JobsPerSecond, 0.01, maxJobsPerSecond},
		{"random_faults", float64(p.RandomFaults), 0, maxRandomFaults},
		{"random_reductions", float64(p.RandomReductions), 0, maxRandomFaults},
		{"payload_bytes", float64(p.PayloadBytes), 0, maxPayloadBytes},
		{"long_running_share", p.LongRunningShare, 0, 1},
		{"crashing_share", p.CrashingShare, 0, 1},
		{"gang_share", p.GangShare, 0, 1},
		{"serving_share", p.ServingShare, 0, 1},
		{"serving_stay_seconds", float64(p.ServingStaySeconds), 0, maxSeconds},
		{"serving_load_low", p.ServingLoadLow, 0, maxServingLoad},
		{"serving_load_high", p.ServingLoadHigh, p.ServingLoadLow, maxServingLoad},
		{"filler_share", p.FillerShare, 0, 1},
		{"link_kb_per_second", p.LinkKBPerSecond, 0, maxLinkKBPerSecond},
	}
	for _, f := range ranges {
		if f.value < f.low || f.value > f.high {
			return fmt.Errorf("%s: %v, want %v to %v", f.name, f.value, f.low, f.high)
		}
	}
	for i, f := range p.Faults {
		if err := f.validate(p); err != nil {
			return fmt.Errorf("faults[%d].%w", i, err)
		}
	}
	return nil
}
