// Command ferrylab runs ingresses of the real binary in small worlds on loopback: to look at, and to try what
// the rules say through failures.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ferryfront.example/ferryfront/internal/lab"
	"ferryfront.example/ferryfront/internal/standin"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

type program struct {
	out, errs io.Writer
	binary    string
	asJSON    bool
	broken    bool // a rule was
}

// run returns the exit code: 0, 1 where a rule broke or an experiment failed, 2 for wrong arguments.
func run(args []string, out, errs io.Writer) int {
	p := &program{out: out, errs: errs}
	root := &cobra.Command{Use: "ferrylab", Short: "Small worlds round the ingress, and experiments in them",
		SilenceErrors: true, SilenceUsage: true}
	root.SetOut(out)
	root.SetErr(errs)
	root.PersistentFlags().StringVar(&p.binary, "ferryfront", "", "`path` of the ingress's binary (default: beside this one)")
	root.AddCommand(p.serve(), p.upgrade(), p.misbehave(), p.freeze(), p.cost(), p.chaos(), p.scale())
	root.SetArgs(args)
	ran := false
	root.PersistentPreRun = func(*cobra.Command, []string) { ran = true }
	if err := root.Execute(); err != nil {
		fmt.Fprintf(errs, "ferrylab: %v\n", err)
		if !ran {
			return 2
		}
		return 1
	}
	if p.broken {
		return 1
	}
	return 0
}

// setup finds the binaries and makes a folder for files.
func (p *program) setup() (lab.Setup, func(), error) {
	self, err := os.Executable()
	if err != nil {
		return lab.Setup{}, nil, err
	}
	binary := p.binary
	if binary == "" {
		binary = filepath.Join(filepath.Dir(self), "ferryfront")
	}
	if binary, err = exec.LookPath(binary); err != nil {
		return lab.Setup{}, nil, fmt.Errorf("%w; go build -o bin/ ./cmd/... makes it, --ferryfront names another", err)
	}
	dir, err := os.MkdirTemp("", "ferrylab")
	if err != nil {
		return lab.Setup{}, nil, err
	}
	s := lab.Setup{Ferryfront: binary, Lab: self, Dir: dir, Say: func(format string, args ...any) {
		fmt.Fprintf(p.errs, format+"\n", args...)
	}}
	return s, func() { _ = os.RemoveAll(dir) }, nil
}

func (p *program) line(v any) error { return json.NewEncoder(p.out).Encode(v) }

func (p *program) serve() *cobra.Command {
	var ingresses, hosts int
	var length time.Duration
	c := &cobra.Command{Use: "serve", Args: cobra.NoArgs,
		Short: "Run order hosts, counter, discovery and ingresses on loopback, and print how to ask them"}
	c.Flags().IntVar(&ingresses, "ingresses", 1, "how many")
	c.Flags().IntVar(&hosts, "hosts", 4, "how many order hosts")
	c.Flags().DurationVar(&length, "for", 0, "end after this time (default: at Ctrl-C)")
	c.RunE = func(*cobra.Command, []string) error {
		s, done, err := p.setup()
		if err != nil {
			return err
		}
		defer done()
		shape := standin.Shape{Hosts: hosts, Ingresses: ingresses, Work: 30 * time.Millisecond}
		w, err := standin.NewWorld(s.Dir, shape)
		if err != nil {
			return err
		}
		defer w.Close()
		for range ingresses {
			if _, err := w.Start(s.Ferryfront, shape); err != nil {
				return err
			}
		}
		fmt.Fprintf(p.out, "order hosts %d, counter %s, discovery %s\n", hosts, w.Counter.Addr(), w.Discovery.Addr())
		for _, in := range w.Ingresses {
			fmt.Fprintf(p.out, "\n%s listens at %s, its log is %s\nAsk it for stock:\n\n", in.Name, in.Addr, in.Log)
			fmt.Fprintf(p.out, "  curl -i -H 'Request-Id: '$RANDOM -H 'Request-Class: stock' -H 'X-Plan: boutique' http://%s/api/%s\n\n",
				in.Addr, standin.CustomerName(1))
			fmt.Fprintf(p.out, "Replace it by the binary at %s:\n\n  %s upgrade --control %s\n", in.Binary, s.Ferryfront, in.Control)
		}
		ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer cancel()
		if length > 0 {
			ctx, cancel = context.WithTimeout(ctx, length)
			defer cancel()
		}
		<-ctx.Done()
		return nil
	}
	return c
}

func (p *program) upgrade() *cobra.Command {
	u := lab.Upgrades{}
	var fault string
	c := &cobra.Command{Use: "upgrade", Args: cobra.NoArgs,
		Short: "Upgrade an ingress again and again under load, or through a failure",
		Long:  "Prints a line of JSON for each scenario with --json. Exits with 1 if a rule broke.\n\n" + faultList()}
	f := c.Flags()
	f.IntVar(&u.Count, "count", 100, "upgrades")
	f.Float64Var(&u.Rate, "rate", 200, "requests a second")
	f.DurationVar(&u.Baseline, "baseline", 8*time.Second, "the same load without upgrades, for comparison")
	f.IntVar(&u.Customers, "customers", 200, "dealers that ask")
	f.DurationVar(&u.Probation, "probation", 100*time.Millisecond, "of each new process")
	f.StringVar(&fault, "fault", "", "`NAME` of a hard case, or all")
	f.BoolVar(&p.asJSON, "json", false, "print figures as JSON, a line a scenario")
	c.RunE = func(*cobra.Command, []string) error {
		s, done, err := p.setup()
		if err != nil {
			return err
		}
		defer done()
		if fault == "" {
			u.Setup = s
			r, err := u.Run()
			return p.report(r, err)
		}
		ran := false
		for _, f := range lab.Faults() {
			if fault == "all" || fault == f.Name {
				ran = true
				r, err := lab.RunFault(s, f)
				if err := p.report(r, err); err != nil {
					return err
				}
			}
		}
		if !ran {
			return fmt.Errorf("no fault %q\n%s", fault, faultList())
		}
		return nil
	}
	return c
}

func faultList() string {
	var b strings.Builder
	b.WriteString("Faults:\n")
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, f := range lab.Faults() {
		fmt.Fprintf(w, "  %s\t%s\n", f.Name, f.About)
	}
	_ = w.Flush() // into memory
	return b.String()
}

func (p *program) report(r lab.UpgradeReport, err error) error {
	if err != nil {
		return fmt.Errorf("%s: %w", r.Scenario, err)
	}
	p.broken = p.broken || r.Failed()
	if p.asJSON {
		return p.line(r)
	}
	state := "good"
	if r.Failed() {
		state = "BROKEN " + r.Error + strings.Join(r.Faults, "; ")
	}
	fmt.Fprintf(p.out, "%-26s %3d upgrades, %5d requests, %d lost, %d answered twice, %d forbidden repeats, ceiling %d: %s\n",
		r.Scenario, r.Upgrades, r.Requests, r.Lost, r.AnsweredTwice, r.ForbiddenRepeats, r.CeilingBreaks, state)
	if r.P99 > 0 {
		fmt.Fprintf(p.out, "  freeze %.2f ms, at most %.2f; p99 %.1f ms, without upgrades %.1f\n", r.FreezeP50, r.FreezeMax, r.P99, r.P99Without)
	}
	for name, x := range r.Extra {
		fmt.Fprintf(p.out, "  %s %.3f\n", name, x)
	}
	return nil
}

func (p *program) misbehave() *cobra.Command {
	return &cobra.Command{Use: "misbehave HOW", Hidden: true, Args: cobra.ExactArgs(1), Short: "Be a successor that fails",
		RunE: func(_ *cobra.Command, args []string) error { return lab.Misbehave(args[0]) }}
}

func (p *program) freeze() *cobra.Command {
	var customers, connections []int
	c := &cobra.Command{Use: "freeze", Args: cobra.NoArgs,
		Short: "Measure how long nobody reads in an upgrade, by the number of customers and connections"}
	c.Flags().IntSliceVar(&customers, "customers", []int{100, 10000, 100000}, "numbers of customers known")
	c.Flags().IntSliceVar(&connections, "connections", []int{10, 200}, "numbers of idle client connections")
	c.Flags().BoolVar(&p.asJSON, "json", false, "print figures as JSON, a line a measurement")
	c.RunE = func(*cobra.Command, []string) error {
		s, done, err := p.setup()
		if err != nil {
			return err
		}
		defer done()
		for _, n := range customers {
			for _, k := range connections {
				r, err := lab.Freeze(s, n, k)
				if err != nil {
					return err
				}
				p.broken = p.broken || r.Error != ""
				if p.asJSON {
					err = p.line(r)
				} else {
					_, err = fmt.Fprintf(p.out, "%7d customers, %4d connections: freeze %.2f ms, upgrade %.0f ms, memory %d and %d MB\n",
						r.Customers, r.Connections, r.FreezeMS, r.UpgradeMS, r.OldMB, r.NewMB)
				}
				if err != nil {
					return err
				}
			}
		}
		return nil
	}
	return c
}

func (p *program) cost() *cobra.Command {
	var against string
	var rate float64
	var rounds int
	var each time.Duration
	c := &cobra.Command{Use: "cost", Args: cobra.NoArgs,
		Short: "Compare the CPU that two builds of the ingress use for a request, in one run"}
	c.Flags().StringVar(&against, "against", "", "`path` of the other binary")
	c.Flags().Float64Var(&rate, "rate", 400, "requests a second")
	c.Flags().IntVar(&rounds, "rounds", 4, "rounds, in which each has its turn")
	c.Flags().DurationVar(&each, "each", 5*time.Second, "length of a turn")
	c.Flags().BoolVar(&p.asJSON, "json", false, "print figures as JSON")
	c.RunE = func(*cobra.Command, []string) error {
		if against == "" {
			return fmt.Errorf("--against names no binary")
		}
		s, done, err := p.setup()
		if err != nil {
			return err
		}
		defer done()
		r, err := lab.Cost(s, against, rate, rounds, each)
		if err != nil {
			return err
		}
		p.broken = r.Lost > 0
		if p.asJSON {
			return p.line(r)
		}
		_, err = fmt.Fprintf(p.out, "%.0f µs a request, the other %.0f: %.3f times as much (%d requests each)\n", r.CPU[0], r.CPU[1],
			r.Ratio, r.Requests)
		return err
	}
	return c
}
