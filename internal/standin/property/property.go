// Package property fixes the seed and the size of property tests, so that each run
// gives the same result.
package property

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"

	// rapid defines the flags that Main sets.
	_ "pgregory.net/rapid"
)

// Main runs a package's tests with seed 1 and the given number of checks, with at most
// steps actions each; zero steps keeps rapid's default. Flags on the command line take
// precedence. Main does not return.
func Main(m *testing.M, checks, steps int) {
	flag.Parse()
	values := map[string]string{
		"rapid.seed": "1", "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true",
	}
	if steps > 0 {
		values["rapid.steps"] = strconv.Itoa(steps)
	}
	flag.Visit(func(f *flag.Flag) { delete(values, f.Name) })
	for name, value := range values {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}
