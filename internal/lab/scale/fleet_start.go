package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"ferryfront.example/ferryfront/internal/standin"
)

// Settings of the program's own for a real ingress.
const (
	logSettings    = "log: format: \"json\"\n"
	gossipSettings = "membership: enabled: true\n"
)

// Sockets that an ingress of the test may hold.
const sockets = 512

// clientWait is how long a client waits for its answer.
const clientWait = 2500 * time.Millisecond

// newFleet starts hosts, discovery and all ingresses. The caller closes what it returns, also with an error.
func newFleet(run Run) (f *fleet, err error) {
	f = &fleet{run: run, timeline: newTimeline(run.Instances), holder: map[int]*hollowClient{}, version: firstVersion,
		realPIDs: map[int]int{}}
	if f.topology, err = newTopology(run.Instances, run.Real, run.Hosts); err != nil {
		return f, err
	}
	if f.links, err = standin.NewLinks(run.Real); err != nil {
		return f, err
	}
	dir, err := os.MkdirTemp(run.Setup.Dir, "scale")
	if err != nil {
		return f, err
	}
	shape := standin.Shape{Ingresses: run.Instances, Settings: logSettings, Sockets: sockets, Links: f.links,
		Adjust: func(me int, config, settings map[string]any) {
			f.config.adjust(me, config, settings, f.links.Peers(me))
		}}
	if run.Agreement == Gossip {
		shape.Settings += gossipSettings
	} else {
		if err = f.openGroup(dir); err != nil {
			return f, err
		}
		shape.Replicas = f.relays.Addrs
	}
	if f.world, err = standin.NewWorld(dir, shape); err != nil {
		return f, err
	}
	if err = f.startHosts(); err != nil {
		return f, err
	}
	if err = f.configure(dir, shape); err != nil {
		return f, err
	}
	run.Setup.Say("%d hosts listen", run.Hosts)
	if err = f.startHollow(); err != nil {
		return f, err
	}
	if err = f.startReal(shape); err != nil {
		return f, err
	}
	run.Setup.Say("%d ingresses run", run.Instances)
	return f, nil
}

// startHosts starts all upstream hosts, and discovery that lists them.
func (f *fleet) startHosts() error {
	var listings []standin.Listing
	for i := range f.topology.Hosts {
		h := f.topology.host(i)
		if err := f.world.AddHost(h); err != nil {
			return fmt.Errorf("upstream host %d: %w", i, err)
		}
		listings = append(listings, listing(h, "Ready"))
	}
	var addresses []string
	for m := range f.topology.Instances {
		addresses = append(addresses, f.topology.memberAddress(m, discoveryPort))
	}
	var err error
	f.discovery, err = standin.NewWatchServer(listings, addresses)
	f.config.Discovery = addresses
	return err
}

// listing is how discovery lists a host in a state.
func listing(h *standin.Host, state string) standin.Listing {
	return standin.Listing{Name: h.Name, Address: h.Addr(), Zone: h.Zone, Cell: h.Cell, State: state, Started: h.Boot()}
}

// configure makes what the ingresses' configurations are made from.
func (f *fleet) configure(dir string, shape standin.Shape) error {
	f.config.Topology, f.config.Folder = *f.topology, filepath.Join(dir, "hollow")
	f.config.PerProcess = f.run.PerProcess
	if err := os.Mkdir(f.config.Folder, 0o700); err != nil {
		return err
	}
	for m := range f.topology.Instances {
		address := f.topology.memberAddress(m, peerPort)
		if m < f.topology.Real {
			address = f.links.Listen(m)
		}
		f.config.Peers = append(f.config.Peers, address)
	}
	if f.relays != nil {
		for m := range f.topology.Instances {
			f.config.Replicas = append(f.config.Replicas, f.relays.Addrs(m))
		}
	}
	shape.Links = nil
	base := f.world.Config("hollow", f.topology.memberAddress(0, clientPort), 0, shape)
	var err error
	f.config.Base, err = json.Marshal(base)
	return err
}

// startHollow starts the hollow processes and all their members.
func (f *fleet) startHollow() error {
	all := f.topology.members(f.isHollow)
	for len(all) > 0 {
		n := min(f.run.PerProcess, len(all))
		c, err := startHollowProcess(f.run.Setup.Lab, f.config, all[:n], f.timeline.add, f.run.Setup.Say)
		if err != nil {
			return err
		}
		f.hollow = append(f.hollow, c)
		for _, m := range c.members {
			f.holder[m] = c
		}
		all = all[n:]
	}
	return f.fill()
}

// waveMost is how many hollow ingresses are started at a time.
const waveMost = 130

// fill starts the hollow ingresses in waves, each when those of the last one have the list of hosts: a machine that runs
// hundreds of ingresses is long at it, the more the more of them run already.
func (f *fleet) fill() error {
	waves := max(1, (len(f.holder)+waveMost-1)/waveMost)
	for wave := range waves {
		members := f.topology.members(func(m int) bool { return f.isHollow(m) && m%waves == wave })
		if _, err := f.each(members, order{Action: actionStart}); err != nil {
			return err
		}
		f.run.Setup.Say("%d hollow ingresses are started", len(members))
		if err := f.awaitLists(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) isHollow(member int) bool { return member >= f.topology.Real }

// Bounds on the start of the hollow ingresses, which is nothing that is measured.
const (
	listsMost = 150 * time.Second      // until each has the list of hosts
	listsCalm = 300 * time.Millisecond // for which none waits for it
)

// awaitLists waits until all hollow ingresses have the list of hosts. To read it takes all processors for a while, and
// a real ingress that is started meanwhile is not ready in time.
func (f *fleet) awaitLists() error {
	calm := time.Now()
	ok := await(time.Now().Add(listsMost), func() bool {
		if f.discovery.Waiting() > 0 {
			calm = time.Now()
		}
		return time.Since(calm) > listsCalm
	})
	if !ok {
		return fmt.Errorf("%d hollow ingresses wait for the list of hosts after %v", f.discovery.Waiting(), listsMost)
	}
	f.run.Setup.Say("hollow ingresses have the list of hosts")
	return nil
}

// trim has hollow processes give back the memory that the start has taken.
func (f *fleet) trim() error {
	_, err := f.each(f.topology.members(f.isHollow), order{Action: actionTrim})
	return err
}

// startReal starts the processes of the real binary, and clients of each.
func (f *fleet) startReal(shape standin.Shape) error {
	for m := range f.topology.Real {
		in, err := f.world.Start(f.run.Setup.Ferryfront, shape)
		if in != nil {
			follower, bad := follow(m, in.Log, f.timeline.add)
			if bad != nil {
				return errors.Join(err, bad)
			}
			f.followers = append(f.followers, follower)
		}
		if err != nil {
			return err
		}
		f.notePID(m)
		f.clients = append(f.clients, &standin.Clients{Addr: in.Addr, Record: f.world.Record,
			Via: m, Wait: clientWait})
	}
	return nil
}
