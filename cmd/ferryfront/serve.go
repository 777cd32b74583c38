package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	sdnotify "github.com/coreos/go-systemd/v22/daemon"
	"github.com/spf13/cobra"

	"ferryfront.example/ferryfront/internal/config"
	"ferryfront.example/ferryfront/internal/daemon"
	"ferryfront.example/ferryfront/internal/earlysignals"
	"ferryfront.example/ferryfront/internal/front/openapi"
)

// serveCommand returns the command that runs the daemon until it ends. Flags override the settings file.
func (p *program) serveCommand() *cobra.Command {
	var o daemon.Options
	var front, file, format, level string
	c := &cobra.Command{Use: "serve", Short: "Run the ingress; its configuration is the file that GW_CONFIG names",
		Args: cobra.NoArgs}
	f := c.Flags()
	f.StringVar(&front, "front", "", "`file` of a second front, with routes from an OpenAPI description")
	f.StringVar(&o.OTLPEndpoint, "otlp", "", "`URL` of an OTLP/HTTP endpoint; OTEL_EXPORTER_OTLP_ENDPOINT does the same")
	f.StringVar(&o.ControlSocket, "control", "", "`path` of the control socket, for ferryfront upgrade and status")
	f.StringVar(&file, "config", "", "`file` of the program's own settings (CUE)")
	f.StringVar(&format, "log-format", "", "text or json (default text)")
	f.StringVar(&level, "log-level", "", "debug, info, warn or error (default info)")
	c.RunE = func(*cobra.Command, []string) error {
		if front != "" {
			o.ReadFrontFile = func() (openapi.File, error) { return openapi.ReadFile(front) }
		}
		settings, err := p.readSettings(file, &o, format, level)
		if err != nil {
			return err
		}
		if o.OTLPEndpoint == "" {
			o.OTLPEndpoint = p.getenv("OTEL_EXPORTER_OTLP_ENDPOINT")
		}
		if o.Log, err = newLogger(p.errOut, settings.Log.Format, settings.Log.Level); err != nil {
			p.isUsageError = true
			return err
		}
		o.Version, o.Getenv = version, p.getenv
		o.LoadConfig = func() (config.Config, error) { return config.Load(p.getenv) }
		o.ReloadConfig = func(previous config.Config) (config.Config, error) { return config.Reload(p.getenv, previous) }
		o.OverrideLimits = settings.ApplyLimits
		o.UpgradeCommand = restartCommand()
		o.Notify = func(state ...string) {
			// Without a service manager this does nothing. One that can't be notified notices the end of the process.
			_, _ = sdnotify.SdNotify(false, strings.Join(state, "\n"))
		}
		signals := make(chan os.Signal, 4)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR2)
		o.Signals, o.Hangups = signals, earlysignals.Hangups
		return daemon.Run(o)
	}
	return c
}

// restartCommand returns the path and arguments with which this process was started, for an upgrade. The path is
// os.Args[0] made absolute, not /proc/self/exe, so that an upgrade starts the binary that is at that path by then. It
// returns nil if the path can't be found.
func restartCommand() []string {
	path, err := exec.LookPath(os.Args[0])
	if err != nil {
		return nil
	}
	if path, err = filepath.Abs(path); err != nil {
		return nil
	}
	return append([]string{path}, os.Args[1:]...)
}

// newLogger returns a logger that writes to w. An empty format is text, an empty level is info.
func newLogger(w io.Writer, format, level string) (*slog.Logger, error) {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(level)); level != "" && err != nil {
		return nil, fmt.Errorf("log level %q is none of debug, info, warn and error", level)
	}
	o := &slog.HandlerOptions{Level: minLevel}
	switch format {
	case "", "text":
		return slog.New(slog.NewTextHandler(w, o)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, o)), nil
	}
	return nil, fmt.Errorf("log format %q is neither text nor json", format)
}

// checkConfigCommand returns the command that reads the configuration that GW_CONFIG names and prints a summary.
func (p *program) checkConfigCommand() *cobra.Command {
	return &cobra.Command{Use: "check-config", Short: "Read the file that GW_CONFIG names and say what is wrong with it",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			cfg, err := config.Load(p.getenv)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(p.out, "%s: %d classes, %d plans, ingress %d of %d, %d upstream hosts known\n", cfg.Name,
				len(cfg.Settings.Classes), len(cfg.Settings.Plans), cfg.Settings.Index, cfg.Settings.Gateways,
				len(cfg.KnownHosts.Entries))
			return err
		}}
}

// routesCommand returns the command that compiles the second front's routes as serve does and prints them.
func (p *program) routesCommand() *cobra.Command {
	var path string
	c := &cobra.Command{Use: "routes", Short: "Print the route table of a second front's file", Args: cobra.NoArgs}
	c.Flags().StringVar(&path, "front", "", "`file` of the second front")
	c.RunE = func(*cobra.Command, []string) error {
		if path == "" {
			return errors.New("routes: --front names no file")
		}
		cfg, err := config.Load(p.getenv)
		if err != nil {
			return err
		}
		file, err := openapi.ReadFile(path)
		if err != nil {
			return err
		}
		table, err := file.Load(cfg.Settings)
		if err != nil {
			return err
		}
		for _, r := range table.All() {
			if _, err := fmt.Fprintf(p.out, "%-6s %-40s %-12s %d\n", r.Method, r.Path, r.Class, r.Cost); err != nil {
				return err
			}
		}
		return nil
	}
	return c
}
