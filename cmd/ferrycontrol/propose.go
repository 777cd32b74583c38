package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"ferryfront.example/ferryfront/internal/config"
	"ferryfront.example/ferryfront/internal/controlgroup"
	"ferryfront.example/ferryfront/internal/controlserver"
	"ferryfront.example/ferryfront/internal/versions"
)

// proposal is one version to propose.
type proposal struct {
	document string
	doc      versions.Doc
}

func (p *program) propose() *cobra.Command {
	var addresses []string
	var file string
	var limit time.Duration
	c := &cobra.Command{Use: "propose", Short: "Propose the settings and the drained list of a configuration file",
		Args: cobra.NoArgs}
	replicaFlag(c, &addresses)
	c.Flags().StringVar(&file, "config", "", "`file` as GW_CONFIG names one, with settings_version, drained or both")
	c.Flags().DurationVar(&limit, "timeout", 15*time.Second, "for all attempts")
	c.RunE = func(*cobra.Command, []string) error {
		if file == "" {
			p.usage = true
			return errors.New("propose: --config names no file")
		}
		proposals, err := readProposals(file)
		if err != nil {
			return err
		}
		return p.proposeAll(addresses, limit, proposals)
	}
	return c
}

// readProposals reads the versions of a configuration file, as strictly as an ingress does at a reload.
func readProposals(file string) ([]proposal, error) {
	getenv := func(name string) string {
		if name == "GW_CONFIG" {
			return file
		}
		return ""
	}
	cfg, err := config.Reload(getenv, config.Config{})
	if err != nil {
		return nil, err
	}
	var proposals []proposal
	if cfg.SettingsVersion > 0 {
		proposals = append(proposals, proposal{controlserver.DocumentSettings, versions.NewDoc(cfg.SettingsVersion, cfg.SharedSettings)})
	}
	if cfg.DrainedVersion > 0 {
		proposals = append(proposals, proposal{controlserver.DocumentDrained,
			versions.NewDoc(cfg.DrainedVersion, cfg.EncodeDrainedHosts())})
	}
	if len(proposals) == 0 {
		return nil, fmt.Errorf("%s: neither settings_version nor drained is there", file)
	}
	return proposals, nil
}

// proposeAll proposes what is newer than what is in force.
func (p *program) proposeAll(addresses []string, limit time.Duration, proposals []proposal) error {
	if len(addresses) == 0 {
		p.usage = true
		return errNoReplica
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for _, proposal := range proposals {
		if err := controlserver.Propose(ctx, addresses, controlgroup.Propose{Document: proposal.document,
			Version: proposal.doc.Version, Text: proposal.doc.Text}); err != nil {
			return fmt.Errorf("%s version %v: %w", proposal.document, proposal.doc.Version, err)
		}
		if _, err := fmt.Fprintf(p.out, "%s version %v is in force\n", proposal.document, proposal.doc.Version); err != nil {
			return err
		}
	}
	return nil
}

func (p *program) backup() *cobra.Command {
	var addresses []string
	var file string
	c := &cobra.Command{Use: "backup", Short: "Write the versions in force to a file", Args: cobra.NoArgs}
	replicaFlag(c, &addresses)
	c.Flags().StringVar(&file, "to", "", "`file` to write")
	c.RunE = func(*cobra.Command, []string) error {
		if file == "" || len(addresses) == 0 {
			p.usage = true
			return errors.New("backup: needs --replica and --to")
		}
		newest := askStatus(addresses).newest() // a follower may lack what was committed just now
		if newest == nil {
			return errors.New("backup: no replica answers")
		}
		response, err := controlserver.Ask(context.Background(), newest.Address, controlserver.Request{Op: controlserver.OpBackup})
		if err != nil {
			return err
		}
		text, err := json.MarshalIndent(response.Backup, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, append(text, '\n'), 0o600); err != nil {
			return err
		}
		_, err = fmt.Fprintf(p.out, "%d documents written\n", len(response.Backup))
		return err
	}
	return c
}

func (p *program) restore() *cobra.Command {
	var addresses []string
	var file string
	var limit time.Duration
	c := &cobra.Command{Use: "restore", Short: "Propose the versions of a backup to a new group", Args: cobra.NoArgs}
	replicaFlag(c, &addresses)
	c.Flags().StringVar(&file, "from", "", "`file` that backup wrote")
	c.Flags().DurationVar(&limit, "timeout", 15*time.Second, "for all attempts")
	c.RunE = func(*cobra.Command, []string) error {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		var documents []controlserver.BackupDocument
		if err := json.Unmarshal(text, &documents); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		var proposals []proposal
		for _, d := range documents {
			for _, v := range d.Versions {
				proposals = append(proposals, proposal{d.Name, versions.NewDoc(v.Number, []byte(v.Text))})
			}
		}
		if len(proposals) == 0 {
			return fmt.Errorf("%s: no versions are there", file)
		}
		return p.proposeAll(addresses, limit, proposals)
	}
	return c
}
