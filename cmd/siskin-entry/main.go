// Command siskin-entry runs the process of an entry host that forwards callers'
// requests.
package main

import (
	"os"

	"github.com/siskinvane/siskinvane/internal/program"
)

func main() { os.Exit(program.Entry(os.Args[1:], os.Stdout, os.Stderr)) }
