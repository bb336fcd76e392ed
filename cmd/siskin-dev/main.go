// Command siskin-dev runs all roles and stand-ins of the platform's services in one
// process on loopback addresses.
package main

import (
	"os"

	"github.com/siskinvane/siskinvane/internal/program"
)

func main() { os.Exit(program.Dev(os.Args[1:], os.Stdout, os.Stderr)) }
