package capacity

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"ferryfront.example/ferryfront/internal/standin"
)

// Of a measurement of the real binary under load.
const (
	loadRate        = 300 // requests a second: more than twice an ingress's part of the peak, so that there is enough to count
	loadWarm        = 200 // requests before the first that counts
	loadCount       = 500 // requests of one repeat
	loadRepeats     = 3
	loadCalm        = 1.5             // ms: 99th percentile of direct requests up to which the machine counts as calm
	loadTries       = 8               // repeats at the most: one in which the busy machine had requests refused does not count
	loadPause       = 2 * time.Second // after one that does not
	loadConnections = 32              // of clients, where they are not the parameter
	loadListed      = 200
	loadHosts       = 8
	loadTenants     = 200
	loadSockets     = 4096 // descriptors of the ingress
	loadAnswered    = 0.95 // part of the requests that has to be answered with status 200
)

// ingressCost is what a real ingress costs under load.
type ingressCost struct {
	processorMicroseconds float64 // a request, of the process
	addedP99              float64 // ms: 99th percentile through the ingress less that of the same requests sent directly
	directP99             float64 // ms: that of these
	residentMegabytes     float64
}

// measureIngress loads an ingress of a fleet of 650 that lists so many servers, over so many client connections.
func measureIngress(ctx context.Context, environment Environment, servers, connections int) (least ingressCost, err error) {
	dir, err := os.MkdirTemp(environment.Dir, "ingress")
	if err != nil {
		return least, err
	}
	shape := standin.Shape{Hosts: loadHosts, Ingresses: TargetIngresses, Sockets: loadSockets, Bare: true}
	world, err := standin.NewWorld(dir, shape)
	if err != nil {
		return least, err
	}
	defer world.Close()
	world.AddAliases(servers - loadHosts)
	ingress, err := world.Start(environment.Ferryfront, shape)
	if err != nil {
		return least, err
	}
	process := ingress.Cmd.Process.Pid
	direct := world.Hosts[0].Addr()
	if _, err := loadOnce(ctx, process, ingress.Addr, direct, connections, loadWarm, "warm"); err != nil && !errors.Is(err, errRefused) {
		return least, err
	}
	if least, err = leastLoad(ctx, func(try int) (ingressCost, error) {
		return loadOnce(ctx, process, ingress.Addr, direct, connections, loadCount, fmt.Sprintf("r%d-", try))
	}); err != nil {
		return least, err
	}
	least.residentMegabytes, err = residentMegabytes(process)
	return least, err
}

// errRefused tells that too many requests were refused for a repeat to count: the ingress sheds load where answers come
// late, as they do on a machine that is too busy.
var errRefused = errors.New("too many requests were refused")

// leastLoad repeats a load and returns the least processor time, and the time added in the repeat in which the machine
// was calmest: that whose direct requests had the lowest 99th percentile. It repeats until one was calm enough.
// Repeats with too many refusals do not count.
func leastLoad(ctx context.Context, load func(try int) (ingressCost, error)) (least ingressCost, err error) {
	good := 0
	var refused error
	for try := 0; try < loadTries && (good < loadRepeats || least.directP99 > loadCalm); try++ {
		one, err := load(try)
		switch {
		case errors.Is(err, errRefused):
			refused = err
			select {
			case <-ctx.Done():
				return least, ctx.Err()
			case <-time.After(loadPause):
			}
			continue
		case err != nil:
			return least, err
		case good == 0:
			least = one
		}
		least.processorMicroseconds = min(least.processorMicroseconds, one.processorMicroseconds)
		if one.directP99 < least.directP99 {
			least.addedP99, least.directP99 = one.addedP99, one.directP99
		}
		good++
	}
	if good == 0 {
		return least, refused
	}
	return least, nil
}

// loadOnce sends the same load through the ingress and directly to a host at one time, so that what else the machine
// does falls on both alike.
func loadOnce(ctx context.Context, process int, ingress, direct string, connections, count int, name string) (cost ingressCost, err error) {
	through := newLoadClient(ingress, "in-"+name, connections, loadTenants)
	beside := newLoadClient(direct, "direct-"+name, connections, loadTenants)
	before, err := processTime(process)
	if err != nil {
		return cost, err
	}
	ended := make(chan error, 1)
	go func() { ended <- beside.run(ctx, count, time.Second/loadRate) }()
	err = errors.Join(through.run(ctx, count, time.Second/loadRate), <-ended)
	if err != nil {
		return cost, err
	}
	after, err := processTime(process)
	if err != nil {
		return cost, err
	}
	if float64(through.answered) < loadAnswered*float64(count) || ctx.Err() != nil {
		return cost, fmt.Errorf("%w: %d of %d were answered, others %v", errRefused, through.answered, count, through.other)
	}
	cost.processorMicroseconds = float64((after - before).Nanoseconds()) / 1e3 / float64(count)
	cost.directP99 = beside.percentile(99)
	cost.addedP99 = max(0, through.percentile(99)-cost.directP99)
	return cost, nil
}

// processTime is the processor time that all threads of a process have spent.
func processTime(process int) (total time.Duration, err error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", process))
	if err != nil {
		return 0, err
	}
	for _, thread := range threads {
		raw, err := os.ReadFile(thread)
		if err != nil {
			return 0, err
		}
		first, _, _ := strings.Cut(string(raw), " ")
		spent, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%s: %w", thread, err)
		}
		total += time.Duration(spent)
	}
	return total, nil
}

// residentMegabytes is the memory that a process holds.
func residentMegabytes(process int) (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		return 0, err
	}
	_, after, found := strings.Cut(string(raw), "VmRSS:")
	if !found {
		return 0, fmt.Errorf("process %d has no VmRSS", process)
	}
	var kibibytes float64
	if _, err := fmt.Sscan(after, &kibibytes); err != nil {
		return 0, err
	}
	return kibibytes * 1024 / 1e6, nil
}
