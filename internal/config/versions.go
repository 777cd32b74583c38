package config

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"ferryfront.example/ferryfront/internal/settings"
	"ferryfront.example/ferryfront/internal/versions"
)

// number reads that of a version.
func number(r settings.Reader, key string) (uint64, error) {
	v := r.Float(key)
	if err := r.Err(); err != nil {
		return 0, err
	}
	if v < 1 || v > versions.MaxNumber || v != math.Trunc(v) {
		return 0, fmt.Errorf("%s is %v, need a whole number from 1 to %d", r.FieldPath(key), v, versions.MaxNumber)
	}
	return uint64(v), nil
}

// drained reads a list of hosts with its version: in order, each once.
func drained(r settings.Reader) ([]string, uint64, error) {
	r.Require("version", "hosts")
	r.AllowOnly("version", "hosts")
	hosts := r.Texts("hosts")
	n, err := number(r, "version")
	if err != nil {
		return nil, 0, err
	}
	slices.Sort(hosts)
	return slices.Compact(hosts), n, nil
}

// DrainedText is the list as it goes to other ingresses.
func (c Config) DrainedText() []byte {
	b, _ := json.Marshal(append([]string{}, c.Drained...)) // of texts, which can be written
	return b
}

// ReadDrained reads it.
func ReadDrained(text []byte) (hosts []string, err error) {
	if err := json.Unmarshal(text, &hosts); err != nil {
		return nil, fmt.Errorf("drained.hosts: %w", err)
	}
	return hosts, nil
}
