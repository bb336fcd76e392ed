package ctl

import (
	"encoding/json"
	"fmt"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/placer"
	"github.com/siskinvane/siskinvane/internal/version/declaration"
)

type fileArgs struct {
	File string `positional-arg-name:"FILE" description:"JSON file of declarations"`
}

// readDocument reads a file of declarations and validates it. It returns the
// bytes of the file along with the document. Each error is a *usageError.
func readDocument(path string) ([]byte, *declaration.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, &usageError{err}
	}
	doc, err := declaration.Parse(data)
	if err != nil {
		return nil, nil, &usageError{fmt.Errorf("%s:\n%w", path, err)}
	}
	return data, doc, nil
}

type validateCommand struct {
	cli  *cli
	Args fileArgs `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (v *validateCommand) Execute([]string) error {
	_, doc, err := readDocument(v.Args.File)
	if err != nil {
		return err
	}
	counts := documentCounts{len(doc.Classes), len(doc.Services), len(doc.Templates), len(doc.Teams)}
	return v.cli.print(counts, "valid: %d classes, %d services, %d templates, %d teams\n",
		counts.Classes, counts.Services, counts.Templates, counts.Teams)
}

// documentCounts holds the numbers of declared items in a valid document.
type documentCounts struct {
	Classes   int `json:"classes"`
	Services  int `json:"services"`
	Templates int `json:"templates"`
	Teams     int `json:"teams"`
}

// activeConfig returns the active version of the declarations and its document.
// Version 0 means no published version; its document is empty.
func (c *cli) activeConfig() (placer.ConfigReply, *declaration.Document, error) {
	var reply placer.ConfigReply
	if err := c.call("GET", placer.PathConfig, nil, &reply); err != nil {
		return reply, nil, err
	}
	if reply.Version == 0 {
		return reply, &declaration.Document{Format: declaration.Format}, nil
	}
	doc, err := declaration.Parse(reply.Document)
	if err != nil {
		return reply, nil, fmt.Errorf("version %d in force: %w", reply.Version, err)
	}
	return reply, doc, nil
}

type diffCommand struct {
	cli  *cli
	Args fileArgs `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (d *diffCommand) Execute([]string) error {
	_, after, err := readDocument(d.Args.File)
	if err != nil {
		return err
	}
	reply, before, err := d.cli.activeConfig()
	if err != nil {
		return err
	}
	changes := declaration.Diff(before, after)
	if d.cli.JSON {
		return d.cli.printJSON(changes)
	}
	fmt.Fprintf(d.cli.out, "against version %d: %d changes\n", reply.Version, len(changes))
	for _, c := range changes {
		fmt.Fprintf(d.cli.out, "%s %s\n", c.Kind, c.Item)
		for _, f := range c.Fields {
			fmt.Fprintf(d.cli.out, "  %s\n", f)
		}
	}
	return nil
}

// pollInterval is the time between two polls of a state that a command waits for,
// and between two attempts of a call that is retried.
const pollInterval = 100 * time.Millisecond

type publishCommand struct {
	cli      *cli
	Operator string        `long:"operator" description:"who publishes; the login name by default"`
	Base     *uint64       `long:"base" description:"version that the file is based on; the one in force by default"`
	Wait     bool          `long:"wait" description:"return when all live hosts report the version"`
	Timeout  time.Duration `long:"timeout" default:"3s" description:"with --wait, how long to wait"`
	Args     fileArgs      `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (p *publishCommand) Execute([]string) error {
	data, _, err := readDocument(p.Args.File)
	if err != nil {
		return err
	}
	req := placer.PublishRequest{Operator: p.operatorName(), Document: json.RawMessage(data)}
	if p.Base != nil {
		req.Base = *p.Base
	} else {
		active, _, err := p.cli.activeConfig()
		if err != nil {
			return err
		}
		req.Base = active.Version
	}
	var reply placer.PublishReply
	if err := p.cli.call("POST", placer.PathPublish, req, &reply); err != nil {
		return err
	}
	if err := p.cli.print(reply, "version %d\n", reply.Version); err != nil || !p.Wait {
		return err
	}
	return p.waitForVersion(reply.Version)
}

// operatorName returns the value of --operator, or else the login name.
func (p *publishCommand) operatorName() string {
	if p.Operator != "" {
		return p.Operator
	}
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// waitForVersion polls until all live hosts report the version. After the timeout
// it returns an error that names the hosts that don't.
func (p *publishCommand) waitForVersion(version uint64) error {
	deadline := p.cli.now().Add(p.Timeout)
	path := fmt.Sprintf("%s?want=%d", placer.PathVersions, version)
	for {
		var reply placer.VersionsReply
		if err := p.cli.call("GET", path, nil, &reply); err != nil {
			return err
		}
		if len(reply.Lack) == 0 {
			return p.cli.print(reply, "in force on %d hosts\n", len(reply.Have))
		}
		if p.cli.now().After(deadline) {
			return fmt.Errorf("version %d is not reported after %s by: %s", version, p.Timeout, joinHostIDs(reply.Lack))
		}
		p.cli.sleep(pollInterval)
	}
}

// joinHostIDs lists the hosts, separated by commas.
func joinHostIDs(hosts []platform.HostID) string {
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = string(h)
	}
	return strings.Join(names, ", ")
}
