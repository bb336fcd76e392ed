// Command rig-2 plays the script cases of a review: it starts siskin-scheduler processes
// beside stand-ins of the platform, its workers and its clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

var cases = map[string]func(log *recorder, trouble bool) (broken []string, err error){
	"wide-job": wideJob,
	"cancel":   cancel,
	"schedule": schedule,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	log, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	broken, err := cases[os.Args[1]](log, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		log.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		os.Exit(exitCannotRun)
	case len(broken) > 0:
		for _, b := range broken {
			log.printf("BROKEN: %s", b)
			fmt.Println("broken:", b)
		}
		os.Exit(exitBroken)
	}
	log.printf("the rule held")
	fmt.Println("held")
	os.Exit(exitHeld)
}
