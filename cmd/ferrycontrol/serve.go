package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"ferryfront.example/ferryfront/internal/controlgroup"
	"ferryfront.example/ferryfront/internal/controlserver"
)

// serveFlags are those that need translation.
type serveFlags struct {
	listen, raft string
	replicas     []string
	format       string
	level        string
}

func (p *program) serve() *cobra.Command {
	cfg := controlserver.Config{Timing: controlgroup.DefaultTiming, Election: controlserver.DefaultElection}
	var flags serveFlags
	c := &cobra.Command{Use: "serve", Short: "Run one replica of the control group", Args: cobra.NoArgs}
	f := c.Flags()
	f.StringVar(&cfg.ID, "id", "", "`name` of this replica")
	f.StringVar(&flags.listen, "listen", "", "`address` for ingresses, following replicas and operators")
	f.StringVar(&flags.raft, "raft", "", "`address` for the consensus of the replicas")
	f.StringVar(&cfg.Data, "data", "", "`directory` of this replica's log and snapshots")
	f.StringArrayVar(&flags.replicas, "replica", nil, "`id=RAFT,LISTEN` of a replica; once for each, this one included")
	f.DurationVar(&cfg.Timing.Settings, "settings-lease", cfg.Timing.Settings, "length of a settings lease")
	f.DurationVar(&cfg.Timing.Share, "share-lease", cfg.Timing.Share, "length of a share lease")
	f.DurationVar(&cfg.Timing.Renewal, "renewal", cfg.Timing.Renewal, "between two renewals of an ingress")
	f.Float64Var(&cfg.Timing.Drift, "drift", cfg.Timing.Drift, "bound on how much two monotonic clocks differ, as a part of the time passed")
	f.DurationVar(&cfg.Election.Heartbeat, "heartbeat-timeout", cfg.Election.Heartbeat, "without a word of the leader this long, a replica stands for election")
	f.DurationVar(&cfg.Election.Election, "election-timeout", cfg.Election.Election, "in which a candidate waits for votes")
	f.DurationVar(&cfg.Election.Lease, "leader-lease", cfg.Election.Lease, "a leader that reaches no quorum this long steps down")
	f.DurationVar(&cfg.Election.Commit, "commit-timeout", cfg.Election.Commit, "between entries that tell followers what is committed")
	f.DurationVar(&cfg.RejoinWait, "rejoin-wait", controlserver.DefaultRejoinWait, "a restarted replica waits this long for a leader or word of all others")
	f.StringVar(&flags.format, "log-format", "text", "text or json")
	f.StringVar(&flags.level, "log-level", "info", "debug, info, warn or error")
	c.RunE = func(*cobra.Command, []string) error {
		if err := flags.complete(&cfg, p.errs); err != nil {
			p.usage = true
			return err
		}
		return serve(cfg)
	}
	return c
}

// complete translates the flags into the configuration, and checks it.
func (f serveFlags) complete(cfg *controlserver.Config, logs io.Writer) error {
	for _, text := range f.replicas {
		replica, err := parseReplica(text)
		if err != nil {
			return err
		}
		cfg.Replicas = append(cfg.Replicas, replica)
		if replica.ID == cfg.ID && (replica.Listen != f.listen || replica.Raft != f.raft) {
			return fmt.Errorf("--replica %s: --listen is %s and --raft is %s", text, f.listen, f.raft)
		}
	}
	var err error
	if cfg.Log, err = newLog(logs, f.format, f.level); err != nil {
		return err
	}
	return cfg.Validate()
}

// parseReplica reads id=RAFT,LISTEN.
func parseReplica(text string) (controlserver.Replica, error) {
	id, addresses, ok := strings.Cut(text, "=")
	raft, listen, both := strings.Cut(addresses, ",")
	if !ok || !both || id == "" || raft == "" || listen == "" {
		return controlserver.Replica{}, fmt.Errorf("%q is not of the form id=RAFT,LISTEN", text)
	}
	return controlserver.Replica{ID: id, Raft: raft, Listen: listen}, nil
}

// serve runs the replica until a signal ends it.
func serve(cfg controlserver.Config) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ports, err := controlserver.Listen(cfg)
	if err != nil {
		return err
	}
	server, err := controlserver.Open(cfg, ports)
	if err != nil {
		return err
	}
	cfg.Log.Info("stopping", "signal", (<-signals).String())
	return server.Close()
}

func newLog(w io.Writer, format, level string) (*slog.Logger, error) {
	var least slog.Level
	if err := least.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("log level %q is none of debug, info, warn and error", level)
	}
	o := &slog.HandlerOptions{Level: least}
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(w, o)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, o)), nil
	}
	return nil, fmt.Errorf("log format %q is neither text nor json", format)
}
