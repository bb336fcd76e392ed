package ctl

import (
	"errors"
	"fmt"
	"net/url"
	"sort"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/owner"
	"github.com/siskinvane/siskinvane/internal/process/placer"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

type jobArgs struct {
	Job string `positional-arg-name:"JOB" description:"the job's identifier"`
}

type submitCommand struct {
	cli      *cli
	Template string        `long:"template" required:"yes" description:"declared template"`
	Tasks    uint32        `long:"tasks" default:"1" description:"number of tasks"`
	Timeout  time.Duration `long:"timeout" default:"15s" description:"how long to try while the system is not available"`
	Args     struct {
		Job string `positional-arg-name:"JOB" description:"the job's identifier; a random one by default"`
	} `positional-args:"yes"`
}

// Execute submits the job and retries while the system is unavailable.
func (s *submitCommand) Execute([]string) error {
	id := s.Args.Job
	if id == "" {
		id = uuid.NewString()
	}
	req := placer.SubmitRequest{ID: platform.JobID(id), Template: platform.TemplateName(s.Template), Tasks: s.Tasks}
	// A retry is safe since a second submission with the same identifier has no effect.
	submit := func() error { return s.cli.call("POST", placer.PathSubmit, req, nil) }
	if err := s.cli.retry(s.Timeout, submit); err != nil {
		return err
	}
	if s.cli.JSON {
		return s.cli.printJSON(req)
	}
	_, err := fmt.Fprintln(s.cli.out, id)
	return err
}

// retry repeats an idempotent call until it succeeds or fails with a *usageError,
// or until the timeout has passed.
func (c *cli) retry(timeout time.Duration, call func() error) error {
	deadline := c.now().Add(timeout)
	for {
		err := call()
		var usage *usageError
		if err == nil || errors.As(err, &usage) || c.now().After(deadline) {
			return err
		}
		c.sleep(pollInterval)
	}
}

type cancelCommand struct {
	cli     *cli
	Timeout time.Duration `long:"timeout" default:"15s" description:"how long to try while the system is not available"`
	Args    jobArgs       `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *cancelCommand) Execute([]string) error {
	req := placer.CancelRequest{ID: platform.JobID(c.Args.Job)}
	return c.cli.retry(c.Timeout, func() error { return c.cli.call("POST", placer.PathCancel, req, nil) })
}

type watchCommand struct {
	cli     *cli
	Timeout time.Duration `long:"timeout" default:"30s" description:"how long to try while the system is not available"`
	Args    jobArgs       `positional-args:"yes" required:"yes"`
}

// Execute prints the numbers of tasks by state at each change until all have ended.
// It fails unless all tasks finished.
func (w *watchCommand) Execute([]string) error {
	printed := ""
	for {
		var reply placer.JobReply
		path := placer.PathJob + "?job=" + url.QueryEscape(w.Args.Job)
		if err := w.cli.retry(w.Timeout, func() error { return w.cli.call("GET", path, nil, &reply) }); err != nil {
			return err
		}
		counts, allEnded := countStates(reply.Tasks)
		if line := formatCounts(counts); line != printed {
			if err := w.cli.print(counts, "%s\n", line); err != nil {
				return err
			}
			printed = line
		}
		if allEnded {
			return jobResult(counts)
		}
		w.cli.sleep(pollInterval)
	}
}

// countStates counts tasks by state and reports whether all have ended.
func countStates(tasks []placer.TaskStatus) (map[string]int, bool) {
	terminal := map[string]bool{
		record.Finished.String(): true, record.Failed.String(): true,
		record.Cancelled.String(): true, record.Unrunnable.String(): true,
	}
	counts := map[string]int{}
	allEnded := true
	for _, t := range tasks {
		counts[t.State]++
		allEnded = allEnded && terminal[t.State]
	}
	return counts, allEnded
}

// formatCounts lists the counts in the order of the states' names.
func formatCounts(counts map[string]int) string {
	states := make([]string, 0, len(counts))
	for s := range counts {
		states = append(states, s)
	}
	sort.Strings(states)
	parts := make([]string, len(states))
	for i, s := range states {
		parts[i] = fmt.Sprintf("%d %s", counts[s], s)
	}
	return strings.Join(parts, ", ")
}

// jobResult returns an error unless all tasks of an ended job finished.
func jobResult(counts map[string]int) error {
	finished := record.Finished.String()
	if len(counts) == 1 && counts[finished] > 0 {
		return nil
	}
	return fmt.Errorf("not all tasks finished: %s", formatCounts(counts))
}

type explainCommand struct {
	cli  *cli
	Args struct {
		Task string `positional-arg-name:"TASK" description:"the task's identifier"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (e *explainCommand) Execute([]string) error {
	var explanation owner.Explanation
	if err := e.cli.call("GET", placer.PathExplain+"?task="+url.QueryEscape(e.Args.Task), nil, &explanation); err != nil {
		return err
	}
	if e.cli.JSON {
		return e.cli.printJSON(explanation)
	}
	fmt.Fprintf(e.cli.out, "%s is %s (shard %s, team %s, class %s, %s each).\n",
		explanation.Task, explanation.State, explanation.Shard, explanation.Team, explanation.Class, explanation.Declared)
	for _, line := range explanation.Lines {
		fmt.Fprintln(e.cli.out, line)
	}
	return nil
}
