package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ferryfront.example/ferryfront/internal/controlserver"
)

var errNoReplica = errors.New("--replica names no address")

// replicaFlag adds the flag that all commands of the operators share.
func replicaFlag(c *cobra.Command, addresses *[]string) {
	c.Flags().StringSliceVar(addresses, "replica", nil, "`address` at which a replica listens; several with commas, or once for each")
}

// replicaStatus is what a replica says, and where it was asked.
type replicaStatus struct {
	Address string `json:"address"`
	controlserver.Status
}

// groupStatus is what the replicas that answer say.
type groupStatus struct {
	Leader      string          `json:"leader"` // empty: none
	Term        uint64          `json:"term"`
	Replicas    []replicaStatus `json:"replicas"`
	Unreachable []string        `json:"unreachable"` // addresses
}

// newest returns the leader, or without one the replica that has applied most; nil if none answers.
func (s groupStatus) newest() (newest *replicaStatus) {
	for i := range s.Replicas {
		r := &s.Replicas[i]
		if r.Replica == s.Leader {
			return r
		}
		if newest == nil || r.Applied > newest.Applied {
			newest = r
		}
	}
	return newest
}

func (p *program) status() *cobra.Command {
	var addresses []string
	var asJSON bool
	c := &cobra.Command{Use: "status", Short: "Tell who leads, what is in force, and whom a rollout waits for",
		Args: cobra.NoArgs}
	replicaFlag(c, &addresses)
	c.Flags().BoolVar(&asJSON, "json", false, "one JSON object")
	c.RunE = func(*cobra.Command, []string) error {
		if len(addresses) == 0 {
			p.usage = true
			return errNoReplica
		}
		status := askStatus(addresses)
		if asJSON {
			return json.NewEncoder(p.out).Encode(status)
		}
		if err := p.print(status); err != nil {
			return err
		}
		if status.Leader == "" {
			return errors.New("no replica leads: versions can't be proposed and leases are not renewed")
		}
		return nil
	}
	return c
}

// askStatus asks the replicas at the addresses given and those that they name.
func askStatus(addresses []string) groupStatus {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	status := groupStatus{Unreachable: []string{}}
	queue := slices.Clone(addresses)
	for i := 0; i < len(queue); i++ {
		attempt, done := context.WithTimeout(ctx, time.Second)
		response, err := controlserver.Ask(attempt, queue[i], controlserver.Request{Op: controlserver.OpStatus})
		done()
		if err != nil || response.Status == nil {
			status.Unreachable = append(status.Unreachable, queue[i])
			continue
		}
		one := replicaStatus{queue[i], *response.Status}
		status.Replicas = append(status.Replicas, one)
		if one.Leases != nil && one.Term >= status.Term {
			status.Leader, status.Term = one.Replica, one.Term
		}
		for _, other := range one.Replicas {
			if other.Listen != "" && !slices.Contains(queue, other.Listen) {
				queue = append(queue, other.Listen)
			}
		}
	}
	return status
}

// print writes the status for people.
func (p *program) print(status groupStatus) error {
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "replica\tstate\tterm\tapplied\tmembers\tin force")
	for _, r := range status.Replicas {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", r.Replica, r.State, r.Term, r.Applied, r.Members, inForce(r))
	}
	for _, address := range status.Unreachable {
		fmt.Fprintf(w, "%s\tdoes not answer\n", address)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, r := range status.Replicas {
		if r.Replica != status.Leader || r.Leases == nil {
			continue
		}
		fmt.Fprintf(p.out, "leases: %d of settings, %d of shares\n", r.Leases.Settings, r.Leases.Shares)
		if r.Leases.BlindMS > 0 {
			fmt.Fprintf(p.out, "new leader: leases granted before it may be held for another %d ms\n", r.Leases.BlindMS)
		}
		for _, waiting := range r.Leases.Waiting {
			fmt.Fprintf(p.out, "%s: version %d is waited for at members %v\n", waiting.Document, waiting.Next.Number,
				waiting.Members)
		}
	}
	return nil
}

// inForce writes the versions as settings 6+7, drained 2.
func inForce(r replicaStatus) string {
	var all []string
	for _, d := range r.Documents {
		var numbers []string
		for _, v := range d.InForce {
			numbers = append(numbers, fmt.Sprint(v.Number))
		}
		all = append(all, d.Name+" "+strings.Join(numbers, "+"))
	}
	return strings.Join(all, ", ")
}

func (p *program) replace() *cobra.Command {
	var addresses []string
	var old, with string
	c := &cobra.Command{Use: "replace", Short: "Replace a replica by one that was started on an empty directory",
		Args: cobra.NoArgs}
	replicaFlag(c, &addresses)
	c.Flags().StringVar(&old, "id", "", "`name` of the replica that goes")
	c.Flags().StringVar(&with, "with", "", "`id=RAFT,LISTEN` of the one that comes")
	c.RunE = func(*cobra.Command, []string) error {
		replica, err := parseReplica(with)
		if err == nil && len(addresses) == 0 {
			err = errNoReplica
		}
		if err != nil {
			p.usage = true
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		if err := controlserver.ReplaceReplica(ctx, addresses, old, replica); err != nil {
			return err
		}
		_, err = fmt.Fprintf(p.out, "%s has taken the place of %s\n", replica.ID, old)
		return err
	}
	return c
}
