package config

import (
	"fmt"
	"strings"

	"github.com/valyala/fastjson"

	"ferryfront.example/ferryfront/internal/settings"
)

// WithSharedSettings returns the configuration with the shared part of other settings in place of its own, checked as a file is
// at a reload. Its version stays: whoever has the other settings knows theirs. What it costs does not depend on the list
// of hosts known from before the start, which stays, too.
func (c Config) WithSharedSettings(shared []byte) (Config, error) {
	doc, err := fastjson.ParseBytes(c.raw)
	if err != nil {
		return Config{}, fmt.Errorf("not JSON: %w", err)
	}
	whole, err := settings.Localize(shared, doc.Get("settings").MarshalTo(nil))
	if err != nil {
		return Config{}, err
	}
	v, err := fastjson.ParseBytes(whole)
	if err != nil {
		return Config{}, fmt.Errorf("settings: not JSON: %w", err)
	}
	if err := strict(settings.NewReader(v, "settings")); err != nil {
		return Config{}, err
	}
	doc.Set("settings", v)
	under, err := Parse(doc.MarshalTo(nil), c.getenv)
	if err != nil {
		return Config{}, err
	}
	under.KnownHosts = c.KnownHosts
	under.keys = append(under.keys, knownKeys(c.keys)...)
	return under, nil
}

// knownKeys are the keys of the list of hosts.
func knownKeys(keys []string) (known []string) {
	for _, key := range keys {
		if key == knownField || strings.HasPrefix(key, knownField+".") {
			known = append(known, key)
		}
	}
	return known
}
