package config

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"ferryfront.example/ferryfront/internal/settings"
	"ferryfront.example/ferryfront/internal/versions"
)

// readVersionNumber reads a version number, a whole number from 1 to versions.MaxNumber. Errors name the field.
func readVersionNumber(r settings.Reader, key string) (uint64, error) {
	v := r.Float(key)
	if err := r.Err(); err != nil {
		return 0, err
	}
	if v < 1 || v > versions.MaxNumber || v != math.Trunc(v) {
		return 0, fmt.Errorf("%s is %v, need a whole number from 1 to %d", r.FieldPath(key), v, versions.MaxNumber)
	}
	return uint64(v), nil
}

// readDrainedHosts reads the list of drained hosts and its version number. It returns the hosts sorted, each once.
func readDrainedHosts(r settings.Reader) ([]string, uint64, error) {
	r.Require("version", "hosts")
	r.AllowOnly("version", "hosts")
	hosts := r.Texts("hosts")
	n, err := readVersionNumber(r, "version")
	if err != nil {
		return nil, 0, err
	}
	slices.Sort(hosts)
	return slices.Compact(hosts), n, nil
}

// EncodeDrainedHosts returns DrainedHosts as a JSON list, the form in which it goes to other ingresses.
func (c Config) EncodeDrainedHosts() []byte {
	b, _ := json.Marshal(append([]string{}, c.DrainedHosts...)) // a list of strings can't fail to encode
	return b
}

// DecodeDrainedHosts reads a list that EncodeDrainedHosts returned. Its errors begin with "drained.hosts".
func DecodeDrainedHosts(text []byte) (hosts []string, err error) {
	if err := json.Unmarshal(text, &hosts); err != nil {
		return nil, fmt.Errorf("drained.hosts: %w", err)
	}
	return hosts, nil
}
