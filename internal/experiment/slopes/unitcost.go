// Package slopes measures the cost of each part of the control path per unit of size,
// for example per call or per task, and computes from that the cost at the target size.
package slopes

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

// UnitCost is a measured cost per unit of size.
type UnitCost struct {
	// Name identifies the cost in tables, for example "worker report bytes".
	Name string
	// Role is the program or service that incurs the cost.
	Role string
	// Value is the cost per unit of size, in Unit, for example "B" or "us".
	Value float64
	Unit  string
	// Per is the unit of size, for example "call, 23 tasks on the worker".
	Per string
	// Mechanism is the package that implements the measured part.
	Mechanism string
}

// Table holds the measured costs by name.
type Table struct {
	costs  []UnitCost
	byName map[string]UnitCost
}

func (t *Table) add(s UnitCost) {
	if t.byName == nil {
		t.byName = map[string]UnitCost{}
	}
	t.costs = append(t.costs, s)
	t.byName[s.Name] = s
}

// value returns the value of the named cost. It panics if the cost was not measured,
// because sums without it would be wrong.
func (t *Table) value(name string) float64 {
	s, ok := t.byName[name]
	if !ok {
		panic("unit cost not measured: " + name)
	}
	return s.Value
}

// WriteText writes the costs as a text table.
func (t *Table) WriteText(out io.Writer) error {
	const padding = 2
	w := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	fmt.Fprintln(w, "SLOPE\tROLE\tVALUE\tUNIT\tPER\tMECHANISM")
	for _, s := range t.costs {
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%s\t%s\t%s\n", s.Name, s.Role, s.Value, s.Unit, s.Per, s.Mechanism)
	}
	return w.Flush()
}

// WriteCSV writes the costs as CSV.
func (t *Table) WriteCSV(out io.Writer) error {
	w := csv.NewWriter(out)
	if err := w.Write([]string{"slope", "role", "value", "unit", "per", "mechanism"}); err != nil {
		return err
	}
	for _, s := range t.costs {
		value := strconv.FormatFloat(s.Value, 'g', -1, 64)
		if err := w.Write([]string{s.Name, s.Role, value, s.Unit, s.Per, s.Mechanism}); err != nil {
			return err
		}
	}
	w.Flush()
	return w.Error()
}
