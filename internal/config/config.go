// Package config reads what the platform tells an ingress at its start.
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

// Config is one ingress's configuration.
type Config struct {
	Name, Listen, Discovery, Counter string
	Mgmt                             string   // where operators ask, empty: nowhere
	PeerListen                       string   // where messages of other ingresses come, empty: nowhere
	Peers                            []string // where each ingress takes them, by its number
	Seed                             uint64
	Cores                            float64
	Known                            discovery.List
	Settings                         admission.Settings
	Version                          uint64   // of the settings, above 0; 0: they have none
	Drained                          []string // hosts that the operators drain, whatever discovery says
	DrainedVersion                   uint64   // of that list, above 0; 0: there is none
	Shared                           []byte   // what of them all ingresses have in common; nil without a version
	Limits                           limits.Limits

	keys   []string // that a file for a reload must have, too
	raw    []byte   // what was parsed, without the list of hosts
	getenv func(string) string
}

// knownField is the list of hosts known from before the start. It is read once, and by far the longest field.
const knownField = "known"

// Load reads the file that GW_CONFIG names. GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_MGMT, where they are set,
// go before what the file says.
func Load(getenv func(string) string) (Config, error) { return load(getenv, Parse) }

// Changed names the fields in which another configuration differs beyond the addresses and settings that can be
// followed while running. The list known from before a start is not among them: discovery has told a newer one.
func (c Config) Changed(to Config) []string {
	var names []string
	for _, f := range []struct {
		name     string
		was, now any
	}{{"name", c.Name, to.Name}, {"listen", c.Listen, to.Listen}, {"mgmt", c.Mgmt, to.Mgmt},
		{"peer_listen", c.PeerListen, to.PeerListen}, {"peers", c.Peers, to.Peers}, {"seed", c.Seed, to.Seed},
		{"limits.cores", c.Cores, to.Cores},
		{"limits", c.Limits, like(to.Limits, c.Limits)}} {
		if !reflect.DeepEqual(f.was, f.now) {
			names = append(names, f.name)
		}
	}
	return names
}

// like returns bounds with those of another's that follow new settings without a restart.
func like(l, other limits.Limits) limits.Limits {
	l.DrainTimeout = other.DrainTimeout
	return l
}

func load(getenv func(string) string, parse func([]byte, func(string) string) (Config, error)) (Config, error) {
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
		return Config{}, at(path, raw, err)
	}
	return c, nil
}

// Parse reads a configuration. Its errors name the field.
func Parse(raw []byte, getenv func(string) string) (Config, error) {
	var none Config
	doc, err := fastjson.ParseBytes(raw)
	if err != nil {
		return none, fmt.Errorf("not JSON: %w", err)
	}
	r := settings.NewReader(doc, "")
	r.Require("limits", "settings")
	c := Config{
		getenv:     getenv,
		keys:       keys(doc),
		Name:       cmp.Or(getenv("GW_NAME"), r.Text("name")),
		Listen:     cmp.Or(getenv("GW_LISTEN"), r.Text("listen")),
		Discovery:  cmp.Or(getenv("GW_DISCOVERY"), r.Text("discovery")),
		Mgmt:       cmp.Or(getenv("GW_MGMT"), r.Text("mgmt")),
		Counter:    r.Text("counter"),
		PeerListen: r.Text("peer_listen"), Peers: r.Texts("peers"),
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
		if c.Version, err = number(r, "settings_version"); err != nil {
			return none, err
		}
		if c.Shared, err = settings.Shared(doc.Get("settings").MarshalTo(nil)); err != nil {
			return none, err
		}
	}
	if r.Has("drained") {
		if c.Drained, c.DrainedVersion, err = drained(r.Object("drained")); err != nil {
			return none, err
		}
	}
	if c.Known, err = discovery.ReadList(r.Object(knownField)); err != nil {
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
	type place struct {
		field, addr string
		must        bool
	}
	places := []place{{"listen", c.Listen, true}, {"discovery", c.Discovery, true},
		{"counter", c.Counter, c.Settings.HasCounter}, {"mgmt", c.Mgmt, false}, {"peer_listen", c.PeerListen, false}}
	for i, addr := range c.Peers {
		places = append(places, place{fmt.Sprintf("peers[%d]", i), addr, false})
	}
	for _, a := range places {
		if a.addr == "" && !a.must {
			continue
		}
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return none, fmt.Errorf("%s: %w", a.field, err)
		}
	}
	// The module holds the rest to its own standard, before anything is opened.
	if _, err := admission.New(c.Settings, c.Seed); err != nil {
		return none, err
	}
	if c.raw = raw; r.Has(knownField) {
		doc.Del(knownField)
		c.raw = doc.MarshalTo(nil)
	}
	return c, nil
}
