package config

import (
	"bytes"

	"github.com/valyala/fastjson"
)

// InForce is the configuration that a process acts on, in the form in which another process of the same ingress continues
// with it. The file may differ from it: it may have been changed without a reload, or turned down at one.
type InForce struct {
	Text         []byte   // JSON, without the known hosts
	Discovery    string   // address in use; the text's own may be overridden by GW_DISCOVERY
	RequiredKeys []string // paths of keys that a reloaded file must have

	// EnvironmentDiscovery is GW_DISCOVERY of the process.
	EnvironmentDiscovery string
}

// InForce returns the configuration for another process, given the environment of this one.
func (c Config) InForce(getenv func(string) string) InForce {
	return InForce{Text: c.rawWithoutHosts, Discovery: c.Discovery, RequiredKeys: c.requiredKeys,
		EnvironmentDiscovery: getenv("GW_DISCOVERY")}
}

// Config returns the configuration under a process's own environment, in which only GW_DISCOVERY does not count. It has no
// known hosts. It fails if this version of the program can't use the text; errors name the field.
func (f InForce) Config(getenv func(string) string) (Config, error) {
	c, err := Parse(f.Text, withDiscovery(getenv, f.Discovery))
	if err != nil {
		return Config{}, err
	}
	c.requiredKeys = f.RequiredKeys
	return c, nil
}

// IsTextOf reports whether a configuration was read from the same text, whatever its known hosts.
func (f InForce) IsTextOf(c Config) bool { return bytes.Equal(f.Text, c.rawWithoutHosts) }

// KeepDiscovery returns a configuration that has just been read with the address of discovery in use, unless a newer one
// is known: the environment has another address than that of the process before, or the file than the text in force.
func (f InForce) KeepDiscovery(read Config, getenv func(string) string) Config {
	environment := getenv("GW_DISCOVERY")
	switch {
	case environment != "" && environment != f.EnvironmentDiscovery:
		return read.withDiscovery(environment)
	case discoveryField(read.rawWithoutHosts) == discoveryField(f.Text):
		return read.withDiscovery(f.Discovery)
	}
	return read
}

// withDiscovery returns the configuration with another address of discovery.
func (c Config) withDiscovery(address string) Config {
	c.Discovery, c.getenv = address, withDiscovery(c.getenv, address)
	return c
}

// discoveryField returns the address of discovery in the text of a configuration, or "" if it has none.
func discoveryField(text []byte) string {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return ""
	}
	return string(v.GetStringBytes("discovery"))
}

// withDiscovery returns an environment in which GW_DISCOVERY is the given address, unless that is empty.
func withDiscovery(getenv func(string) string, discovery string) func(string) string {
	return func(name string) string {
		if name == "GW_DISCOVERY" && discovery != "" {
			return discovery
		}
		return getenv(name)
	}
}
