package main

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ferryfront.example/ferryfront/internal/lab"
)

func (p *program) chaos() *cobra.Command {
	var members, seconds int
	var fault string
	var rate float64
	names, abouts := lab.FleetFaults()
	var list strings.Builder
	w := tabwriter.NewWriter(&list, 0, 0, 2, ' ', 0)
	for i, name := range names {
		fmt.Fprintf(w, "  %s\t%s\n", name, abouts[i])
	}
	_ = w.Flush() // to memory
	c := &cobra.Command{Use: "chaos", Args: cobra.NoArgs,
		Short: "Run a fleet that knows its members under load, with a fault between them",
		Long: "Starts ingresses on loopback with hosts, counter, discovery and clients, and a relay of messages between each\n" +
			"pair that the fault is put into. Prints a line of JSON for each fault with --json. Exits with 1 if a rule broke.\n\n" +
			"Faults:\n" + list.String()}
	f := c.Flags()
	f.IntVar(&members, "members", 5, "ingresses")
	f.StringVar(&fault, "fault", "all", "`NAME` of a fault, all in turn, or rollout: new settings given to one member, through three faults")
	f.IntVar(&seconds, "seconds", 0, "length of the fault (default: its own)")
	f.Float64Var(&rate, "rate", 120, "requests a second within quotas")
	f.BoolVar(&p.asJSON, "json", false, "print figures as JSON, a line a fault")
	c.RunE = func(*cobra.Command, []string) error {
		s, done, err := p.setup()
		if err != nil {
			return err
		}
		defer done()
		switch fault {
		case "all":
		case "rollout":
			names = lab.Rollouts()
		default:
			names = []string{fault}
		}
		for _, name := range names {
			r, err := lab.Chaos{Setup: s, Members: members, Fault: name, Rate: rate,
				Length: time.Duration(seconds) * time.Second}.Run()
			if err != nil {
				return err
			}
			p.broken = p.broken || r.Failed()
			if p.asJSON {
				err = p.line(r)
			} else {
				err = p.chaosLine(r)
			}
			if err != nil {
				return err
			}
		}
		return nil
	}
	return c
}

// chaosLine prints a line for people.
func (p *program) chaosLine(r lab.ChaosReport) error {
	detect := "nobody to detect"
	if r.DetectMS != nil {
		detect = fmt.Sprintf("detected in %.0f ms", *r.DetectMS)
	}
	_, err := fmt.Fprintf(p.out, "%-10s %d members, %s, healed in %.0f ms, %d false dead, %d lost, %d doubled, ceiling %d, "+
		"overrun %d, served %.3f %s\n", r.Fault, r.Members, detect, r.HealMS, r.FalseDead, r.Lost, r.Doubled, r.CeilingBreaks,
		r.OverrunHosts, r.ServedShare, strings.Join(append(r.Faults, r.Error), " "))
	return err
}
