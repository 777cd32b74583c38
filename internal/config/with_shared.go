package config

import (
	"fmt"
	"strings"

	"github.com/valyala/fastjson"

	"ferryfront.example/ferryfront/internal/settings"
)

// WithSharedSettings returns the configuration with its shared settings replaced by the given ones, in the form that
// settings.Shared returns. They are checked as strictly as at a reload, and errors name the field. SettingsVersion keeps
// its value: the caller knows the version of the new settings. KnownHosts stays, too, and isn't parsed
// again, so a long list doesn't make the call slower.
func (c Config) WithSharedSettings(shared []byte) (Config, error) {
	doc, err := fastjson.ParseBytes(c.rawWithoutHosts)
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
	if err := checkStrict(settings.NewReader(v, "settings")); err != nil {
		return Config{}, err
	}
	doc.Set("settings", v)
	merged, err := Parse(doc.MarshalTo(nil), c.getenv)
	if err != nil {
		return Config{}, err
	}
	merged.KnownHosts = c.KnownHosts
	merged.requiredKeys = append(merged.requiredKeys, keysOfKnownHosts(c.requiredKeys)...)
	return merged, nil
}

// keysOfKnownHosts returns those of the keys that belong to the list of known hosts.
func keysOfKnownHosts(keys []string) (known []string) {
	for _, key := range keys {
		if key == knownHostsField || strings.HasPrefix(key, knownHostsField+".") {
			known = append(known, key)
		}
	}
	return known
}
