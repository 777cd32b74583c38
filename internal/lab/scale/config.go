package scale

import (
	"encoding/json"
	"maps"
	"os"

	"ferryfront.example/ferryfront/internal/standin"
)

// firstVersion of the settings is what all ingresses begin with.
const firstVersion = 1

// fleetConfig is what the configurations of all ingresses are made from.
type fleetConfig struct {
	Topology   topology        `json:"topology"`
	Peers      []string        `json:"peers"`              // where each ingress takes messages of others, by number
	Discovery  []string        `json:"discovery"`          // where each watches, by number
	Replicas   [][]string      `json:"replicas,omitempty"` // where each reaches the control group, by number; none: they talk by gossip
	Base       json.RawMessage `json:"base"`               // a configuration with all that does not differ
	PerProcess int             `json:"per_process"`        // hollow members of a process
	Folder     string          `json:"folder"`             // for the files of hollow ingresses
}

// adjust makes the base configuration that of one ingress. Addresses of other real ingresses are the caller's to say,
// as seen from this one; empty ones are filled in.
func (c fleetConfig) adjust(member int, config, settings map[string]any, peers []string) {
	config["discovery"] = c.Discovery[member]
	config["peer_listen"] = c.Peers[member]
	seen := append([]string(nil), peers...)
	config["peers"] = append(seen, c.Peers[len(seen):]...)
	config["settings_version"] = firstVersion
	settings["me"], settings["balancers"] = member, c.Topology.Instances
	settings["zone"] = zoneName(memberZone(member))
}

// ceilingPlan is the plan with a ceiling, and halved by how much a new version of the settings lowers it.
const (
	ceilingPlan = "distributeur"
	halved      = 2
)

// changed are the plans of a further version: one with a ceiling may have half of what it had first. Versions after the
// second differ in a plan that no request of the test has.
func changed(version int) []map[string]any {
	plans := standin.Plans()
	for _, plan := range plans {
		switch plan["name"] {
		case ceilingPlan:
			plan["hardRate"], plan["neverOverDepth"], plan["hardSlack"] = ceilingRate/halved, ceilingBurst/halved, ceilingSlack/halved
			plan["quotaRate"], plan["storeSize"] = ceilingRate/halved/2, ceilingBurst/halved/2
		case "small":
			plan["quotaRate"] = 10 + version
		}
	}
	return plans
}

// change puts a further version of the settings into a configuration.
func change(version int) func(config, settings map[string]any) {
	return func(config, settings map[string]any) {
		config["settings_version"] = version
		settings["tiersOfService"] = changed(version)
	}
}

// memberFile is the configuration file of a hollow ingress.
type memberFile struct {
	path     string
	config   map[string]any
	settings map[string]any
}

// newMemberFile makes the configuration of an ingress from the fleet's.
func newMemberFile(path string, fleet fleetConfig, member int) (*memberFile, error) {
	f := &memberFile{path: path}
	if err := json.Unmarshal(fleet.Base, &f.config); err != nil {
		return nil, err
	}
	settings, _ := f.config["settings"].(map[string]any)
	f.settings = maps.Clone(settings)
	f.config["settings"] = f.settings
	fleet.adjust(member, f.config, f.settings, nil)
	f.config["listen"] = fleet.Topology.memberAddress(member, clientPort)
	return f, f.write()
}

func (f *memberFile) write() error {
	text, err := json.Marshal(f.config)
	if err != nil {
		return err
	}
	next := f.path + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, f.path)
}
