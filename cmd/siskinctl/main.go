// Command siskinctl is the command-line tool of operators.
package main

import (
	"os"

	"github.com/siskinvane/siskinvane/internal/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
