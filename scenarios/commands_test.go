package scenarios

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/ctl"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/settings"
	"github.com/siskinvane/siskinvane/internal/standin/bed"
)

const (
	awaitTimeout  = 30 * time.Second
	awaitInterval = 100 * time.Millisecond
)

var examplesDir = mustAbs("../examples")

func mustAbs(path string) string {
	abs, err := filepath.Abs(path)
	if err != nil {
		panic(err)
	}
	return abs
}

// cmdStart starts hosts and workers: start HOSTS WORKERS.
func cmdStart(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: start HOSTS WORKERS")
	}
	hosts, err := strconv.Atoi(args[0])
	ts.Check(err)
	workers, err := strconv.Atoi(args[1])
	ts.Check(err)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	b, err := bed.Start(bed.Config{
		Domains: []platform.FailureDomain{"catania", "palermo", "messina"},
		Hosts:   hosts, Workers: workers, WorkersPerRack: 8, MaxConnections: 64,
		Capacity: platform.Resources{MilliCPU: 32000, MemoryMB: 125000, Slots: 8},
		Logger:   logger, DrainNoticeMS: 1,
	})
	ts.Check(err)
	ts.Defer(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := b.Stop(ctx); err != nil {
			ts.Logf("stop: %v", err)
		}
	})
	started := ts.Value(hostsKey{}).(*startedHosts)
	started.bed, started.hosts = b, append([]*bed.Host(nil), b.Hosts...)
	for i, h := range b.Hosts {
		setHostVariables(ts, i, h.Settings)
	}
	cmdUse(ts, false, []string{"0"})
}

// cmdRetry repeats a call until the response status is 200, or with ! until it is
// another one: retry call METHOD PATH [BODY].
func cmdRetry(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 3 || args[0] != "call" {
		ts.Fatalf("usage: retry call METHOD PATH [BODY]")
	}
	var text string
	var err error
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(awaitInterval) {
		text, err = sendRequest(ts.Getenv("ENTRY"), args[1:])
		if err == nil && strings.HasPrefix(text, "200") != neg {
			_, err = ts.Stdout().Write([]byte(text))
			ts.Check(err)
			return
		}
	}
	ts.Fatalf("no answer: %s %v", text, err)
}

// cmdCall sends a request through the selected host and fails unless the response
// status is 200, or with ! if it is: call METHOD PATH [BODY]. A first argument key=K
// sets the Idempotency-Key header. Status, headers and body of the response go to
// standard output.
func cmdCall(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: call METHOD PATH [BODY]")
	}
	text, err := sendRequest(ts.Getenv("ENTRY"), args)
	ts.Check(err)
	_, err = ts.Stdout().Write([]byte(text))
	ts.Check(err)
	if ok := strings.HasPrefix(text, "200"); ok == neg {
		ts.Fatalf("unexpected answer: %s", text)
	}
}

// sendRequest sends a request to the entry at an address and returns status, headers
// and body of the response as text. args are those of cmdCall.
func sendRequest(entry string, args []string) (string, error) {
	key, keyed := strings.CutPrefix(args[0], "key=")
	if keyed {
		args = args[1:]
	}
	body := strings.Join(args[2:], " ")
	req, err := http.NewRequest(args[0], "http://"+entry+args[1], strings.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Close = true
	if keyed {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	fmt.Fprintln(&b, resp.Status)
	if err := resp.Header.Write(&b); err != nil {
		return "", err
	}
	_, err = io.Copy(&b, resp.Body)
	return b.String(), err
}

// cmdAwait repeats a siskinctl command until its output matches a pattern:
// await PATTERN ARGS...
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: await PATTERN ARGS...")
	}
	pattern, err := regexp.Compile("(?m)" + args[0])
	ts.Check(err)
	controlArgs := append([]string{"--control", ts.Getenv("CONTROL")}, args[1:]...)
	var out bytes.Buffer
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(awaitInterval) {
		out.Reset()
		ctl.Main(controlArgs, &out, &out)
		if pattern.Match(out.Bytes()) {
			return
		}
	}
	ts.Fatalf("no match for %q in:\n%s", args[0], out.String())
}

// setHostVariables sets CONTROL_i and ENTRY_i to the addresses of host i, and LOG and
// HOSTLIST to those of the platform's services.
func setHostVariables(ts *testscript.TestScript, i int, h settings.Host) {
	ts.Setenv("LOG", h.Log.String())
	ts.Setenv("HOSTLIST", h.HostList.String())
	ts.Setenv(fmt.Sprintf("CONTROL_%d", i), h.Control.String())
	ts.Setenv(fmt.Sprintf("ENTRY_%d", i), h.Entry.String())
}

// cmdHosts waits for the settings files that siskin-dev writes, sets the variables of
// their hosts and selects host 0: hosts DIR COUNT.
func cmdHosts(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: hosts DIR COUNT")
	}
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	for i := range count {
		path := filepath.Join(ts.MkAbs(args[0]), fmt.Sprintf("entry-%d.json", i))
		h, err := settings.Load(path)
		for deadline := time.Now().Add(awaitTimeout); err != nil && time.Now().Before(deadline); {
			time.Sleep(awaitInterval)
			h, err = settings.Load(path)
		}
		ts.Check(err)
		setHostVariables(ts, i, h)
	}
	cmdUse(ts, false, []string{"0"})
}

// cmdUse selects the host that await, call and $CONTROL address: use HOST.
func cmdUse(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: use HOST")
	}
	ts.Setenv("CONTROL", ts.Getenv("CONTROL_"+args[0]))
	ts.Setenv("ENTRY", ts.Getenv("ENTRY_"+args[0]))
}
