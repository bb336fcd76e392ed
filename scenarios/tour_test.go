package scenarios

import (
	"bytes"
	"context"
	"io"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/shlex"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/ctl"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/standin/bed"
)

// tourStep is one command of the tour and the lines that its output must contain, in
// this order.
type tourStep struct {
	command string
	lines   []string
}

// TestTour runs the commands of docs/TOUR.md and compares their output with the page.
func TestTour(t *testing.T) {
	page, err := os.ReadFile("../docs/TOUR.md")
	must.NoError(t, err)
	steps := tourSteps(string(page))
	must.SliceNotEmpty(t, steps)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	b, err := bed.Start(bed.Config{
		Domains: []platform.FailureDomain{"catania", "palermo", "messina"}, Hosts: 3, Workers: 6, WorkersPerRack: 8,
		MaxConnections: 64, DrainNoticeMS: 1, Capacity: platform.Resources{MilliCPU: 32_000, MemoryMB: 125_000, Slots: 8}, Logger: logger,
	})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, b.Stop(context.Background())) })
	awaitStep(t, b.Hosts[0], tourStep{command: "siskinctl status", lines: []string{"entry-0", "entry-1", "entry-2"}})
	for _, s := range steps {
		awaitStep(t, b.Hosts[0], s)
	}
}

// tourSteps returns the commands of the page's console blocks with their output.
func tourSteps(page string) []tourStep {
	var steps []tourStep
	inConsoleBlock := false
	for line := range strings.Lines(page) {
		line = strings.TrimRight(line, "\n")
		switch command, isCommand := strings.CutPrefix(line, "$ "); {
		case strings.HasPrefix(line, "```"):
			inConsoleBlock = line == "```console"
		case !inConsoleBlock:
		case isCommand:
			steps = append(steps, tourStep{command: command})
		default:
			last := &steps[len(steps)-1]
			last.lines = append(last.lines, line)
		}
	}
	return steps
}

// awaitStep repeats a command until its output contains the expected lines, since its
// effects take some time to show. A publish runs only once, since a second publish
// creates another version.
func awaitStep(t *testing.T, h *bed.Host, s tourStep) {
	t.Helper()
	var out string
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(awaitInterval) {
		out = runCommand(t, h, s.command)
		if containsLines(out, s.lines) {
			return
		}
		if strings.Contains(s.command, " publish ") {
			break
		}
	}
	t.Fatalf("$ %s\nwant in order:\n%s\ngot:\n%s", s.command, strings.Join(s.lines, "\n"), out)
}

// runCommand runs a siskinctl or curl command of the tour against a host and returns its
// output.
func runCommand(t *testing.T, h *bed.Host, command string) string {
	t.Helper()
	command = strings.ReplaceAll(command, "127.0.0.1:7000", h.Settings.Entry.String())
	command = strings.ReplaceAll(command, " examples/", " ../examples/")
	words, err := shlex.Split(command)
	must.NoError(t, err)
	if words[0] == "curl" {
		return emulateCurl(t, words[1:])
	}
	must.Eq(t, "siskinctl", words[0])
	var out bytes.Buffer
	ctl.Main(append([]string{"--control", h.Settings.Control.String()}, words[1:]...), &out, &out)
	return out.String()
}

// emulateCurl sends the request of a curl command line. Of curl's options it supports
// -d and ignores those without a value.
func emulateCurl(t *testing.T, args []string) string {
	method, body, url := "GET", "", ""
	for i := 0; i < len(args); i++ {
		switch {
		case args[i] == "-d":
			method, body = "POST", args[i+1]
			i++
		case !strings.HasPrefix(args[i], "-"):
			url = args[i]
		}
	}
	host, path, _ := strings.Cut(strings.TrimPrefix(url, "http://"), "/")
	text, err := sendRequest(host, []string{method, "/" + path, body})
	must.NoError(t, err)
	return "HTTP/1.1 " + text
}

// containsLines reports whether out contains the lines in order, possibly with others
// between them. In lines, "..." matches any text and a run of spaces any other run.
func containsLines(out string, lines []string) bool {
	patterns := make([]string, len(lines))
	for i, l := range lines {
		p := regexp.QuoteMeta(strings.TrimRight(l, " "))
		p = strings.ReplaceAll(p, regexp.QuoteMeta("..."), ".*")
		patterns[i] = "(?m:^" + regexp.MustCompile(` +`).ReplaceAllString(p, " +") + ")"
	}
	pattern := regexp.MustCompile("(?s)" + strings.Join(patterns, "(?s:.*)"))
	return pattern.MatchString(strings.ReplaceAll(out, "\r", ""))
}
