package scenarios

import (
	"path/filepath"
	"strings"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdFreeze suspends a background process: freeze PROGRAM HOST.
func cmdFreeze(ts *testscript.TestScript, neg bool, args []string) {
	signalProcess(ts, neg, args, syscall.SIGSTOP)
}

// cmdThaw resumes a suspended process: thaw PROGRAM HOST.
func cmdThaw(ts *testscript.TestScript, neg bool, args []string) {
	signalProcess(ts, neg, args, syscall.SIGCONT)
}

// cmdTerminate sends SIGTERM to a background process: terminate PROGRAM HOST.
func cmdTerminate(ts *testscript.TestScript, neg bool, args []string) {
	signalProcess(ts, neg, args, syscall.SIGTERM)
}

// signalProcess sends a signal to the running background process of a program that was
// started with the settings file of a host.
func signalProcess(ts *testscript.TestScript, neg bool, args []string, sig syscall.Signal) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: freeze|thaw|terminate PROGRAM HOST")
	}
	sent := false
	for _, cmd := range ts.BackgroundCmds() {
		line := strings.Join(cmd.Args, " ")
		if filepath.Base(cmd.Args[0]) == args[0] && strings.Contains(line, args[1]+".json") && cmd.ProcessState == nil {
			ts.Check(cmd.Process.Signal(sig))
			sent = true
		}
	}
	if !sent {
		ts.Fatalf("no process %s of host %s", args[0], args[1])
	}
}
