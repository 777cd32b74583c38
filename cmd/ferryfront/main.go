// Command ferryfront is the ingress daemon.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
)

// version is the program's own; it goes up with each release.
const version = "1.0.0"

const usage = `usage: ferryfront <command> [flags]

  serve         run the ingress; its configuration is the file that GW_CONFIG names
  check-config  read that configuration and say what is wrong with it
  routes        print the route table of a second front's file
  version       print the version
`

func main() { os.Exit(run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }

func run(args []string, getenv func(string) string, out, errs io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(errs, usage)
		return 2
	}
	commands := map[string]func(*flag.FlagSet, []string, func(string) string, io.Writer, io.Writer) error{
		"serve": serve, "check-config": checkConfig, "version": printVersion,
		"routes": listRoutes,
	}
	command, ok := commands[args[0]]
	if !ok {
		fmt.Fprintf(errs, "ferryfront: no command %q\n%s", args[0], usage)
		return 2
	}
	flags := flag.NewFlagSet("ferryfront "+args[0], flag.ContinueOnError)
	flags.SetOutput(errs)
	switch err := command(flags, args[1:], getenv, out, errs); err {
	case nil:
		return 0
	case errUsage, flag.ErrHelp:
		return 2
	default:
		fmt.Fprintf(errs, "ferryfront: %v\n", err)
		return 1
	}
}

// errUsage marks arguments that the flag package has already complained about.
var errUsage = fmt.Errorf("wrong arguments")

func parse(flags *flag.FlagSet, args []string) error {
	if err := flags.Parse(args); err != nil {
		if err == flag.ErrHelp {
			return err
		}
		return errUsage
	}
	if flags.NArg() > 0 {
		return fmt.Errorf("argument %q is not wanted", flags.Arg(0))
	}
	return nil
}

func printVersion(flags *flag.FlagSet, args []string, _ func(string) string, out, _ io.Writer) error {
	if err := parse(flags, args); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out, "ferryfront", version)
	return err
}
