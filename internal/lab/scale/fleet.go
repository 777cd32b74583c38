package scale

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync"
	"syscall"

	"ferryfront.example/ferryfront/internal/daemon"
	"ferryfront.example/ferryfront/internal/standin"
)

// fleet is all ingresses of a run, with what is around them.
type fleet struct {
	run       Run
	topology  *topology
	timeline  *timeline
	world     *standin.World // of the real ingresses: hosts, counter, record
	links     *standin.Links // messages between real ingresses
	discovery *standin.WatchServer
	group     *standin.ControlGroup // nil: the ingresses agree by gossip
	relays    *standin.Relays       // between ingresses and replicas
	config    fleetConfig
	hollow    []*hollowClient
	holder    map[int]*hollowClient // by member
	followers []*follower
	clients   []*standin.Clients
	version   uint64 // newest of the settings that was given

	processes sync.Mutex
	realPIDs  map[int]int // by member
	groupPIDs []int
}

// memberNumber is that of a member's name.
func memberNumber(name string) (int, error) { return strconv.Atoi(name) }

// notePID has the process of a real ingress counted.
func (f *fleet) notePID(real int) {
	f.processes.Lock()
	defer f.processes.Unlock()
	f.realPIDs[real] = f.world.Ingresses[real].Cmd.Process.Pid
}

// each gives an order to the hollow processes of some members, to all at a time.
func (f *fleet) each(members []int, o order) ([]notice, error) {
	byProcess := map[*hollowClient][]int{}
	for _, m := range members {
		if c := f.holder[m]; c != nil {
			byProcess[c] = append(byProcess[c], m)
		}
	}
	var mu sync.Mutex
	var notices []notice
	var faults error
	var group sync.WaitGroup
	for c, list := range byProcess {
		group.Go(func() {
			o := o
			o.Members = list
			n, err := c.order(o)
			mu.Lock()
			defer mu.Unlock()
			notices, faults = append(notices, n), errors.Join(faults, err)
		})
	}
	group.Wait()
	return notices, faults
}

// start starts members, or starts those again that were stopped.
func (f *fleet) start(members []int) error {
	var mu sync.Mutex
	var faults error
	var group sync.WaitGroup
	failed := func(err error) {
		mu.Lock()
		defer mu.Unlock()
		faults = errors.Join(faults, err)
	}
	for _, m := range members {
		if f.isHollow(m) {
			f.timeline.started(m)
			continue
		}
		group.Go(func() {
			failed(f.world.Again(m))
			f.notePID(m)
			f.timeline.started(m) // its clients come when it listens
		})
	}
	_, err := f.each(members, order{Action: actionStart})
	failed(err)
	group.Wait()
	return faults
}

// kill kills members as SIGKILL does.
func (f *fleet) kill(members []int) error { return f.stop(members, actionKill) }

// lose takes members away as the loss of their machines does: nothing closes their connections.
func (f *fleet) lose(members []int) error { return f.stop(members, actionLose) }

func (f *fleet) stop(members []int, how action) error {
	for _, m := range members {
		f.timeline.stopped(m)
		if f.isHollow(m) {
			continue
		}
		if how == actionLose {
			f.signal(m, syscall.SIGSTOP)
			continue
		}
		f.world.Ingresses[m].Kill()
	}
	_, err := f.each(members, order{Action: how})
	return err
}

func (f *fleet) signal(real int, s syscall.Signal) {
	_ = syscall.Kill(f.world.Ingresses[real].Cmd.Process.Pid, s) // it may have ended
}

// cut has the members of an island and all others hear nothing of each other; no members: the cut is healed.
func (f *fleet) cut(island []int) error {
	inside := map[int]bool{}
	for _, m := range island {
		inside[m] = true
	}
	f.links.Set(func(from, to int) bool { return inside[from] != inside[to] }, 0, 0)
	f.cutGroup(inside)
	var faults error
	for _, c := range f.hollow {
		_, err := c.order(order{Action: actionCut, Members: island})
		faults = errors.Join(faults, err)
	}
	return faults
}

// cutRegion cuts a region off from the others.
func (f *fleet) cutRegion(region int) error {
	return f.cut(f.topology.members(func(m int) bool { return memberRegion(m) == region }))
}

// heal ends a cut.
func (f *fleet) heal() error { return f.cut(nil) }

// zoneHosts are the upstream hosts of a zone.
func (f *fleet) zoneHosts(zone int) (hosts []*standin.Host) {
	for i, h := range f.world.Hosts {
		if hostZone(i) == zone {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// list has discovery tell that hosts have come to a state.
func (f *fleet) list(hosts []*standin.Host, state string) error {
	var listings []standin.Listing
	for _, h := range hosts {
		listings = append(listings, listing(h, state))
	}
	return f.discovery.Change(listings)
}

// give gives the next version of the settings to one member, as an operator does, and returns its number.
func (f *fleet) give(member int) (version uint64, err error) {
	f.version++
	return f.version, f.giveAgain(member)
}

// giveAgain has a member read the newest version once more. One that is taken already changes nothing.
func (f *fleet) giveAgain(member int) error {
	if f.isHollow(member) {
		_, err := f.each([]int{member}, order{Action: actionChange, Version: int(f.version)})
		return err
	}
	if err := f.world.Ingresses[member].Configure(change(int(f.version))); err != nil {
		return err
	}
	f.signal(member, syscall.SIGHUP)
	return nil
}

// traffic returns how many bytes of messages between ingresses each member has sent and received.
func (f *fleet) traffic() (bytes map[int]uint64, err error) {
	bytes = map[int]uint64{}
	notices, err := f.each(f.topology.members(f.isHollow), order{Action: actionTraffic})
	if err != nil {
		return nil, err
	}
	for _, n := range notices {
		for _, t := range n.Traffic {
			bytes[t.Member] = t.Bytes
		}
	}
	for m, in := range f.world.Ingresses {
		ctx, cancel := context.WithTimeout(context.Background(), clientWait)
		err := daemon.SendCommand(ctx, in.Control, daemon.Command{Name: "members"}, func(line []byte) error {
			var view daemon.MembershipStatus
			if err := json.Unmarshal(line, &view); err != nil {
				return err
			}
			bytes[m] = view.BytesSent + view.BytesReceived
			return nil
		})
		cancel()
		if err != nil && f.timeline.runs(m) {
			f.run.Setup.Say("traffic of ingress %d not read: %v", m, err)
		}
	}
	return bytes, nil
}

// close ends all processes. It is safe on a fleet that was not started whole.
func (f *fleet) close() {
	for _, c := range f.clients {
		c.Close()
	}
	if f.world != nil { // what is stopped can't be waited for
		for m := range f.world.Ingresses {
			f.signal(m, syscall.SIGCONT)
		}
	}
	for _, c := range f.hollow {
		c.close()
	}
	if f.discovery != nil {
		f.discovery.Close()
	}
	if f.world != nil {
		f.world.Close()
	}
	for _, follower := range f.followers {
		follower.close()
	}
	f.relays.Close()
	f.group.Close()
	f.links.Close()
	_ = f.topology.close()
}
