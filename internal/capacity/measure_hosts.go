package capacity

import (
	"context"

	"ferryfront.example/ferryfront/internal/limits"
)

// Texts of the measurements at the upstream hosts.
const (
	hostStandin = "upstream hosts: simulated time, answers after 50 to 150 ms whatever their load; real ones queue, and " +
		"some are slower than others"
	coldStandin = hostStandin + ". The server is the one that most ingresses use, warm after 16 s from 0.15 of a " +
		"capacity of which the fleet uses 0.54"
	failStandin      = hostStandin + "; which of them fail is drawn, and the list does not say so"
	balanceMechanism = "existing: subsetting by rendezvous hashing, admission/rendezvous; missing: its bound on load above 2^20 weights"
	coldMechanism    = "existing: slow start, admission/servers.go; missing: subsets of bounded load above 2^20 weights"
	poolMechanism    = "existing: connection pool, internal/net/upstream, over a subset, admission/servers.go"
	retryMechanism   = "existing: retry budget and outlier ejection, admission/attempts.go"
	serversParameter = "servers"
)

// failingSizes are parts of the servers that fail, in percent; a zone is one in seven.
func failingSizes() []int { return []int{3, 7, 14, 30} }

// hostMeasurers measure what the fleet of ingresses asks of the upstream hosts.
func hostMeasurers() []Measurer {
	byIngresses := memoize(func(ctx context.Context, ingresses int) (subsets, error) {
		return rankSubsets(ctx, ingresses, admissionServers(serversFor(ingresses)))
	})
	byServers := memoize(func(ctx context.Context, servers int) (subsets, error) {
		if servers == serversFor(TargetIngresses) {
			return byIngresses(ctx, TargetIngresses)
		}
		return rankSubsets(ctx, TargetIngresses, admissionServers(servers))
	})
	grown := memoize(func(ctx context.Context, ingresses int) (connectionLoad, error) {
		return measureConnections(ctx, ingresses, serversFor(ingresses))
	})
	listed := memoize(func(ctx context.Context, servers int) (connectionLoad, error) {
		return measureConnections(ctx, TargetIngresses, servers)
	})
	measurers := []Measurer{
		{Quantity: "ingresses that use a server, most", Unit: "ingresses", Parameter: serversParameter, Mechanism: balanceMechanism,
			Measure: reading(byServers, func(s subsets) float64 { _, users := s.busiest(); return float64(len(users)) })},
		{Quantity: "ingresses that use the busiest server, over the mean", Unit: "ratio", Parameter: serversParameter,
			Mechanism: balanceMechanism, Measure: reading(byServers, func(s subsets) float64 {
				_, users := s.busiest()
				return float64(len(users)) / s.mean()
			})},
		{Quantity: "ingresses that use a server, mean", Unit: "ingresses", Parameter: serversParameter, Mechanism: balanceMechanism,
			Measure: reading(byServers, subsets.mean)},
		{Quantity: "connections of an ingress", Unit: "connections", Parameter: serversParameter, Standin: hostStandin,
			Mechanism: poolMechanism, Budget: upstreamConnections(),
			Measure: reading(listed, func(l connectionLoad) float64 { return l.open })},
		{Quantity: "connections held by a server, mean", Unit: "connections", Parameter: "ingresses", Standin: hostStandin,
			Mechanism: poolMechanism, Measure: reading(grown, connectionLoad.openAtServer)},
		{Quantity: "handshakes of the fleet", Unit: "handshakes a second", Parameter: "ingresses", Standin: hostStandin,
			Mechanism: poolMechanism, Measure: reading(grown, connectionLoad.handshakesOfFleet)},
		{Quantity: "handshakes of the fleet in the first second after a start", Unit: "handshakes", Parameter: "ingresses",
			Standin: hostStandin, Mechanism: poolMechanism, Measure: reading(grown, connectionLoad.firstOfFleet)},
		{Quantity: "work sent to one cold server, over what makes it fall over", Unit: "ratio", Parameter: "ingresses",
			Standin: coldStandin, Mechanism: coldMechanism, Budget: Budget(1),
			Measure: func(ctx context.Context, ingresses int) (float64, error) {
				ranked, err := byIngresses(ctx, ingresses)
				if err != nil {
					return 0, err
				}
				return measureColdRamp(ctx, ranked)
			}},
		{Quantity: "further attempts where servers answer with errors", Unit: "for 100 requests", Parameter: "% of servers that fail",
			Sizes: failingSizes(), Target: 100 / TargetZones, Standin: failStandin, Mechanism: retryMechanism, Measure: retriesAt(failsWithErrors)},
		{Quantity: "further attempts where servers are gone", Unit: "for 100 requests", Parameter: "% of servers that fail",
			Sizes: failingSizes(), Target: 100 / TargetZones, Standin: failStandin, Mechanism: retryMechanism, Measure: retriesAt(failsToConnect)},
		{Quantity: "further attempts while a zone is gone", Unit: "for 100 requests", Parameter: "ingresses", Standin: failStandin,
			Mechanism: retryMechanism, Measure: func(ctx context.Context, ingresses int) (float64, error) {
				return measureRetries(ctx, ingresses, 1.0/TargetZones, failsToConnect)
			}},
	}
	for i := range measurers {
		m := &measurers[i]
		m.Role = RoleOrderServers
		switch m.Parameter {
		case "ingresses":
			m.Sizes, m.Target = ingressSizes(), TargetIngresses
		case serversParameter:
			m.Sizes, m.Target = serverSizes(), TargetServers
		}
	}
	return measurers
}

// retriesAt measures further attempts at the target fleet by the percentage of servers that fail.
func retriesAt(how failure) func(context.Context, int) (float64, error) {
	return func(ctx context.Context, percent int) (float64, error) {
		return measureRetries(ctx, TargetIngresses, float64(percent)/100, how)
	}
}

// ingressSockets is how many descriptors the platform gives an ingress.
const ingressSockets = 384

// upstreamConnections is how many connections to upstream hosts an ingress may hold; nil where its limits can't be.
func upstreamConnections() *float64 {
	lim, err := limits.For(limits.Site{Sockets: ingressSockets, Ingresses: TargetIngresses})
	if err != nil {
		return nil
	}
	return Budget(float64(lim.MaxUpstreamConns))
}

// openAtServer is how many connections of the whole fleet a server holds.
func (l connectionLoad) openAtServer() float64 { return l.open * float64(l.fleet) / float64(l.servers) }

// handshakesOfFleet is how many the whole fleet makes in a second, once connections have settled.
func (l connectionLoad) handshakesOfFleet() float64 { return l.handshakes * float64(l.fleet) }

// firstOfFleet is how many the whole fleet makes in its first second.
func (l connectionLoad) firstOfFleet() float64 { return l.first * float64(l.fleet) }
