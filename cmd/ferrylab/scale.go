package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"ferryfront.example/ferryfront/internal/capacity"
)

// Default paths of the capacity page and its data, from the root of the repository.
const (
	capacityData = "docs/capacity/slopes.jsonl"
	capacityRuns = "journal/scale.jsonl"
	capacityPage = "docs/CAPACITY.md"
)

// scale is the parent of all that measures the system at the size of its target.
func (p *program) scale() *cobra.Command {
	c := &cobra.Command{Use: "scale", Args: cobra.NoArgs, Short: "Measure how the system grows, and report it"}
	c.AddCommand(p.scaleSlopes(), p.scaleReport(), p.scaleRun(), p.scaleHollow())
	return c
}

// slopes are the flags of the command of that name.
type slopes struct {
	role, quantity, out string
}

func (p *program) scaleSlopes() *cobra.Command {
	var s slopes
	c := &cobra.Command{Use: "slopes", Args: cobra.NoArgs,
		Short: "Measure how state, messages, processor time and memory of each role grow",
		Long: "Measures each quantity at several sizes of what drives it and fits a model. With --json it prints a line of\n" +
			"JSON for each. --out writes the lines to a file; with --role or --quantity the file's other lines stay."}
	f := c.Flags()
	f.BoolVar(&p.asJSON, "json", false, "print JSON, a line a quantity")
	f.StringVar(&s.role, "role", "", fmt.Sprintf("one role: %v", capacity.Roles()))
	f.StringVar(&s.quantity, "quantity", "", "one quantity")
	f.StringVar(&s.out, "out", "", "also write the lines to this `file`")
	c.RunE = func(*cobra.Command, []string) error {
		setup, done, err := p.setup()
		if err != nil {
			return err
		}
		defer done()
		ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer cancel()
		environment := capacity.Environment{Ferryfront: setup.Ferryfront, Dir: setup.Dir}
		return p.measure(ctx, capacity.Measurers(environment), s)
	}
	return c
}

// measure runs the selected measurers, prints each result and writes them to the file.
func (p *program) measure(ctx context.Context, all []capacity.Measurer, s slopes) error {
	selected := capacity.Select(all, capacity.Role(s.role), s.quantity)
	if len(selected) == 0 {
		return fmt.Errorf("nothing is measured of role %q and quantity %q", s.role, s.quantity)
	}
	var measured []capacity.Measurement
	err := capacity.Run(ctx, selected, func(m capacity.Measurement) error {
		measured = append(measured, m)
		if p.asJSON {
			return p.line(m)
		}
		_, err := fmt.Fprintf(p.out, "%s, %s: %g %s at %g %s (%s, r2 %.3f)\n", m.Role, m.Quantity, m.AtTarget, m.Unit,
			m.Target, m.Parameter, m.Model, m.R2)
		return err
	})
	if err != nil || s.out == "" {
		return err
	}
	if len(selected) < len(all) {
		known, err := capacity.ReadMeasurements(s.out)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		measured = capacity.Merge(known, measured)
	}
	return capacity.WriteMeasurements(s.out, measured)
}

func (p *program) scaleReport() *cobra.Command {
	var data, runs, page string
	c := &cobra.Command{Use: "report", Args: cobra.NoArgs, Short: "Rewrite the tables of the capacity page from the data files"}
	f := c.Flags()
	f.StringVar(&data, "data", capacityData, "`file` of measurements")
	f.StringVar(&runs, "runs", capacityRuns, "`file` of runs of the scale test; it need not exist")
	f.StringVar(&page, "page", capacityPage, "`file` of the page")
	c.RunE = func(*cobra.Command, []string) error { return capacity.RewritePage(page, data, runs) }
	return c
}
