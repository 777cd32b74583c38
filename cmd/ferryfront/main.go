// Command ferryfront is the ingress daemon.
package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"
)

// version is the program's own; it goes up with each release.
const version = "1.1.0"

func main() { os.Exit(run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }

// program is what the commands share.
type program struct {
	getenv       func(string) string
	out, errOut  io.Writer
	isUsageError bool // the arguments were wrong
}

// run returns the exit code: 0, 1 for what failed, 2 for wrong arguments.
func run(args []string, getenv func(string) string, out, errs io.Writer) int {
	p := &program{getenv: getenv, out: out, errOut: errs}
	root := &cobra.Command{
		Use:           "ferryfront",
		Short:         "The ingress daemon between dealers' ordering programs and order servers",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			p.isUsageError = true
			return fmt.Errorf("no command; ferryfront --help lists them")
		},
	}
	root.SetOut(out)
	root.SetErr(errs)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		p.isUsageError = true
		return err
	})
	root.AddCommand(p.serveCommand(), p.upgradeCommand(), p.statusCommand(), p.membersCommand(), p.leaveCommand(), p.checkConfigCommand(), p.configCommand(), p.routesCommand(), p.versionCommand())
	root.SetArgs(acceptSingleDashFlags(args))
	// What cobra itself finds wrong comes before any command has run.
	ran := false
	root.PersistentPreRun = func(*cobra.Command, []string) { ran = true }
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintf(errs, "ferryfront: %v\n", err)
	if p.isUsageError || !ran {
		return 2
	}
	return 1
}

// acceptSingleDashFlags keeps the form in which serve and routes took their flags at first: one dash before a name.
func acceptSingleDashFlags(args []string) []string {
	kept := make([]string, 0, len(args))
	for _, a := range args {
		name, _, _ := strings.Cut(a, "=")
		if name == "-front" || name == "-otlp" {
			a = "-" + a
		}
		kept = append(kept, a)
	}
	return kept
}

func (p *program) versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintln(p.out, "ferryfront", version)
			return err
		}}
}
