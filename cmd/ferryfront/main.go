// Command ferryfront is the ingress daemon, and the client of the daemon's control socket. It parses flags, reads the
// settings file and leaves the work to the internal packages.
package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"
)

// version is the release of the program. It is raised with each release.
const version = "1.1.0"

func main() { os.Exit(run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }

// program holds what all commands share.
type program struct {
	getenv       func(string) string
	out, errOut  io.Writer
	isUsageError bool // the command's arguments are wrong, which exits with 2
}

// run executes a command line and returns the exit code: 0 for success, 1 for a failure, 2 for wrong arguments.
func run(args []string, getenv func(string) string, out, errs io.Writer) int {
	p := &program{getenv: getenv, out: out, errOut: errs}
	root := &cobra.Command{
		Use:           "ferryfront",
		Short:         "The ingress daemon between customers' ordering programs and order servers",
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
	root.AddCommand(p.serveCommand(), p.upgradeCommand(), p.statusCommand(), p.membersCommand(), p.leaveCommand(),
		p.checkConfigCommand(), p.configCommand(), p.routesCommand(), p.versionCommand())
	root.SetArgs(acceptSingleDashFlags(args))
	// Without a run, cobra itself rejected the arguments.
	hasRun := false
	root.PersistentPreRun = func(*cobra.Command, []string) { hasRun = true }
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintf(errs, "ferryfront: %v\n", err)
	if p.isUsageError || !hasRun {
		return 2
	}
	return 1
}

// acceptSingleDashFlags rewrites -front and -otlp to the form with two dashes, so that older command lines keep working.
func acceptSingleDashFlags(args []string) []string {
	rewritten := make([]string, 0, len(args))
	for _, a := range args {
		name, _, _ := strings.Cut(a, "=")
		if name == "-front" || name == "-otlp" {
			a = "-" + a
		}
		rewritten = append(rewritten, a)
	}
	return rewritten
}

// versionCommand returns the command that prints the version.
func (p *program) versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintln(p.out, "ferryfront", version)
			return err
		}}
}
