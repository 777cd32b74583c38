package capacity

import (
	"context"
	"slices"
	"sync"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/admission/rendezvous"
)

// subsets holds which servers each ingress of a fleet uses, by their indices in a list.
type subsets struct {
	servers []admission.ServerEntry
	of      [][]int // by ingress
}

// rankWorkers is how many ingresses are worked out at a time.
const rankWorkers = 3

// rankSubsets works out the subset of every ingress, as each does for itself.
func rankSubsets(ctx context.Context, ingresses int, servers []admission.ServerEntry) (subsets, error) {
	keys := make([]uint64, len(servers))
	for i, server := range servers {
		keys[i] = rendezvous.Key(server.Name)
	}
	size := min(len(servers), admission.SubsetSize(len(servers), ingresses))
	ranked := subsets{servers: servers, of: make([][]int, ingresses)}
	var workers sync.WaitGroup
	for worker := range rankWorkers {
		workers.Go(func() {
			for me := worker; me < ingresses && ctx.Err() == nil; me += rankWorkers {
				ranked.of[me] = slices.Clone(rendezvous.Order(keys, me, ingresses, size)[:size])
			}
		})
	}
	workers.Wait()
	return ranked, ctx.Err()
}

// names returns the names of an ingress's servers.
func (s subsets) names(me int) map[string]bool {
	names := map[string]bool{}
	for _, server := range s.of[me] {
		names[s.servers[server].Name] = true
	}
	return names
}

// users returns by server which ingresses use it.
func (s subsets) users() [][]int {
	users := make([][]int, len(s.servers))
	for me, subset := range s.of {
		for _, server := range subset {
			users[server] = append(users[server], me)
		}
	}
	return users
}

// busiest returns the server that most ingresses use.
func (s subsets) busiest() (server int, users []int) {
	for i, by := range s.users() {
		if len(by) > len(users) {
			server, users = i, by
		}
	}
	return server, users
}

// mean is how many ingresses use a server on average.
func (s subsets) mean() float64 {
	total := 0
	for _, subset := range s.of {
		total += len(subset)
	}
	return float64(total) / float64(len(s.servers))
}

// withoutServers returns the servers that are left when so many are gone, evenly apart.
func withoutServers(servers []admission.ServerEntry, gone int) (left []admission.ServerEntry) {
	for i, server := range servers {
		if (i+1)*gone/len(servers) == i*gone/len(servers) {
			left = append(left, server)
		}
	}
	return left
}
