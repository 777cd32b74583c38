package main

import "github.com/spf13/cobra"

// scale holds the measurements and the test of a large fleet.
func (p *program) scale() *cobra.Command {
	c := &cobra.Command{Use: "scale", Short: "Measure and test a fleet of the size that is to come"}
	c.AddCommand(p.scaleRun(), p.scaleHollow())
	return c
}
