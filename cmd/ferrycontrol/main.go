// Command ferrycontrol is one replica of the control group, and the operators' tool for the group.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// program is what the commands share.
type program struct {
	out, errs io.Writer
	usage     bool // the arguments were wrong
}

// run returns the exit code: 0, 1 for what failed, 2 for wrong arguments.
func run(args []string, out, errs io.Writer) int {
	p := &program{out: out, errs: errs}
	root := &cobra.Command{
		Use:           "ferrycontrol",
		Short:         "The replicated control group that holds the versions of settings and grants leases to ingresses",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			p.usage = true
			return fmt.Errorf("no command; ferrycontrol --help lists them")
		},
	}
	root.SetOut(out)
	root.SetErr(errs)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		p.usage = true
		return err
	})
	root.AddCommand(p.serve(), p.propose(), p.status(), p.replace(), p.backup(), p.restore())
	root.SetArgs(args)
	// What cobra itself finds wrong comes before any command has run.
	ran := false
	root.PersistentPreRun = func(*cobra.Command, []string) { ran = true }
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintf(errs, "ferrycontrol: %v\n", err)
	if p.usage || !ran {
		return 2
	}
	return 1
}
