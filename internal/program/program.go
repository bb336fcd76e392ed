// Package program holds the long-running programs: flags, settings, wiring and
// the stop on a signal. The commands in cmd only call it.
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

// stopper is a running process face.
type stopper interface {
	Stop(ctx context.Context) error
}

// Placer runs siskin-placer and returns its exit code.
func Placer(args []string, out, errOut io.Writer) int {
	return host("siskin-placer", args, out, errOut, func(h settings.Host, l *logrus.Logger, t *telemetry.Tracing) (stopper, error) {
		return placer.StartOverHTTP(h, l, t)
	})
}

// Entry runs siskin-entry and returns its exit code.
func Entry(args []string, out, errOut io.Writer) int {
	return host("siskin-entry", args, out, errOut, func(h settings.Host, l *logrus.Logger, t *telemetry.Tracing) (stopper, error) {
		return entry.Start(entry.Config{Host: h, Logger: l, Tracing: t})
	})
}

// load reads a program's flags and its settings file, whose path it returns as well.
// Without ok the program ends with the code.
func load[S any](name string, args []string, out, errOut io.Writer, read func(path string) (S, error)) (s S, path string, code int, ok bool) {
	var o Options
	if code, ok := parse(name, &o, args, out, errOut); !ok {
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

// host runs a program of an entry host from its flags to its stop.
func host(
	name string, args []string, out, errOut io.Writer,
	start func(settings.Host, *logrus.Logger, *telemetry.Tracing) (stopper, error),
) int {
	h, _, code, ok := load(name, args, out, errOut, settings.Load)
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
	return run.UntilSignal(logger, func(ctx context.Context) error {
		return errors.Join(p.Stop(ctx), tracing.Close(ctx))
	})
}

// parse fills options from the command line. The second result is false when
// the program has to exit with the code in the first.
func parse(name string, options any, args []string, out, errOut io.Writer) (int, bool) {
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
