package discovery

import (
	"slices"
	"strings"

	"ferryfront.example/ferryfront/admission"
)

// SetDrained replaces the set of hosts that the operators drain. Those that discovery reports as up count as draining; all
// other hosts have the state that discovery reports. The sink and the hosts get the changes before SetDrained returns, in
// the same turn of the loop.
func (w *Watcher) SetDrained(names []string) {
	before := w.drained
	w.drained = map[string]bool{}
	for _, name := range names {
		w.drained[name] = true
	}
	changes := admission.ServerList{Kind: admission.ListChanges, Version: w.version}
	for name, e := range w.known {
		if e.State == admission.Up && before[name] != w.drained[name] {
			changes.Servers = append(changes.Servers, w.withDrain(e.ServerEntry))
		}
	}
	if len(changes.Servers) > 0 {
		slices.SortFunc(changes.Servers, func(a, b admission.ServerEntry) int { // for a reproducible order
			return strings.Compare(a.Name, b.Name)
		})
		w.sink.ServerListReceived(changes)
		for _, e := range changes.Servers {
			w.hosts.SetHost(e.Name, w.known[e.Name].Addr, e.Boot, e.State != admission.Up)
		}
	}
}

// withDrain returns the entry as it is passed on: draining if it is up and the operators drain the host.
func (w *Watcher) withDrain(e admission.ServerEntry) admission.ServerEntry {
	if e.State == admission.Up && w.drained[e.Name] {
		e.State = admission.Draining
	}
	return e
}
