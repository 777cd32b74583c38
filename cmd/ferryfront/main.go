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
	getenv    func(string) string
	out, errs io.Writer
	usage     bool // the arguments were wrong
}

// run returns the exit code: 0, 1 for what failed, 2 for wrong arguments.
func run(args []string, getenv func(string) string, out, errs io.Writer) int {
	p := &program{getenv: getenv, out: out, errs: errs}
	root := &cobra.Command{
		Use:           "ferryfront",
		Short:         "The ingress daemon between dealers' ordering programs and order servers",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			p.usage = true
			return fmt.Errorf("no command; ferryfront --help lists them")
		},
	}
	root.SetOut(out)
	root.SetErr(errs)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		p.usage = true
		return err
	})
	root.AddCommand(p.serve(), p.upgrade(), p.status(), p.members(), p.leave(), p.checkConfig(), p.config(), p.routes(), p.version())
	root.SetArgs(oldFlags(args))
	// What cobra itself finds wrong comes before any command has run.
	ran := false
	root.PersistentPreRun = func(*cobra.Command, []string) { ran = true }
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintf(errs, "ferryfront: %v\n", err)
	if p.usage || !ran {
		return 2
	}
	return 1
}

// oldFlags keeps the form in which serve and routes took their flags at first: one dash before a name.
func oldFlags(args []string) []string {
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

func (p *program) version() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintln(p.out, "ferryfront", version)
			return err
		}}
}
