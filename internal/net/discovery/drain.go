package discovery

import (
	"slices"
	"strings"

	"ferryfront.example/ferryfront/admission"
)

// SetDrained has these hosts count as draining, whatever discovery says of them, and no others beyond its own word. They
// take effect in the same turn, as a change of the list does.
func (w *Watcher) SetDrained(names []string) {
	before := w.drained
	w.drained = map[string]bool{}
	for _, name := range names {
		w.drained[name] = true
	}
	news := admission.ServerList{Kind: admission.ListChanges, Version: w.version}
	for name, e := range w.known {
		if e.State == admission.Up && before[name] != w.drained[name] {
			news.Servers = append(news.Servers, w.held(e.ServerEntry))
		}
	}
	if len(news.Servers) > 0 {
		slices.SortFunc(news.Servers, func(a, b admission.ServerEntry) int { // equal news in equal order
			return strings.Compare(a.Name, b.Name)
		})
		w.sink.ServerListReceived(news)
		for _, e := range news.Servers {
			w.hosts.Host(e.Name, w.known[e.Name].Addr, e.Boot, e.State != admission.Up)
		}
	}
}

// held is what is told of a host.
func (w *Watcher) held(e admission.ServerEntry) admission.ServerEntry {
	if e.State == admission.Up && w.drained[e.Name] {
		e.State = admission.Draining
	}
	return e
}
