package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/valyala/fastjson"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/discovery"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/upstream"
	"ferryfront.example/ferryfront/internal/settings"
)

// Repeats of the measurements of the list, of which the cheapest counts.
const (
	parseRepeats = 5
	rankRepeats  = 5
	zoneRepeats  = 2
)

// wholeListMessage is the whole list of so many servers, as discovery sends it.
func wholeListMessage(servers int) []byte {
	return appendListMessage(nil, 1, true, listedServers(servers))
}

// parseList reads a message as the watch does.
func parseList(parser *fastjson.Parser, message []byte) (discovery.List, error) {
	value, err := parser.ParseBytes(message)
	if err != nil {
		return discovery.List{}, err
	}
	return discovery.ReadList(settings.NewReader(value, ""))
}

// measureParse is the processor time to read a whole list, in milliseconds.
func measureParse(_ context.Context, servers int) (float64, error) {
	message := wholeListMessage(servers)
	var parser fastjson.Parser
	var list discovery.List
	var err error
	spent := leastProcessorTime(parseRepeats, func() { list, err = parseList(&parser, message) })
	if err == nil && len(list.Entries) != servers {
		err = fmt.Errorf("%d servers were read", len(list.Entries))
	}
	return milliseconds(spent), err
}

// listHolders are the parts of an ingress that hold the list.
type listHolders struct {
	pool    *upstream.Pool
	watcher *discovery.Watcher
	gateway *admission.Gateway
}

// ServerListReceived gives the decision module the cluster's news.
func (h *listHolders) ServerListReceived(list admission.ServerList) {
	h.gateway.Handle(time.Hour, list)
}

// newListHolders has an ingress of 650 know so many servers.
func newListHolders(servers int) (*listHolders, error) {
	events, err := loop.New()
	if err != nil {
		return nil, err
	}
	bounds, err := limits.For(limits.Site{Sockets: 384, MemoryMB: 192, Ingresses: TargetIngresses})
	if err != nil {
		return nil, err
	}
	h := &listHolders{}
	if h.gateway, err = admission.New(fleetSettings(TargetIngresses), decisionSeed); err != nil {
		return nil, err
	}
	var parser fastjson.Parser // the watch keeps neither it nor the message
	list, err := parseList(&parser, wholeListMessage(servers))
	if err != nil {
		return nil, err
	}
	discard := slog.New(slog.DiscardHandler)
	h.pool = upstream.New(events, bounds, discard, new(uint64))
	// It never dials: its first watch is due some time after the start, and the loop does not run.
	h.watcher = discovery.New(events, bounds, discard, "", h, h.pool, list, decisionSeed)
	return h, nil
}

// measureListHeap is the heap that a list takes in the watch, the upstream pool and the decision module, in MB.
func measureListHeap(_ context.Context, servers int) (float64, error) {
	holders, heap, err := heapOf(func() (*listHolders, error) { return newListHolders(servers) })
	if err == nil && holders.watcher.HostCount() != servers {
		err = fmt.Errorf("%d servers are listed", holders.watcher.HostCount())
	}
	return heap / 1e6, err
}

// newRanking is a module of the last of 650 ingresses that knows so many servers.
func newRanking(servers int) (*decisionLoad, error) {
	return newDecisionLoad(TargetIngresses, servers, 1)
}

// restartServer tells the module that one server has started anew, in a message of its own.
func (d *decisionLoad) restartServer(server admission.ServerEntry, version uint64) {
	d.now += time.Millisecond
	server.Boot = d.now
	d.handle(admission.ServerList{Kind: admission.ListChanges, Version: version, Servers: []admission.ServerEntry{server}})
}

// measureRanking is the processor time for one change of the list, in milliseconds.
func measureRanking(_ context.Context, servers int) (float64, error) {
	ranking, err := newRanking(servers)
	if err != nil {
		return 0, err
	}
	entries, version := admissionServers(servers), uint64(1)
	return milliseconds(leastProcessorTime(rankRepeats, func() {
		version++
		ranking.restartServer(entries[int(version)%servers], version)
	})), nil
}

// measureZoneRanking is the processor time for so many changes of a list of 7,200 that come one by one, in
// milliseconds.
func measureZoneRanking(ctx context.Context, changes int) (float64, error) {
	ranking, err := newRanking(TargetServers)
	if err != nil {
		return 0, err
	}
	entries, version := admissionServers(TargetServers), uint64(1)
	spent := leastProcessorTime(zoneRepeats, func() {
		for i := 0; i < changes && ctx.Err() == nil; i++ {
			version++
			ranking.restartServer(entries[i], version)
		}
	})
	return milliseconds(spent), ctx.Err()
}

// subsetSpread is in how many of the subsets of 650 ingresses the servers are.
type subsetSpread struct {
	most, least float64
	none        float64 // servers in no subset
}

// measureSubsets works out the subset of every ingress.
func measureSubsets(ctx context.Context, servers int) (spread subsetSpread, err error) {
	ranked, err := rankSubsets(ctx, TargetIngresses, admissionServers(servers))
	if err != nil {
		return spread, err
	}
	users := ranked.users()
	spread.least = float64(len(users[0]))
	for _, by := range users {
		n := float64(len(by))
		spread.most, spread.least = max(spread.most, n), min(spread.least, n)
		if n == 0 {
			spread.none++
		}
	}
	return spread, nil
}
