// Command rig-3 plays the script cases of the third review: it starts siskin-scheduler with the
// command and the settings of the deploy file, stand-ins for the platform and its workers, and
// brings one disruption about.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-3 SCENARIO RECORD")
		os.Exit(2)
	}
	scenarios[os.Args[1]](os.Args[2])
}
