package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"ferryfront.example/ferryfront/internal/daemon"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/own"
)

// fileSettings holds the settings from the settings file and the flags that are not daemon options.
type fileSettings struct {
	Log struct{ Format, Level string }
	// ApplyLimits overwrites limits with those of the settings file; nil without a file.
	ApplyLimits func(*limits.Limits)
}

// readSettings reads the settings file at path, if path isn't empty, and fills in the daemon options that the flags leave
// empty. Only here is CUE used, so a start without a file does none of its work. Errors name the file and the field.
func (p *program) readSettings(path string, o *daemon.Options, format, level string) (fileSettings, error) {
	var c fileSettings
	c.Log.Format, c.Log.Level = format, level
	if path == "" {
		return c, nil
	}
	s, err := own.Read(path)
	if err != nil {
		return c, err
	}
	if o.ControlSocket == "" {
		o.ControlSocket = s.Control
	}
	if o.OTLPEndpoint == "" {
		o.OTLPEndpoint = s.Telemetry.Endpoint
	}
	if o.ReadFrontFile == nil && s.Front != nil {
		o.ReadFrontFile = s.FrontFile
	}
	if format == "" {
		c.Log.Format = s.Log.Format
	}
	if level == "" {
		c.Log.Level = s.Log.Level
	}
	o.HasMembership, o.ControlReplicas = s.Membership.Enabled, s.ControlGroup.Replicas
	c.ApplyLimits = func(l *limits.Limits) {
		// own.Read has already checked that this succeeds.
		_ = s.ApplyLimits(l)
	}
	return c, nil
}

// configCommand returns the command group that checks or shows a settings file.
func (p *program) configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Check or show a file of the program's own settings", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			p.isUsageError = true
			return errors.New("config: no subcommand, use check or show")
		}}
	var path string
	c.PersistentFlags().StringVar(&path, "config", "", "`file` of the program's own settings (CUE)")
	check := &cobra.Command{Use: "check", Short: "Read a settings file and name file, line and field of what is wrong",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			if path == "" {
				p.isUsageError = true
				return errors.New("config check: --config names no file")
			}
			if _, err := own.Read(path); err != nil {
				return err
			}
			_, err := fmt.Fprintf(p.out, "%s: good\n", path)
			return err
		}}
	show := &cobra.Command{Use: "show", Short: "Print a settings file as it is in force, with defaults", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if path == "" {
				p.isUsageError = true
				return errors.New("config show: --config names no file")
			}
			text, err := own.Show(path)
			if err != nil {
				return err
			}
			_, err = fmt.Fprint(p.out, text)
			return err
		}}
	c.AddCommand(check, show)
	return c
}
