// Package scenarios runs the scripts of testdata against the whole system. A script
// starts hosts and workers, drives them with siskinctl and callers' requests, injects
// faults and checks the results.
package scenarios

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/siskinvane/siskinvane/internal/ctl"
	"github.com/siskinvane/siskinvane/internal/program"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"siskinctl":     func() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"siskin-dev":    func() { os.Exit(program.Dev(os.Args[1:], os.Stdout, os.Stderr)) },
		"siskin-entry":  func() { os.Exit(program.Entry(os.Args[1:], os.Stdout, os.Stderr)) },
		"siskin-placer": func() { os.Exit(program.Placer(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examplesDir)
			env.Values[hostsKey{}] = &startedHosts{}
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"start":     cmdStart,
			"call":      cmdCall,
			"await":     cmdAwait,
			"logfaults": cmdLogFaults,
			"hosts":     cmdHosts,
			"retry":     cmdRetry,
			"use":       cmdUse,
			"replace":   cmdReplace,
			"worker":    cmdWorker,
			"runs-once": cmdRunsOnce,
			"freeze":    cmdFreeze,
			"thaw":      cmdThaw,
			"terminate": cmdTerminate,
		},
	})
}
