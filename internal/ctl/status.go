package ctl

import (
	"fmt"
	"sort"
	"text/tabwriter"

	"github.com/siskinvane/siskinvane/internal/process/node"
	"github.com/siskinvane/siskinvane/internal/process/placer"
)

const tablePadding = 2

type statusCommand struct {
	cli *cli

	Scheduler bool `long:"scheduler" description:"the host runs siskin-scheduler, and --control is the address of its metrics"`
}

// Execute implements flags.Commander.
func (s *statusCommand) Execute([]string) error {
	if s.Scheduler {
		return s.showHost()
	}
	status, err := s.cli.status()
	if err != nil {
		return err
	}
	if s.cli.JSON {
		return s.cli.printJSON(status)
	}
	fmt.Fprintf(s.cli.out, "version %d\n", status.Version)
	w := tabwriter.NewWriter(s.cli.out, 0, 0, tablePadding, ' ', 0)
	writeHosts(w, status)
	writeShards(w, status)
	writeTasks(w, status)
	return w.Flush()
}

// showHost prints the status of a host that runs siskin-scheduler.
func (s *statusCommand) showHost() error {
	var host node.Status
	if err := s.cli.call("GET", node.PathStatus, nil, &host); err != nil {
		return err
	}
	if s.cli.JSON {
		return s.cli.printJSON(host)
	}
	w := tabwriter.NewWriter(s.cli.out, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintln(w, "HOST\tOWNER\tDECLARATIONS\tREAD")
	fmt.Fprintf(w, "%s\t%v\t%d\t%d ms ago\n", host.Host, host.Owner, host.Declarations, host.DeclarationsAgeMS)
	fmt.Fprintln(w, "\nEVACUATED FAILURE DOMAIN\tWORKERS\tRUNNING")
	for _, e := range host.Evacuated {
		if host.Owner {
			fmt.Fprintf(w, "%s\t%d\t%d\n", e.Domain, e.Workers, e.Running)
		} else {
			fmt.Fprintf(w, "%s\t?\t?\n", e.Domain)
		}
	}
	return w.Flush()
}

func writeHosts(w *tabwriter.Writer, s placer.Status) {
	fmt.Fprintln(w, "\nHOST\tFAILURE DOMAIN\tVERSION\tSHARDS\tSTATE")
	for _, m := range s.Members {
		state := "live"
		if m.Draining {
			state = "draining"
		}
		if m.LogDown {
			state += ", log out of reach"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", m.Host, m.Domain, m.ConfigVersion, len(m.Owned), state)
	}
}

func writeShards(w *tabwriter.Writer, s placer.Status) {
	sort.Slice(s.Shards, func(i, j int) bool { return s.Shards[i].Shard < s.Shards[j].Shard })
	fmt.Fprintln(w, "\nSHARD\tOWNER\tEPOCH")
	for _, sh := range s.Shards {
		fmt.Fprintf(w, "%s\t%s\t%d\n", sh.Shard, sh.Owner, sh.Epoch)
	}
}

func writeTasks(w *tabwriter.Writer, s placer.Status) {
	sort.Slice(s.Tasks, func(i, j int) bool { return s.Tasks[i].Task < s.Tasks[j].Task })
	fmt.Fprintln(w, "\nTASK\tSTATE\tATTEMPT\tWORKER\tENDPOINT")
	for _, t := range s.Tasks {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", t.Task, t.State, t.Attempt, t.Worker, t.Endpoint)
	}
}
