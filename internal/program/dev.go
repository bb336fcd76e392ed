package program

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/run"
	"github.com/siskinvane/siskinvane/internal/process/settings"
	"github.com/siskinvane/siskinvane/internal/standin/bed"
)

// devOptions are the flags of siskin-dev. The default sizes are those of the workers
// at the Diarietto site.
type devOptions struct {
	Hosts     int    `long:"hosts" default:"3" description:"number of entry hosts"`
	Workers   int    `long:"workers" default:"6" description:"number of workers"`
	Slots     int64  `long:"slots" default:"8" description:"tasks that a worker may hold"`
	Control   uint16 `long:"control-port" default:"7001" description:"port of the first host's interface for operators"`
	Entry     uint16 `long:"entry-port" default:"7000" description:"port of the first host's interface for callers"`
	Platform  bool   `long:"platform-only" description:"run only the platform's stand-ins, for hosts started apart"`
	Directory string `long:"settings-dir" value-name:"DIR" description:"write a settings file for each host here"`
	LogLevel  string `long:"log-level" default:"warning" description:"least level of log lines"`
	Version   bool   `long:"version" description:"print the version and exit"`
}

// Capacity, racks and connections of siskin-dev's workers.
const (
	devMilliCPU       = 32_000
	devMemoryMB       = 125_000
	devWorkersPerRack = 8
	devConnections    = 64
)

// Dev runs siskin-dev and returns its exit code.
func Dev(args []string, out, errOut io.Writer) int {
	var o devOptions
	if code, ok := parseFlags("siskin-dev", &o, args, out, errOut); !ok {
		return code
	}
	if o.Version {
		fmt.Fprintln(out, "siskin-dev", run.Version)
		return run.ExitOK
	}
	logger := run.NewLogger(errOut, o.LogLevel)
	b, err := bed.Start(bed.Config{
		Domains: []platform.FailureDomain{"catania", "palermo", "messina"},
		Hosts:   o.Hosts, Workers: o.Workers, WorkersPerRack: devWorkersPerRack, MaxConnections: devConnections,
		Capacity: platform.Resources{MilliCPU: devMilliCPU, MemoryMB: devMemoryMB, Slots: o.Slots},
		Logger:   logger, ControlPort: o.Control, EntryPort: o.Entry, PlatformOnly: o.Platform,
	})
	if err != nil {
		fmt.Fprintln(errOut, err)
		return run.ExitFailure
	}
	if err := reportHosts(b, o.Directory, out); err != nil {
		fmt.Fprintln(errOut, err)
		return run.ExitFailure
	}
	event.ProcessReady.Log(logger, nil)
	return run.WaitForSignal(logger, b.Stop)
}

// reportHosts writes the hosts' settings files to dir unless dir is empty, and prints
// how operators and callers reach the first host.
func reportHosts(b *bed.Bed, dir string, out io.Writer) error {
	if dir != "" {
		for _, h := range b.Hosts {
			if err := writeSettings(dir, h.Settings); err != nil {
				return err
			}
		}
	}
	if len(b.Hosts) == 0 {
		return nil
	}
	first := b.Hosts[0].Settings
	_, err := fmt.Fprintf(out, "operators: siskinctl --control %s status\ncallers:   http://%s/svc/<service>/\n",
		first.Control, first.Entry)
	return err
}

// writeSettings writes the settings of a host to a file in dir, named by the host's ID.
func writeSettings(dir string, h settings.Host) error {
	data, err := json.MarshalIndent(h, "", "  ")
	if err != nil {
		return fmt.Errorf("encode settings of %s: %w", h.ID, err)
	}
	path := filepath.Join(dir, string(h.ID)+".json")
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}
