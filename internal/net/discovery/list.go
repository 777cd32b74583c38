package discovery

import (
	"math"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/settings"
)

// Entry is an upstream host in a list. ServerEntry.Boot is the time of the host's last start: by the wall clock as ReadList
// returns it, by the loop's clock once a Watcher has applied the list; 0 if that was long ago.
type Entry struct {
	admission.ServerEntry
	Addr    string        // host:port
	Started time.Duration // time of the last start as discovery reports it, by the wall clock; 0: long ago
}

// List is one message of discovery. A full list replaces all hosts, any other one adds and changes hosts. A host in state
// Gone is removed.
type List struct {
	Version uint64
	Full    bool
	Entries []Entry
}

// statesByName maps the states in discovery's messages to those of the decision module.
var statesByName = map[string]admission.ServerState{
	"Ready": admission.Up, "Terminating": admission.Draining, "Gone": admission.Gone,
}

// ReadList reads a message. A host in an unknown state counts as draining, so that it gets no new requests. ReadList returns
// an error if a field has the wrong type or a host has no id.
func ReadList(r settings.Reader) (List, error) {
	list := List{Version: uint64(max(0, r.Int("version"))), Full: r.Bool("full")}
	for _, e := range r.List("servers") {
		state, ok := statesByName[e.Text("state")]
		if !ok {
			state = admission.Draining
		}
		e.Require("id")
		startedMS := e.Float("started_ms")
		if math.Abs(startedMS) > 1e13 { // over 300 years from the epoch: treated as not given
			startedMS = 0
		}
		started := time.Duration(startedMS*1e3) * time.Microsecond
		list.Entries = append(list.Entries, Entry{Addr: e.Text("addr"), Started: started, ServerEntry: admission.ServerEntry{
			Name: e.Text("id"), Zone: e.Text("zone"), Kind: e.Text("kind"), Cell: e.Int("cell"), State: state,
			Size: e.Float("weight"), Boot: started}})
	}
	return list, r.Err()
}
