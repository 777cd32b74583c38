package scale

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"time"

	"ferryfront.example/ferryfront/internal/standin"
)

// The fleet that the test stands for. Smaller tests have as many of each in proportion, and all zones and regions.
const (
	targetInstances = 650
	targetHosts     = 7200
	targetServices  = 210
	targetDead      = 29 // machines that fail in a day
	zones           = 7
	regions         = 3
)

// regionOfZone says where a zone lies.
var regionOfZone = [zones]int{0, 0, 0, 1, 1, 2, 2}

// Ports at which the parts listen, each at an address of its own.
const (
	clientPort    = 8080
	peerPort      = 7946
	discoveryPort = 8500
	hostPort      = 8000
	lockPort      = 19999
)

// topology says who is where: each ingress and each upstream host has an address of its own within one block of
// 127.0.0.0/8, so that ports of other programs are no concern.
type topology struct {
	Block     int // second number of all addresses
	Instances int
	Real      int // the first so many are processes of the real binary, the others hollow
	Hosts     int
	Services  int

	lock net.Listener // holds the block
}

// blocksTried bounds the search for a block that no other run holds.
const blocksTried = 50

// newTopology takes a block of addresses for a fleet.
func newTopology(instances, real, hosts int) (*topology, error) {
	t := &topology{Instances: instances, Real: real, Hosts: hosts, Services: max(1, int(math.Round(float64(hosts)*targetServices/targetHosts)))}
	var err error
	for range blocksTried {
		t.Block = 16 + rand.IntN(200)
		if t.lock, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", t.Block, lockPort)); err == nil {
			return t, nil
		}
	}
	return nil, fmt.Errorf("no block of loopback addresses is free: %w", err)
}

// close gives the block back. It is safe on nil.
func (t *topology) close() error {
	if t == nil || t.lock == nil {
		return errors.New("no block is held")
	}
	return t.lock.Close()
}

// perSubnet is how many addresses of a third number are used.
const perSubnet = 250

// firstHostSubnet is the third number of the first upstream host's address; ingresses have lower ones.
const firstHostSubnet = 100

func (t *topology) memberAddress(member, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", t.Block, member/perSubnet, 1+member%perSubnet, port)
}

func (t *topology) hostAddress(host int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", t.Block, firstHostSubnet+host/perSubnet, 1+host%perSubnet, hostPort)
}

// memberZone spreads ingresses evenly over the zones.
func memberZone(member int) int { return member % zones }

func memberRegion(member int) int { return regionOfZone[memberZone(member)] }

// lostZone is the one that the zone event takes: at the target, 93 ingresses and 1,029 hosts.
const lostZone = 5

// hostZone spreads hosts evenly over the zones, those left over from lostZone on.
func hostZone(host int) int { return (host + lostZone) % zones }

func zoneName(zone int) string { return fmt.Sprintf("zone-%c", 'a'+zone) }

// hostsPerCell is how many hosts know each other's idempotency keys.
const hostsPerCell = 2

// Work of an upstream host.
const (
	hostWork  = 30 * time.Millisecond
	hostSlots = 16
	hostQueue = 32
)

// host describes an upstream host. A cell's hosts are of one zone.
func (t *topology) host(i int) *standin.Host {
	cell := i/(zones*hostsPerCell)*zones + i%zones
	return &standin.Host{Name: fmt.Sprintf("service-%03d-%04d", i%t.Services, i), Zone: zoneName(hostZone(i)), Cell: cell,
		Listen: t.hostAddress(i), Slots: hostSlots, Queue: hostQueue, Work: hostWork}
}

// inProportion is a figure of the target fleet for one of this size, one at least.
func (t *topology) inProportion(figure int) int {
	return max(1, int(math.Round(float64(figure)*float64(t.Instances)/targetInstances)))
}

// members are the numbers of those that a condition holds for.
func (t *topology) members(holds func(member int) bool) (list []int) {
	for m := range t.Instances {
		if holds(m) {
			list = append(list, m)
		}
	}
	return list
}
