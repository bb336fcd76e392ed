// Package run provides what long-running programs share: the version, exit codes, the
// logger and the shutdown on a signal.
package run

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/logring"
)

// Version is the version of all programs.
const Version = "0.1.0"

// Exit codes of all programs.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitUsage means invalid flags, settings or declarations.
	ExitUsage = 2
)

// StopTimeout is the time within which a program ends after the first signal.
const StopTimeout = 10 * time.Second

// NewLogger returns a logger that writes JSON lines to out. An empty level means "info".
func NewLogger(out io.Writer, level string) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(out)
	l.SetFormatter(formatter)
	SetLevel(l, level)
	return l
}

// SetLevel sets the minimum level of log lines. An empty or unknown level means "info".
func SetLevel(l *logrus.Logger, level string) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		parsed = logrus.InfoLevel
	}
	l.SetLevel(parsed)
}

// formatter formats all log lines. Timestamps have milliseconds so that the lines of
// several hosts can be put in order.
var formatter = &logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"}

// NewRateLimitedLogger returns a logger that never blocks and limits the rate of lines per
// event. The returned writer has to be closed at the end.
func NewRateLimitedLogger(out io.Writer, level string) (*logrus.Logger, *logring.Writer) {
	w := logring.New(out)
	l := NewLogger(w, level)
	l.SetFormatter(logring.NewRateLimitFormatter(formatter, time.Now))
	return l, w
}

// WaitForSignal waits for SIGTERM or SIGINT, calls stop with a context that expires after
// StopTimeout, and returns the exit code. A second signal ends the process immediately.
func WaitForSignal(l *logrus.Logger, stop func(context.Context) error) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	event.ProcessDraining.Log(l, nil)
	go func() {
		<-signals
		event.ProcessAborted.Log(l, nil)
		os.Exit(ExitFailure)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), StopTimeout)
	defer cancel()
	if err := stop(ctx); err != nil {
		event.ProcessFailed.Log(l, logrus.Fields{"error": err})
		return ExitFailure
	}
	event.ProcessStopped.Log(l, nil)
	return ExitOK
}
