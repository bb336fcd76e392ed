package policy

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"github.com/panjf2000/ants/v2"
)

// Command is the subcommand "policy" of siskin-bench.
type Command struct {
	Seeds     int    `long:"seeds" default:"10" description:"number of seeds"`
	FirstSeed uint64 `long:"first-seed" default:"1" description:"first seed"`
	Mix       string `long:"mix" description:"only this user's mix: diarietto or padyak"`
	Policy    string `long:"policy" description:"only this policy; the goal is not worked out then"`
	Parallel  int    `long:"parallel" default:"3" description:"runs at a time"`
	Out       string `long:"out" description:"directory for policy.csv and the plots"`

	// Stdout receives the table.
	Stdout io.Writer `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	mixes := c.mixes()
	policies := c.policies()
	if len(mixes) == 0 || len(policies) == 0 {
		return fmt.Errorf("unknown mix %q or unknown policy %q", c.Mix, c.Policy)
	}
	results, err := c.measure(mixes, policies)
	if err != nil {
		return err
	}
	if err := WriteTable(c.Stdout, results, mixes, policies); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	if c.Out == "" {
		return nil
	}
	return c.save(results, mixes)
}

func (c *Command) mixes() []Mix {
	var list []Mix
	for _, m := range Mixes() {
		if c.Mix == "" || c.Mix == m.Name {
			list = append(list, m)
		}
	}
	return list
}

func (c *Command) policies() []string {
	if c.Policy == "" {
		return allPolicies
	}
	return slices.DeleteFunc(slices.Clone(allPolicies), func(p string) bool { return p != c.Policy })
}

// measure runs all mixes, policies and seeds, c.Parallel runs at a time.
func (c *Command) measure(mixes []Mix, policies []string) ([]Result, error) {
	pool, err := ants.NewPool(c.Parallel)
	if err != nil {
		return nil, fmt.Errorf("create pool: %w", err)
	}
	defer pool.Release()
	results := make([]Result, len(mixes)*len(policies)*c.Seeds)
	var wg sync.WaitGroup
	for i := range results {
		wg.Add(1)
		seed := c.FirstSeed + uint64(i%c.Seeds)
		policy := policies[i/c.Seeds%len(policies)]
		mix := &mixes[i/c.Seeds/len(policies)]
		err := pool.Submit(func() {
			defer wg.Done()
			results[i] = Run(mix, policy, seed)
		})
		if err != nil {
			return nil, fmt.Errorf("submit run: %w", err)
		}
	}
	wg.Wait()
	return results, nil
}

// save writes the CSV file and one plot per mix.
func (c *Command) save(results []Result, mixes []Mix) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	f, err := os.Create(filepath.Join(c.Out, "policy.csv"))
	if err != nil {
		return fmt.Errorf("create file: %w", err)
	}
	defer f.Close()
	if err := WriteCSV(f, results); err != nil {
		return err
	}
	for _, m := range mixes {
		if err := WritePlot(filepath.Join(c.Out, "policy-"+m.Name+".png"), results, m.Name); err != nil {
			return err
		}
	}
	return nil
}
