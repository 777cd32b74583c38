package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"ferryfront.example/ferryfront/internal/daemon"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/own"
)

// chosen is what the settings file and the flags come to, beyond the daemon's options.
type chosen struct {
	Log struct{ Format, Level string }
	// Limit changes bounds as the file says; nil without a file.
	Limit func(*limits.Limits)
}

// own reads the settings file, if one is named, and puts what it says where the flags say nothing. The file is
// read only here: who names none pays nothing for its library.
func (p *program) own(path string, o *daemon.Options, format, level string) (chosen, error) {
	var c chosen
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
		o.ReadFrontFile = s.File
	}
	if format == "" {
		c.Log.Format = s.Log.Format
	}
	if level == "" {
		c.Log.Level = s.Log.Level
	}
	o.HasMembership, o.ControlReplicas = s.Membership.Enabled, s.ControlGroup.Replicas
	c.Limit = func(l *limits.Limits) {
		// Read has made sure that it can be put in place.
		_ = s.Limit(l)
	}
	return c, nil
}

func (p *program) config() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Check or show a file of the program's own settings", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			p.usage = true
			return errors.New("config: check or show?")
		}}
	var path string
	c.PersistentFlags().StringVar(&path, "config", "", "`file` of the program's own settings (CUE)")
	check := &cobra.Command{Use: "check", Short: "Read a settings file and name file, line and field of what is wrong",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			if path == "" {
				p.usage = true
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
				p.usage = true
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
