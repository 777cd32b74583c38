package scale

import (
	"time"
)

// disturbance is what happens to the fleet in one event.
type disturbance struct {
	name, about string
	play        func(*trial) error
	needsGroup  bool // it says nothing of a fleet without a control group
}

// Times within events.
const (
	underWay      = 20 * time.Millisecond  // after which a change that was given is on its way
	deadBefore    = 5 * time.Second        // for which machines are dead before a change is given
	rackBefore    = 200 * time.Millisecond // for which a rack is gone before one is: nobody can know yet
	noticeAfter   = time.Second            // after which discovery tells that hosts are gone
	zoneGone      = 20 * time.Second
	regionCut     = 30 * time.Second
	groupGone     = 30 * time.Second
	changeWithin  = 5 * time.Second // after the beginning of a zone's or region's loss, when a change is given
	coldFor       = 8 * time.Second // of hosts that come back
	coldFrom      = 0.2             // part of their capacity then
	restartedPart = 10              // one in so many is restarted,
	rackPart      = 40              // or in a rack that is gone
)

// giver is the hollow member that is given a change, or hands it to the control group. It is in none of the parts that
// the events take away: its zone is neither the lost one nor in the region that is cut off.
func (t *topology) giver() int {
	m := t.Real
	for memberZone(m) != 0 {
		m++
	}
	return m
}

// cutRegion is the one that the regions event cuts off. It holds two of five real ingresses.
const cutRegion = 1

// eventRegions is the one event whose bound on contradiction is its own.
const eventRegions = "regions"

// Events names the events, with what each does.
func Events() (names, abouts []string) {
	for _, d := range disturbances() {
		names, abouts = append(names, d.name), append(abouts, d.about)
	}
	return names, abouts
}

func disturbances() []disturbance {
	return []disturbance{
		{name: "change", about: "one change of the settings", play: func(t *trial) error { return t.change(t.fleet.topology.giver()) }},
		{name: "change-dead", about: "a change while 29 of 650 machines have been dead for 5 s", play: changeDead},
		{name: "restart", about: "one in ten killed and started again at once, a real one among them", play: restart},
		{name: "rack", about: "one in 40 machines gone, and a change 0.2 s later", play: rack},
		{name: "zone", about: "a zone's ingresses and hosts gone for 20 s and back, a change in between", play: zone},
		{name: eventRegions, about: "a region cut off from the others for 30 s, a change outside it in between", play: cutOff},
		{name: "leader", about: "the control leader killed 20 ms after a change; gossip: the member that was given it", play: leader},
		{name: "control-down", about: "all control machines gone for 30 s, one change right before and one after",
			play: controlDown, needsGroup: true},
	}
}

// otherHollow returns so many hollow members, spread over the fleet, without the giver.
func (t *topology) otherHollow(n int) (list []int) {
	candidates := t.members(func(m int) bool { return m >= t.Real && m != t.giver() })
	for i := range n {
		list = append(list, candidates[i*len(candidates)/n])
	}
	return list
}

func changeDead(t *trial) error {
	top := t.fleet.topology
	if err := t.fleet.lose(top.otherHollow(top.inProportion(targetDead))); err != nil {
		return err
	}
	time.Sleep(deadBefore)
	return t.change(top.giver())
}

// restart kills and starts members anew, with the configuration that each had.
func restart(t *trial) error {
	members := t.fleet.topology.members(func(m int) bool { return m%restartedPart == restartedPart/2-1 })
	if err := t.fleet.kill(members); err != nil {
		return err
	}
	return t.restart(members)
}

func rack(t *trial) error {
	top := t.fleet.topology
	if err := t.fleet.lose(top.otherHollow(max(1, top.Instances/rackPart))); err != nil {
		return err
	}
	time.Sleep(rackBefore)
	return t.change(top.giver())
}

func zone(t *trial) error {
	f := t.fleet
	members := f.topology.members(func(m int) bool { return memberZone(m) == lostZone })
	began := time.Now()
	if err := f.lose(members); err != nil {
		return err
	}
	hosts := f.zoneHosts(lostZone)
	for _, h := range hosts {
		h.Stop()
	}
	time.Sleep(noticeAfter)
	if err := f.list(hosts, "Gone"); err != nil {
		return err
	}
	time.Sleep(time.Until(began.Add(changeWithin)))
	if err := t.change(f.topology.giver()); err != nil {
		return err
	}
	time.Sleep(time.Until(began.Add(zoneGone)))
	for _, h := range hosts {
		h.RunCold(coldFor, coldFrom)
		if err := h.Restart(); err != nil {
			return err
		}
	}
	if err := f.list(hosts, "Ready"); err != nil {
		return err
	}
	return t.restart(members)
}

// cutOff cuts messages between ingresses, and connections to and between control machines, of one region from those of
// the others, in both directions. Clients, upstream hosts and discovery are reached as before.
func cutOff(t *trial) error {
	f := t.fleet
	began := time.Now()
	if err := f.cutRegion(cutRegion); err != nil {
		return err
	}
	time.Sleep(time.Until(began.Add(changeWithin)))
	if err := t.change(f.topology.giver()); err != nil {
		return err
	}
	time.Sleep(time.Until(began.Add(regionCut)))
	if err := f.heal(); err != nil {
		return err
	}
	t.awaitAgreed()
	return nil
}

func leader(t *trial) error {
	f, giver := t.fleet, t.fleet.topology.giver()
	if f.run.Agreement == Gossip {
		return killGiver(t, giver)
	}
	replica, err := f.leader()
	if err != nil {
		return err
	}
	if err := t.give(giver); err != nil {
		return err
	}
	time.Sleep(underWay)
	f.killReplicas(replica)
	return t.awaitInForce()
}

// killGiver kills the member that was given a change.
func killGiver(t *trial, giver int) error {
	t.note("no control leader: the member that was given the change was killed")
	if err := t.give(giver); err != nil {
		return err
	}
	time.Sleep(underWay)
	if err := t.fleet.kill([]int{giver}); err != nil {
		return err
	}
	return t.awaitInForce()
}

func controlDown(t *trial) error {
	giver := t.fleet.topology.giver()
	if err := t.give(giver); err != nil {
		return err
	}
	time.Sleep(underWay)
	t.fleet.killReplicas(0, 1, 2)
	time.Sleep(groupGone)
	if err := t.fleet.startGroup(); err != nil {
		return err
	}
	return t.change(giver)
}
