// Command rig runs the scripted cases of the review: it starts the project's scheduler as
// separate processes beside stand-ins for the platform, brings a disruption about, and
// judges what clients, workers and the platform have seen.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// maxDuration is how long a case may take.
const maxDuration = 115 * time.Second

// verdict is the outcome of a case: the violations that were seen.
type verdict []string

// scenarios are the cases by name. trouble is false if the disruption is left out.
var scenarios = map[string]struct {
	deployment
	run func(s *System, trouble bool) (verdict, error)
}{
	"ends":   {deployment{hosts: 3, workers: 3, milliCPU: 32000, memMB: 128000, attempts: 3}, manyEnds},
	"crash":  {deployment{hosts: 3, workers: 14, milliCPU: 32000, memMB: 128000, attempts: 5}, crashes},
	"cancel": {deployment{hosts: 10, workers: 4, milliCPU: 32000, memMB: 128000, attempts: 3}, cancelOvertaken},
	"upkeep": {deployment{hosts: 3, workers: 8, milliCPU: 32000, memMB: 128000, attempts: 3}, upkeepOfServing},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(failed)
	}
	// The processes end with the thread that has started them.
	runtime.LockOSThread()
	time.AfterFunc(maxDuration, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		os.Exit(failed)
	})
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, recordPath string) int {
	c, known := scenarios[name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return failed
	}
	s, err := startSystem(c.deployment)
	defer s.stop()
	var v verdict
	if err == nil {
		v, err = c.run(s, os.Getenv("TROUBLE") != "0")
	}
	code, result := held, "the rule held"
	switch {
	case err != nil:
		code, result = failed, fmt.Sprintf("the case could not run: %v", err)
	case len(v) > 0:
		code, result = broken, fmt.Sprintf("the rule was broken %d times; first: %s", len(v), v[0])
	}
	for i, line := range v {
		if i < 20 {
			s.record.line("broken: %s", line)
		}
	}
	s.record.line("%s", result)
	if err := s.record.write(recordPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	fmt.Println(result)
	return code
}
