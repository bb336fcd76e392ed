package policy

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"

	"gonum.org/v1/gonum/stat"
)

// column is a column of the result table.
type column struct {
	name  string
	value func(r *Result) float64
}

var tableColumns = []column{
	{"in target", func(r *Result) float64 { return r.InTarget }},
	{"p99/target", func(r *Result) float64 { return r.TailOverTarget }},
	{"batch finished", func(r *Result) float64 { return r.BatchFinished }},
	{"evictions/task", func(r *Result) float64 { return r.EvictionsPerTask }},
	{"kills", func(r *Result) float64 { return float64(r.Kills) }},
	{"wasted work", func(r *Result) float64 { return r.WastedShare }},
}

// metricValues returns one metric of all results of a policy and a mix.
func metricValues(results []Result, mix, policy string, of func(r *Result) float64) []float64 {
	var list []float64
	for i := range results {
		if results[i].Mix == mix && results[i].Policy == policy {
			list = append(list, of(&results[i]))
		}
	}
	return list
}

// WriteTable writes the mean and standard deviation of each metric over the seeds. With
// the results of all policies it also compares them with the goals.
func WriteTable(w io.Writer, results []Result, mixes []Mix, policies []string) error {
	for _, m := range mixes {
		if _, err := fmt.Fprintf(w, "\n%s (mean, standard deviation over seeds)\n\n| policy |", m.Name); err != nil {
			return err
		}
		rule := "\n|---|"
		for _, f := range tableColumns {
			fmt.Fprintf(w, " %s |", f.name)
			rule += "---|"
		}
		fmt.Fprintln(w, rule)
		for _, policy := range policies {
			fmt.Fprintf(w, "| %s |", policy)
			for _, f := range tableColumns {
				mean, deviation := stat.MeanStdDev(metricValues(results, m.Name, policy, f.value), nil)
				fmt.Fprintf(w, " %.4g ± %.2g |", mean, deviation)
			}
			fmt.Fprintln(w)
		}
		if len(policies) == len(allPolicies) {
			writeGoalComparison(w, results, m.Name)
		}
	}
	return nil
}

// writeGoalComparison compares the means with the goals: at most half of best fit's
// excess of p99 over target, at least 95% of its batch work, and at most one eviction
// per 50 tasks.
func writeGoalComparison(w io.Writer, results []Result, mix string) {
	mean := func(policy string, of func(r *Result) float64) float64 {
		return stat.Mean(metricValues(results, mix, policy, of), nil)
	}
	tail := func(r *Result) float64 { return max(r.TailOverTarget-1, 0) }
	batch := func(r *Result) float64 { return r.BatchFinished }
	evictions := func(r *Result) float64 { return r.EvictionsPerTask }
	fmt.Fprintf(w, "\n%s: excess of p99 over target %.3f, best fit %.3f (goal: at most half)\n",
		mix, mean(PolicyLearned, tail), mean(PolicyBestFit, tail))
	fmt.Fprintf(w, "%s: batch work over that of best fit %.3f (goal: at least 0.95)\n",
		mix, mean(PolicyLearned, batch)/mean(PolicyBestFit, batch))
	fmt.Fprintf(w, "%s: evictions per task %.4f (goal: at most 0.02)\n", mix, mean(PolicyLearned, evictions))
}

// WriteCSV writes one line per run.
func WriteCSV(w io.Writer, results []Result) error {
	out := csv.NewWriter(w)
	header := []string{"mix", "policy", "seed", "in_target", "p99_over_target", "batch_finished",
		"evictions", "starts", "throttles", "kills", "wasted_share"}
	if err := out.Write(header); err != nil {
		return fmt.Errorf("write header: %w", err)
	}
	number := func(f float64) string { return strconv.FormatFloat(f, 'g', 6, 64) }
	for _, r := range results {
		line := []string{r.Mix, r.Policy, strconv.FormatUint(r.Seed, 10), number(r.InTarget), number(r.TailOverTarget),
			number(r.BatchFinished), strconv.Itoa(r.Evictions), strconv.Itoa(r.Starts), strconv.Itoa(r.Throttles),
			strconv.Itoa(r.Kills), number(r.WastedShare)}
		if err := out.Write(line); err != nil {
			return fmt.Errorf("write line: %w", err)
		}
	}
	out.Flush()
	return out.Error()
}
