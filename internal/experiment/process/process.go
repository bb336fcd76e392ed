// Package process measures the resource usage of a running process from /proc: processor
// time, bytes read and written, and resident memory.
package process

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is the resource usage of a process since its start.
type Usage struct {
	// Processor is user and system time.
	Processor time.Duration
	// Bytes is the number of bytes read and written through system calls. For a
	// process that uses no files this is its socket traffic.
	Bytes int64
	// ResidentMB is the resident memory in units of 10^6 bytes.
	ResidentMB float64
}

// ticksPerSecond is the number of clock ticks per second in /proc.
const ticksPerSecond = 100

// Read returns the current usage of a process.
func Read(pid int) (Usage, error) {
	var u Usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, fmt.Errorf("read usage of process %d: %w", pid, err)
	}
	ticks, err := processorTicks(string(stat))
	if err != nil {
		return u, err
	}
	u.Processor = time.Duration(ticks) * time.Second / ticksPerSecond
	for _, key := range []string{"rchar:", "wchar:"} {
		n, err := readField(fmt.Sprintf("/proc/%d/io", pid), key)
		if err != nil {
			return u, err
		}
		u.Bytes += n
	}
	resident, err := readField(fmt.Sprintf("/proc/%d/status", pid), "VmRSS:")
	if err != nil {
		return u, err
	}
	const bytesPerKiB, bytesPerMB = 1024, 1e6
	u.ResidentMB = float64(resident) * bytesPerKiB / bytesPerMB
	return u, nil
}

// processorTicks returns the sum of fields 14 and 15 of a stat line, user and system
// time. It splits the line after the program's name, which may contain spaces.
func processorTicks(stat string) (int64, error) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0, fmt.Errorf("stat line %q is malformed", stat)
	}
	userTicks, err := strconv.ParseInt(fields[userField], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("parse user time in stat line: %w", err)
	}
	systemTicks, err := strconv.ParseInt(fields[systemField], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("parse system time in stat line: %w", err)
	}
	return userTicks + systemTicks, nil
}

// readField returns the number after a key in a file with one key per line.
func readField(path, key string) (int64, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("read usage: %w", err)
	}
	for line := range strings.Lines(string(data)) {
		words := strings.Fields(line)
		if len(words) >= 2 && words[0] == key {
			return strconv.ParseInt(words[1], 10, 64)
		}
	}
	return 0, fmt.Errorf("no %s in %s", key, path)
}

// Command is the subcommand "process" of siskin-bench.
type Command struct {
	Out   io.Writer     `no-flag:"true"`
	PID   int           `long:"pid" required:"yes" description:"process to measure"`
	For   time.Duration `long:"for" default:"10s" description:"how long to measure"`
	Label string        `long:"label" description:"text in front of the figures"`
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	before, err := Read(c.PID)
	if err != nil {
		return err
	}
	startedAt := time.Now()
	time.Sleep(c.For)
	after, err := Read(c.PID)
	if err != nil {
		return err
	}
	elapsed := time.Since(startedAt)
	const percent = 100
	_, err = fmt.Fprintf(c.Out, "%s\t%.2f %% of a core\t%.0f B/s\t%.1f MB\n", c.Label,
		percent*(after.Processor-before.Processor).Seconds()/elapsed.Seconds(),
		float64(after.Bytes-before.Bytes)/elapsed.Seconds(), after.ResidentMB)
	return err
}
