package slopes

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// Command is the subcommand "slopes" of siskin-bench.
type Command struct {
	Out       io.Writer `no-flag:"true"`
	Directory string    `long:"out" value-name:"DIR" description:"also write slopes.csv, nodes.csv and nodes.png here"`
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	t, err := Measure()
	if err != nil {
		return err
	}
	if err := t.WriteText(c.Out); err != nil {
		return err
	}
	fmt.Fprintln(c.Out)
	rows := t.Nodes(TargetSize)
	if err := WriteNodes(c.Out, rows); err != nil {
		return err
	}
	if c.Directory == "" {
		return nil
	}
	return c.writeFiles(t, rows)
}

func (c *Command) writeFiles(t *Table, rows []NodeCost) error {
	if err := os.MkdirAll(c.Directory, 0o755); err != nil {
		return fmt.Errorf("create directory for results: %w", err)
	}
	file, err := os.Create(filepath.Join(c.Directory, "slopes.csv"))
	if err != nil {
		return fmt.Errorf("write slopes: %w", err)
	}
	defer file.Close()
	if err := t.WriteCSV(file); err != nil {
		return fmt.Errorf("write slopes: %w", err)
	}
	return plotNodes(filepath.Join(c.Directory, "nodes.png"), rows)
}

// Measure measures all unit costs. It takes less than two minutes.
func Measure() (*Table, error) {
	t := &Table{}
	steps := []struct {
		name string
		run  func(*Table) error
	}{
		{"worker calls", measureWorkerCalls},
		{"host list", measureHostList},
		{"heartbeats", measureHeartbeats},
		{"log bytes", measureLogBytes},
		{"task table", measureTaskTable},
		{"endpoints", measureDirectory},
		{"declarations", measureDeclarations},
		{"placement", measurePlacement},
		{"idempotency keys", measureIdempotencyKeys},
	}
	for _, s := range steps {
		if err := s.run(t); err != nil {
			return nil, fmt.Errorf("measure %s: %w", s.name, err)
		}
	}
	return t, nil
}
