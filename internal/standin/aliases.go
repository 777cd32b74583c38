package standin

import "fmt"

// AddAliases lists so many further hosts at the addresses of those that run, for a list of the size of a large fleet.
// Each is a host of its own to an ingress; what reaches it is recorded under the name of the host that runs there.
func (w *World) AddAliases(n int) {
	for i := range n {
		host := w.Hosts[i%len(w.Hosts)]
		w.Discovery.Set(&Host{Name: fmt.Sprintf("alias-%d", i), Zone: host.Zone, Cell: host.Cell, ln: host.ln}, "Ready")
	}
}
