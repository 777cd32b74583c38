package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ferryfront.example/ferryfront/internal/lab/scale"
)

// scaleRun runs a large fleet through one event.
func (p *program) scaleRun() *cobra.Command {
	var r scale.Run
	var event, agreement string
	c := &cobra.Command{Use: "run", Args: cobra.NoArgs, Short: "Run a large fleet through one event",
		Long: "Starts real ingresses under load and hollow ones, which are the real daemon without client or upstream traffic,\n" +
			"many in a process, all on loopback. Prints a line of JSON with --json. Exits with 1 if a rule broke.\n\n" +
			"Events:\n" + eventList() + "\n" + scaleDefinitions}
	f := c.Flags()
	f.IntVar(&r.Instances, "instances", 650, "ingresses")
	f.IntVar(&r.Real, "real", 5, "of them processes of the real binary, under load")
	f.IntVar(&r.Hosts, "hosts", 0, "listed upstream hosts (default: 7,200 for 650 ingresses, in proportion)")
	f.IntVar(&r.PerProcess, "per-process", 35, "hollow ingresses in a process")
	f.IntVar(&r.MemoryMB, "memory-mb", 12000, "resident memory of all processes beyond which the run ends itself")
	f.StringVar(&event, "event", "change", "`NAME` of an event, or all in turn")
	f.StringVar(&agreement, "agreement", string(scale.Gossip), "gossip or control: how settings and shares are agreed on")
	f.BoolVar(&p.asJSON, "json", false, "print figures as JSON, a line an event")
	c.RunE = func(*cobra.Command, []string) error {
		s, done, err := p.setup()
		if err != nil {
			return err
		}
		defer done()
		began := time.Now()
		say := s.Say
		s.Say = func(format string, args ...any) {
			say("%5.1f s "+format, append([]any{time.Since(began).Seconds()}, args...)...)
		}
		r.Setup, r.Agreement = s, scale.Agreement(agreement)
		names := []string{event}
		if event == "all" {
			names, _ = scale.Events()
		}
		for _, name := range names {
			r.Event = name
			line, err := r.Play()
			if err != nil {
				return err
			}
			p.broken = p.broken || line.Failed()
			if p.asJSON {
				err = p.line(line)
			} else {
				err = p.scaleLine(line)
			}
			if err != nil {
				return err
			}
		}
		return nil
	}
	return c
}

// scaleDefinitions says what the figures are.
const scaleDefinitions = `Figures (null: the event gives it no sense, or it was not reached):
  in_force       from giving a change until a live member acts on the new version alone, the old one retired;
                 live: it ran from then on without a break. p50 and max are over those that do within 15 s,
                 not_in_force counts the others
  settled        from the start of a restarted member until it may use its share of joint budgets; one that has not
                 when the wait of 50 s is over counts with that; settled_of: how many of how many did
  contradiction  longest time, without a break, with two serving members that act on no version in common;
                 the bound is what the design states for the event
  lost, doubled, ceiling_breaks   rules, at the real ingresses; what was asked of one that was down is not lost
  control_cpu_share, control_memory_mb   of hollow members: of their processes, divided by their number
  control_bytes_per_s   of any member: datagrams between ingresses both ways, what discovery sends, and what goes to
                 and comes from the control group. All three are averages over 10 s, the largest of any
  memory_mb_total   most resident memory of all processes of the test together, upstream hosts and clients included
`

func eventList() string {
	var list strings.Builder
	w := tabwriter.NewWriter(&list, 0, 0, 2, ' ', 0)
	names, abouts := scale.Events()
	for i, name := range names {
		fmt.Fprintf(w, "  %s\t%s\n", name, abouts[i])
	}
	_ = w.Flush() // to memory
	return list.String()
}

// scaleHollow is what scale run starts for hollow ingresses.
func (p *program) scaleHollow() *cobra.Command {
	return &cobra.Command{Use: "hollow", Hidden: true, Args: cobra.NoArgs, Short: "Run hollow ingresses as orders on standard input say",
		RunE: func(*cobra.Command, []string) error { return scale.ServeHollow(os.Stdin, p.out) }}
}

// scaleLine prints a line for people.
func (p *program) scaleLine(l scale.Line) error {
	text := func(x *float64) string {
		if x == nil {
			return "-"
		}
		return fmt.Sprintf("%.0f ms", *x)
	}
	count := func(x *int) string {
		if x == nil {
			return "-"
		}
		return fmt.Sprint(*x)
	}
	_, err := fmt.Fprintf(p.out, "%-12s %d instances by %s: in force p50 %s, max %s, not %s; settled p90 %s; contradiction %s, "+
		"bound %s; lost %s, doubled %s, ceiling %s; %.0f MB in %d processes, %.0f s %s\n", l.Event, l.Instances, l.Agreement,
		text(l.InForceP50MS), text(l.InForceMaxMS), count(l.NotInForce), text(l.SettledP90MS), text(l.ContradictionMS),
		text(l.ContradictionBoundMS), count(l.Lost), count(l.Doubled), count(l.CeilingBreaks), l.MemoryMBTotal, l.Processes,
		l.Seconds, l.Error+l.Note)
	return err
}
