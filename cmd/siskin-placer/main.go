// Command siskin-placer runs the control process of an entry host.
package main

import (
	"os"

	"github.com/siskinvane/siskinvane/internal/program"
)

func main() { os.Exit(program.Placer(os.Args[1:], os.Stdout, os.Stderr)) }
