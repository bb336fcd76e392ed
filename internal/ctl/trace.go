package ctl

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/siskinvane/siskinvane/internal/ctl/history"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

type traceCommand struct {
	cli  *cli
	Args struct {
		Job   string   `positional-arg-name:"JOB" description:"the job's identifier: 16 hexadecimal digits"`
		Files []string `positional-arg-name:"FILE" required:"1" description:"logs of any hosts"`
	} `positional-args:"yes" required:"yes"`
}

// Execute reads the log files; it calls no host.
func (c *traceCommand) Execute([]string) error {
	id, err := job.ParseID(c.Args.Job)
	if err != nil {
		return &usageError{err}
	}
	jobHistory := history.New(id)
	for _, name := range c.Args.Files {
		if err := readLog(name, jobHistory); err != nil {
			return &usageError{err}
		}
	}
	if c.cli.JSON {
		return c.cli.printJSON(struct {
			Lines  []history.Line `json:"lines"`
			Causes []string       `json:"causes"`
		}{jobHistory.Lines(), jobHistory.Summary()})
	}
	return jobHistory.Print(c.cli.out)
}

type lossesCommand struct {
	cli  *cli
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"logs of any hosts"`
	} `positional-args:"yes" required:"yes"`
}

// Execute reads the log files; it calls no host.
func (c *lossesCommand) Execute([]string) error {
	losses := history.NewLosses()
	for _, name := range c.Args.Files {
		if err := readLog(name, losses); err != nil {
			return &usageError{err}
		}
	}
	if c.cli.JSON {
		rows, jobs := losses.Rows()
		return c.cli.printJSON(struct {
			Jobs int           `json:"jobs"`
			Rows []history.Row `json:"rows"`
		}{jobs, rows})
	}
	return losses.Print(c.cli.out)
}

type waitsCommand struct {
	cli  *cli
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"logs of any hosts"`
	} `positional-args:"yes" required:"yes"`
}

// Execute reads the log files; it calls no host.
func (c *waitsCommand) Execute([]string) error {
	waits := history.NewWaits()
	for _, name := range c.Args.Files {
		if err := readLog(name, waits); err != nil {
			return &usageError{err}
		}
	}
	if c.cli.JSON {
		return c.cli.printJSON(struct {
			Queues   []history.WaitRow    `json:"queues"`
			Domains  []history.WaitRow    `json:"failure_domains"`
			Refusals []history.RefusalRow `json:"refusals"`
			Causes   []history.CauseRow   `json:"causes"`
			Stops    []history.StopRow    `json:"stops"`
		}{waits.Rows(), waits.DomainRows(), waits.RefusalRows(), waits.CauseRows(), waits.StopRows()})
	}
	return waits.Print(c.cli.out)
}

// logCollector reads the lines of one log at a time. source names the log.
type logCollector interface {
	AddLog(source string, in io.Reader) error
}

// readLog passes the log in a file to collector, with the file's base name as its
// source.
func readLog(name string, collector logCollector) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer f.Close()
	return collector.AddLog(filepath.Base(name), f)
}
