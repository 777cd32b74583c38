// Package config reads and checks the JSON configuration that the platform gives to an ingress: the file that the
// environment variable GW_CONFIG names. It reads the file at the start and at each reload, and applies settings that
// other ingresses or the control group agreed on. It opens no socket and keeps no state; it doesn't read the program's
// own settings, see package own.
package config

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/discovery"
	"ferryfront.example/ferryfront/internal/settings"
)

// Config is the configuration of one ingress. Addresses are "IP:port"; Parse has checked them.
type Config struct {
	// Name of the ingress, address for clients, address of discovery and address of the shared counter. The counter's
	// is checked only if the settings have a counter.
	Name, Listen, Discovery, Counter string
	// Mgmt is the address of the admin endpoint. Empty: no endpoint.
	Mgmt string
	// PeerListen is the address at which this ingress receives messages of other ingresses. Empty: it receives none.
	PeerListen string
	// Peers holds the address at which each ingress receives such messages, by the index of the ingress.
	Peers []string
	Seed  uint64  // seed of the process's random numbers
	Cores float64 // CPU cores that the process may use
	// KnownHosts is the cluster as it was known before the start, used until discovery sends a list.
	KnownHosts discovery.List
	Settings   admission.Settings
	// SettingsVersion is the version number of Settings, from 1. 0: they have no version.
	SettingsVersion uint64
	// DrainedHosts are the hosts that operators drain, whatever discovery says; sorted, each once.
	DrainedHosts []string
	// DrainedVersion is the version number of DrainedHosts, from 1. 0: there is no such list.
	DrainedVersion uint64
	// SharedSettings is the part of the settings that all ingresses have in common, as settings.Shared returns it;
	// nil if the settings have no version.
	SharedSettings []byte
	Limits         limits.Limits

	requiredKeys    []string // paths of keys that the file must have at a reload, too
	rawWithoutHosts []byte   // the parsed JSON text without knownHostsField
	getenv          func(string) string
}

// knownHostsField is the JSON field of Config.KnownHosts. It is by far the longest field and is read only once.
const knownHostsField = "known"

// Load reads the file that GW_CONFIG names. GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_MGMT, where they are set, override
// the file. Errors name the file, the line where it is known, and the field. A read error that may be temporary is
// retried for up to a second, during which Load blocks.
func Load(getenv func(string) string) (Config, error) { return loadFile(getenv, Parse) }

// FieldsNeedingRestart returns the names of the fields that differ in another configuration and that a running process
// can't change. KnownHosts never counts: discovery has sent a newer list since.
func (c Config) FieldsNeedingRestart(to Config) []string {
	var names []string
	for _, f := range []struct {
		name     string
		old, new any
	}{{"name", c.Name, to.Name}, {"listen", c.Listen, to.Listen}, {"mgmt", c.Mgmt, to.Mgmt},
		{"peer_listen", c.PeerListen, to.PeerListen}, {"peers", c.Peers, to.Peers}, {"seed", c.Seed, to.Seed},
		{"limits.cores", c.Cores, to.Cores},
		{"limits", c.Limits, withReloadableLimits(to.Limits, c.Limits)}} {
		if !reflect.DeepEqual(f.old, f.new) {
			names = append(names, f.name)
		}
	}
	return names
}

// withReloadableLimits returns l with the limits of other that a running process can change.
func withReloadableLimits(l, other limits.Limits) limits.Limits {
	l.DrainTimeout = other.DrainTimeout
	return l
}

// loadFile reads the file that GW_CONFIG names and parses it. A parse error gets the file's path and the field's line.
func loadFile(getenv func(string) string, parse func([]byte, func(string) string) (Config, error)) (Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return Config{}, errors.New("GW_CONFIG is not set")
	}
	raw, err := readFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("GW_CONFIG: %w", err)
	}
	c, err := parse(raw, getenv)
	if err != nil {
		return Config{}, withFileLine(path, raw, err)
	}
	return c, nil
}

// Parse reads a configuration from JSON and checks it. Environment variables override fields as in Load. Errors name the
// field.
func Parse(raw []byte, getenv func(string) string) (Config, error) {
	var none Config
	doc, err := fastjson.ParseBytes(raw)
	if err != nil {
		return none, fmt.Errorf("not JSON: %w", err)
	}
	r := settings.NewReader(doc, "")
	r.Require("limits", "settings")
	c := Config{
		getenv:       getenv,
		requiredKeys: keyPaths(doc),
		Name:         cmp.Or(getenv("GW_NAME"), r.Text("name")),
		Listen:       cmp.Or(getenv("GW_LISTEN"), r.Text("listen")),
		Discovery:    cmp.Or(getenv("GW_DISCOVERY"), r.Text("discovery")),
		Mgmt:         cmp.Or(getenv("GW_MGMT"), r.Text("mgmt")),
		Counter:      r.Text("counter"),
		PeerListen:   r.Text("peer_listen"), Peers: r.Texts("peers"),
		Cores: r.Object("limits").Float("cores"),
	}
	set := r.Object("settings")
	if err := r.Err(); err != nil {
		return none, err
	}
	if c.Settings, err = settings.Read(set); err != nil {
		return none, err
	}
	if r.Has("settings_version") {
		if c.SettingsVersion, err = readVersionNumber(r, "settings_version"); err != nil {
			return none, err
		}
		if c.SharedSettings, err = settings.Shared(doc.Get("settings").MarshalTo(nil)); err != nil {
			return none, err
		}
	}
	if r.Has("drained") {
		if c.DrainedHosts, c.DrainedVersion, err = readDrainedHosts(r.Object("drained")); err != nil {
			return none, err
		}
	}
	if c.KnownHosts, err = discovery.ReadList(r.Object(knownHostsField)); err != nil {
		return none, err
	}
	if seed := r.Text("seed"); seed != "" {
		if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			return none, fmt.Errorf("seed %q is no hexadecimal number of 64 bits", seed)
		}
	}
	site := limits.Site{Sockets: r.Object("limits").Int("sockets"), MemoryMB: r.Object("limits").Int("memory_mb"),
		HostIdleTimeout: set.Object("limits").Millis("idleClose"), DialTimeout: c.Settings.DialTimeout,
		CounterCallTimeout: c.Settings.CounterTimeout, Ingresses: c.Settings.Gateways, DrainGrace: c.Settings.DrainGrace,
		HasLocalAgent: !c.Settings.MustSubscribe}
	// The drain timeout grows with the longest deadline. A deadline over 3 s counts as 3 s; without any deadline 3 s count.
	for _, class := range c.Settings.Classes {
		site.LongestDeadline = max(site.LongestDeadline, min(class.Deadline, 3*time.Second))
	}
	if site.LongestDeadline == 0 {
		site.LongestDeadline = 3 * time.Second
	}
	if err := r.Err(); err != nil {
		return none, err
	}
	if c.Limits, err = limits.For(site); err != nil {
		return none, err
	}
	type address struct {
		field, addr string
		isRequired  bool
	}
	addresses := []address{{"listen", c.Listen, true}, {"discovery", c.Discovery, true},
		{"counter", c.Counter, c.Settings.HasCounter}, {"mgmt", c.Mgmt, false}, {"peer_listen", c.PeerListen, false}}
	for i, addr := range c.Peers {
		addresses = append(addresses, address{fmt.Sprintf("peers[%d]", i), addr, false})
	}
	for _, a := range addresses {
		if a.addr == "" && !a.isRequired {
			continue
		}
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return none, fmt.Errorf("%s: %w", a.field, err)
		}
	}
	// The decision module checks the rest, before any socket is opened.
	if _, err := admission.New(c.Settings, c.Seed); err != nil {
		return none, err
	}
	if c.rawWithoutHosts = raw; r.Has(knownHostsField) {
		doc.Del(knownHostsField)
		c.rawWithoutHosts = doc.MarshalTo(nil)
	}
	return c, nil
}
