package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"ferryfront.example/ferryfront/internal/daemon"
)

// controlFlags adds the flags that name the daemon's control socket and bound the wait. The returned function finds the
// socket after the flags have been parsed and calls send with it and a context that ends after the wait.
func (p *program) controlFlags(c *cobra.Command) func(send func(ctx context.Context, socket string) error) error {
	var socket, file string
	c.Flags().StringVar(&socket, "control", "", "`path` of the daemon's control socket")
	c.Flags().StringVar(&file, "config", "", "`file` of the program's own settings, which may name it")
	wait := c.Flags().Duration("wait", time.Minute, "how long to wait for the end")
	return func(send func(ctx context.Context, socket string) error) error {
		var o daemon.Options
		o.ControlSocket = socket
		if _, err := p.readSettings(file, &o, "", ""); err != nil {
			return err
		}
		if o.ControlSocket == "" {
			return errors.New("no control socket: set --control, or control in the settings file")
		}
		ctx, cancel := context.WithTimeout(context.Background(), *wait)
		defer cancel()
		return send(ctx, o.ControlSocket)
	}
}

// upgradeCommand returns the command that has the daemon replaced by the binary on disk and prints the progress.
func (p *program) upgradeCommand() *cobra.Command {
	c := &cobra.Command{Use: "upgrade", Args: cobra.NoArgs,
		Short: "Have the running daemon replaced by the binary that is on disk now, with no request lost",
		Long: `Asks the running daemon to start the binary that lies at its own path now and to hand everything over to
it. Prints each phase. Exits with 0 once the new process has stood its probation, else with 1 and the reason
why the old one carries on.`}
	withSocket := p.controlFlags(c)
	asJSON := c.Flags().Bool("json", false, "print the result as one line of JSON")
	run := func(ctx context.Context, socket string) error {
		end, err := daemon.Upgrade(ctx, socket, func(progress daemon.Progress) {
			if !*asJSON {
				fmt.Fprintln(p.out, progress.Text)
			}
		})
		if *asJSON && end.IsDone {
			if err := json.NewEncoder(p.out).Encode(end); err != nil {
				return err
			}
		}
		if err != nil {
			return fmt.Errorf("upgrade: %w", err)
		}
		if !*asJSON {
			fmt.Fprintf(p.out, "done: process %d serves; nobody read for %v; %d customers, %d client and %d upstream connections\n",
				end.Pid, time.Duration(end.FreezeMicroseconds)*time.Microsecond, end.Customers, end.ClientConnections, end.UpstreamConnections)
		}
		return nil
	}
	c.RunE = func(*cobra.Command, []string) error { return withSocket(run) }
	return c
}

// statusCommand returns the command that prints the daemon's status.
func (p *program) statusCommand() *cobra.Command {
	return p.queryCommand("status", "Print what the running daemon is doing, as JSON")
}

// membersCommand returns the command that prints the daemon's view of the membership.
func (p *program) membersCommand() *cobra.Command {
	return p.queryCommand("members", "Print which ingresses the running daemon holds to be there, as JSON")
}

// leaveCommand returns the command that ends the daemon and removes it, or a dead member, from the membership.
func (p *program) leaveCommand() *cobra.Command {
	c := &cobra.Command{Use: "leave", Args: cobra.NoArgs,
		Short: "End the running daemon for good: the other ingresses share what was its part",
		Long: `Ends the daemon in the orderly way of SIGTERM, and then has it tell the other ingresses that it left. They
count it out of ceilings and quotas until it is started again. For an ingress that comes back use SIGTERM: it
keeps its part. With --member, tells instead that another ingress, which is dead in this one's view, is gone for
good. Exits with 1 where membership is not enabled, an upgrade is under way, or that ingress is not dead.`}
	withSocket := p.controlFlags(c)
	member := c.Flags().String("member", "", "`number` of another ingress, which is dead for good")
	run := func(ctx context.Context, socket string) error {
		return daemon.SendCommand(ctx, socket, daemon.Command{Name: "leave", Member: *member}, func(line []byte) error {
			var end daemon.Progress
			if err := json.Unmarshal(line, &end); err != nil {
				return fmt.Errorf("leave: %w", err)
			}
			if !end.Succeeded {
				return fmt.Errorf("leave: %s", end.Text)
			}
			text := fmt.Sprintf("process %d ends and leaves", end.Pid)
			if *member != "" {
				text = fmt.Sprintf("member %s has left", *member)
			}
			_, err := fmt.Fprintln(p.out, text)
			return err
		})
	}
	c.RunE = func(*cobra.Command, []string) error { return withSocket(run) }
	return c
}

// queryCommand returns a command that sends its own name to the daemon and prints the answer.
func (p *program) queryCommand(name, short string) *cobra.Command {
	c := &cobra.Command{Use: name, Short: short, Args: cobra.NoArgs}
	withSocket := p.controlFlags(c)
	run := func(ctx context.Context, socket string) error {
		return daemon.SendCommand(ctx, socket, daemon.Command{Name: name}, func(line []byte) error {
			_, err := fmt.Fprintf(p.out, "%s\n", line)
			return err
		})
	}
	c.RunE = func(*cobra.Command, []string) error { return withSocket(run) }
	return c
}
