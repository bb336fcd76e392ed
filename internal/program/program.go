// Package program implements the long-running programs: it parses flags, loads
// settings, connects the components and stops them on a signal. The commands in cmd
// only call it.
package program

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/process/entry"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/placer"
	"github.com/siskinvane/siskinvane/internal/process/run"
	"github.com/siskinvane/siskinvane/internal/process/settings"
	"github.com/siskinvane/siskinvane/internal/process/telemetry"
)

// Options are the flags of the long-running programs.
type Options struct {
	Settings string `long:"settings" env:"SISKINVANE_SETTINGS" value-name:"FILE" description:"JSON settings file (required)"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

// stopper is a running component that can be stopped.
type stopper interface {
	Stop(ctx context.Context) error
}

// Placer runs siskin-placer and returns its exit code.
func Placer(args []string, out, errOut io.Writer) int {
	return runHost("siskin-placer", args, out, errOut, func(h settings.Host, l *logrus.Logger, t *telemetry.Tracing) (stopper, error) {
		return placer.StartOverHTTP(h, l, t)
	})
}

// Entry runs siskin-entry and returns its exit code.
func Entry(args []string, out, errOut io.Writer) int {
	return runHost("siskin-entry", args, out, errOut, func(h settings.Host, l *logrus.Logger, t *telemetry.Tracing) (stopper, error) {
		return entry.Start(entry.Config{Host: h, Logger: l, Tracing: t})
	})
}

// loadSettings parses a program's flags and reads its settings file. It returns the
// settings and the path of their file. If ok is false the program must exit with code:
// the input is invalid, or the flags only ask for help, the version or a check.
func loadSettings[S any](name string, args []string, out, errOut io.Writer, read func(path string) (S, error)) (s S, path string, code int, ok bool) {
	var o Options
	if code, ok := parseFlags(name, &o, args, out, errOut); !ok {
		return s, "", code, false
	}
	if o.Version {
		fmt.Fprintln(out, name, run.Version)
		return s, "", run.ExitOK, false
	}
	s, err := read(o.Settings)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return s, "", run.ExitUsage, false
	}
	if o.Check {
		fmt.Fprintln(out, "settings are valid")
		return s, "", run.ExitOK, false
	}
	return s, o.Settings, run.ExitOK, true
}

// runHost runs a program of an entry host until a signal stops it and returns its exit
// code. start starts the program's component.
func runHost(
	name string, args []string, out, errOut io.Writer,
	start func(settings.Host, *logrus.Logger, *telemetry.Tracing) (stopper, error),
) int {
	h, _, code, ok := loadSettings(name, args, out, errOut, settings.Load)
	if !ok {
		return code
	}
	logger := run.NewLogger(errOut, h.LogLevel)
	event.ProcessStarted.Log(logger, logrus.Fields{"program": name, "version": run.Version, "host": h.ID})
	tracing, err := telemetry.NewTracing(h.Trace, name, string(h.ID))
	if err != nil {
		fmt.Fprintln(errOut, err)
		return run.ExitUsage
	}
	p, err := start(h, logger, tracing)
	if err != nil {
		event.ProcessFailed.Log(logger, logrus.Fields{"error": err})
		return run.ExitFailure
	}
	event.ProcessReady.Log(logger, logrus.Fields{"program": name})
	return run.WaitForSignal(logger, func(ctx context.Context) error {
		return errors.Join(p.Stop(ctx), tracing.Close(ctx))
	})
}

// parseFlags fills options from the command line. If the second result is false the
// program must exit with the code in the first.
func parseFlags(name string, options any, args []string, out, errOut io.Writer) (int, bool) {
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		fmt.Fprintln(errOut, err)
		return run.ExitUsage, false
	}
	rest, err := parser.ParseArgs(args)
	if flags.WroteHelp(err) {
		fmt.Fprintln(out, err)
		return run.ExitOK, false
	}
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unexpected argument %q", rest[0])
	}
	if err != nil {
		fmt.Fprintln(errOut, err)
		return run.ExitUsage, false
	}
	return run.ExitOK, true
}
