// Package ctl implements siskinctl, the command-line tool of operators.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
	"github.com/siskinvane/siskinvane/internal/process/placer"
	"github.com/siskinvane/siskinvane/internal/process/run"
)

// cli holds the options and dependencies that all subcommands share.
type cli struct {
	Control string `long:"control" default:"127.0.0.1:7001" env:"SISKIN_CONTROL" value-name:"IP:PORT" description:"a host's interface for operators"`
	JSON    bool   `long:"json" description:"print JSON instead of tables"`
	Version func() `long:"version" description:"print the version and exit"`

	out    io.Writer
	client *httpapi.Client
	now    func() time.Time
	sleep  func(time.Duration)
}

// errVersionShown ends a run that only prints the version.
var errVersionShown = errors.New("version shown")

// Main runs siskinctl and returns its exit code: 0 for success, 1 for a failure
// of the system, 2 for invalid input.
func Main(args []string, out, errOut io.Writer) int {
	c := &cli{out: out, now: time.Now, sleep: time.Sleep}
	versionShown := false
	c.Version = func() {
		versionShown = true
		fmt.Fprintln(out, "siskinctl", run.Version)
	}
	parser := flags.NewNamedParser("siskinctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", c); err != nil {
		fmt.Fprintln(errOut, err)
		return run.ExitUsage
	}
	for _, sub := range subcommands(c) {
		if _, err := parser.AddCommand(sub.name, sub.summary, sub.summary, sub.command); err != nil {
			fmt.Fprintln(errOut, err)
			return run.ExitUsage
		}
	}
	parser.CommandHandler = func(command flags.Commander, args []string) error {
		if versionShown {
			return errVersionShown
		}
		return command.Execute(args)
	}
	_, err := parser.ParseArgs(args)
	if versionShown {
		return run.ExitOK
	}
	return printResult(err, out, errOut)
}

// subcommand is one subcommand of siskinctl.
type subcommand struct {
	name    string
	summary string
	command any
}

func subcommands(c *cli) []subcommand {
	return []subcommand{
		{"validate", "check a file of declarations", &validateCommand{cli: c}},
		{"diff", "compare a file of declarations with those in force", &diffCommand{cli: c}},
		{"publish", "publish a file of declarations", &publishCommand{cli: c}},
		{"status", "show hosts, shards and tasks", &statusCommand{cli: c}},
		{"submit", "submit a batch job", &submitCommand{cli: c}},
		{"cancel", "cancel a batch job", &cancelCommand{cli: c}},
		{"watch", "follow a job until all its tasks have ended", &watchCommand{cli: c}},
		{"drain", "make the addressed host hand its shards over", &drainCommand{cli: c}},
		{"explain", "say why a task is where it is", &explainCommand{cli: c}},
		{"losses", "show where jobs went that were not served in time, from the logs of any hosts", &lossesCommand{cli: c}},
		{"trace", "show the life of a job from the logs of any hosts", &traceCommand{cli: c}},
		{"waits", "show how long jobs of each size wait, and which are refused, from the logs of any hosts", &waitsCommand{cli: c}},
	}
}

// printResult prints err, help texts to out and the rest to errOut, and returns
// the exit code.
func printResult(err error, out, errOut io.Writer) int {
	var flagErr *flags.Error
	var usage *usageError
	switch {
	case err == nil:
		return run.ExitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Fprintln(out, err)
		return run.ExitOK
	case errors.As(err, &flagErr), errors.As(err, &usage):
		fmt.Fprintln(errOut, err)
		return run.ExitUsage
	}
	fmt.Fprintln(errOut, err)
	return run.ExitFailure
}

// usageError reports input that only the operator can correct. Retries don't help.
type usageError struct{ err error }

// Error returns the message of the cause.
func (e *usageError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.err }

// call makes one call to the control interface. A response that rejects the
// operator's input becomes a *usageError.
func (c *cli) call(method, path string, request, reply any) error {
	addr, err := netip.ParseAddrPort(c.Control)
	if err != nil {
		return &usageError{fmt.Errorf("--control: %w", err)}
	}
	if c.client == nil {
		if c.client, err = httpapi.NewClient(0); err != nil {
			return err
		}
	}
	err = c.client.Call(context.Background(), addr, method, path, request, reply)
	var status *httpapi.StatusError
	if !errors.As(err, &status) {
		return err
	}
	switch status.Code {
	case httpapi.CodeInvalid, httpapi.CodeBadRequest, httpapi.CodeNotFound, httpapi.CodeRefused, httpapi.CodeTooLarge:
		return &usageError{errors.New(status.Message)}
	case httpapi.CodeStale:
		return errors.New(status.Message)
	}
	return err
}

func (c *cli) status() (placer.Status, error) {
	var s placer.Status
	err := c.call("GET", placer.PathStatus, nil, &s)
	return s, err
}

// print writes the formatted text, or v as JSON if --json is set.
func (c *cli) print(v any, format string, args ...any) error {
	if c.JSON {
		return c.printJSON(v)
	}
	_, err := fmt.Fprintf(c.out, format, args...)
	return err
}

// printJSON writes v as indented JSON.
func (c *cli) printJSON(v any) error {
	enc := json.NewEncoder(c.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
