package controlserver

import (
	"fmt"

	"ferryfront.example/ferryfront/internal/config"
	"ferryfront.example/ferryfront/internal/controlgroup"
	"ferryfront.example/ferryfront/internal/versions"
)

// Names of the documents that the group holds.
const (
	DocumentSettings = "settings" // the shared part of an ingress's settings, as settings.Shared returns it
	DocumentDrained  = "drained"  // the list of hosts that the operators drain, as config.Config.EncodeDrainedHosts returns it
)

// validate checks a proposed version in full, as an ingress checks a file. Its errors name the field.
func validate(p controlgroup.Propose) error {
	switch {
	case len(p.Text) > controlgroup.TextMost:
		return fmt.Errorf("%s: %d bytes, at most %d", p.Document, len(p.Text), controlgroup.TextMost)
	case p.Version.Number < 1 || p.Version.Number > versions.MaxNumber:
		return fmt.Errorf("%s: version is %d, need a whole number from 1 to %d", p.Document, p.Version.Number,
			uint64(versions.MaxNumber))
	case versions.NewDoc(p.Version.Number, p.Text).Version != p.Version:
		return fmt.Errorf("%s: the text is not that of version %v", p.Document, p.Version)
	}
	switch p.Document {
	case DocumentSettings:
		return config.CheckShared(p.Text)
	case DocumentDrained:
		_, err := config.DecodeDrainedHosts(p.Text)
		return err
	}
	return fmt.Errorf("document %q is not known", p.Document)
}
