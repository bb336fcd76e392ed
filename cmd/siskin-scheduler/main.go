// Command siskin-scheduler accepts callers' jobs on one host and places their tasks on
// workers while the host owns the shard.
package main

import (
	"os"

	"github.com/siskinvane/siskinvane/internal/program"
)

func main() { os.Exit(program.Scheduler(os.Args[1:], os.Stdout, os.Stderr)) }
