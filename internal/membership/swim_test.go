package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// simulation runs nodes on a simulated clock and network, which delays, loses or blocks messages.
type simulation struct {
	nodes       map[string]*Node
	down        map[string]bool            // killed or stopped: receives and sends nothing
	isCut       func(from, to string) bool // blocks a direction, as in a partition; nil: none
	lossRate    float64
	minDelay    time.Duration
	delaySpread time.Duration // maximum random addition to minDelay
	rng         *rand.Rand
	now         time.Duration
	inFlight    []inFlightMessage
	names       []string
	sentCounts  map[string]int
	minMembers  int             // number of members in the settings
	everDead    map[string]bool // was dead in some view at some time
}

// inFlightMessage is a message that is sent and not yet delivered.
type inFlightMessage struct {
	deliverAt time.Duration
	from, to  string
	msg       Message
}

func (s *simulation) config(name string, incarnation uint64) Config {
	return Config{Name: name, Incarnation: incarnation, Seed: s.rng.Uint64(), ProbePeriod: 300 * ms, AckTimeout: 100 * ms,
		SuspicionTimeout: 1000 * ms, IndirectProbes: 2, MaxUpdates: 6, MinMembers: s.minMembers}
}

func newSimulation(n int, seed uint64, loss float64, maxDelay time.Duration) *simulation {
	s := &simulation{nodes: map[string]*Node{}, down: map[string]bool{}, lossRate: loss, minDelay: 1 * ms, delaySpread: maxDelay, sentCounts: map[string]int{},
		everDead: map[string]bool{}, rng: rand.New(rand.NewPCG(seed, 1)), now: ms, minMembers: n}
	for i := range n {
		s.names = append(s.names, fmt.Sprintf("n%d", i))
	}
	for _, name := range s.names {
		s.startMember(name, 1000)
	}
	return s
}

// startMember starts a process of a member, which knows one seed.
func (s *simulation) startMember(name string, incarnation uint64) {
	seed := "n0"
	if name == seed {
		seed = "n1"
	}
	s.nodes[name], s.down[name] = New(s.config(name, incarnation), s.now), false
	s.transmit(name, s.nodes[name].Handle(s.now, Join{Seeds: []string{seed}}))
}

// transmit puts messages in flight, unless they are blocked or lost.
func (s *simulation) transmit(from string, out []Send) {
	s.sentCounts[from] += len(out)
	for _, outgoing := range out {
		if s.rng.Float64() < s.lossRate || s.isCut != nil && s.isCut(from, outgoing.To) {
			continue
		}
		at := s.now + s.minDelay + time.Duration(s.rng.Int64N(int64(s.delaySpread)))
		msg := outgoing.Msg
		msg.Updates = append([]Update(nil), msg.Updates...)
		s.inFlight = append(s.inFlight, inFlightMessage{at, from, outgoing.To, msg})
	}
}

// run advances the clock by d in steps of 10 ms.
func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += 10 * ms
		due := s.inFlight
		s.inFlight = nil
		for _, f := range due {
			switch {
			case f.deliverAt > s.now:
				s.inFlight = append(s.inFlight, f)
			case !s.down[f.to] && s.nodes[f.to] != nil:
				s.transmit(f.to, s.nodes[f.to].Handle(s.now, Received{Msg: f.msg}))
			}
		}
		for _, name := range s.names {
			if s.down[name] {
				continue
			}
			s.transmit(name, s.nodes[name].Handle(s.now, Tick{}))
			for _, m := range s.nodes[name].View().Members {
				s.everDead[m.Name] = s.everDead[m.Name] || m.State == Dead
			}
		}
	}
}

// stateInView returns the state of a member in the node's view; an unknown member counts as dead.
func stateInView(n *Node, name string) State {
	m, ok := n.members.get(name)
	if !ok {
		return Dead
	}
	return m.State
}

// drawSimulation draws a fleet of 3 to 8 members, a loss rate up to maxLoss and delays of up to about maxDelayMS.
func drawSimulation(t *rapid.T, maxLoss float64, maxDelayMS int) (int, *simulation) {
	n := rapid.IntRange(3, 8).Draw(t, "members")
	return n, newSimulation(n, rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, maxLoss).Draw(t, "loss"),
		time.Duration(rapid.IntRange(1, maxDelayMS).Draw(t, "most_ms"))*ms)
}

// Every member learns of every other from one seed, and with up to 15% of the messages lost none is declared dead.
func TestJoinByOneSeedAndNoFalseDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, s := drawSimulation(t, 0.15, 30)
		s.run(10 * time.Second)
		for _, node := range s.nodes {
			require.Len(t, node.View().Members, n)
		}
		for name, wasDead := range s.everDead {
			require.False(t, wasDead, "%s was declared dead", name)
		}
	})
}

// With 30% of the messages lost, or 200 ms added to each, no member is declared dead in 30 s.
func TestLossAndDelayDeclareNoMemberDead(t *testing.T) {
	for seed := range uint64(20) {
		for _, isDelayed := range []bool{false, true} {
			s := newSimulation(5, seed, 0, 5*ms)
			s.run(3 * time.Second)
			if s.lossRate = 0.3; isDelayed {
				s.lossRate, s.minDelay = 0, 200*ms
			}
			s.run(30 * time.Second)
			for name, wasDead := range s.everDead {
				require.False(t, wasDead, "%s was declared dead, seed %d, delay %v", name, seed, isDelayed)
			}
		}
	}
}

// Killed members are dead in every other view within 3 s in a fleet of up to 5, and within 4 s in one of up to 8, whatever
// the order of messages.
func TestKilledMembersAreDeclaredDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, s := drawSimulation(t, 0.02, 30)
		s.run(3 * time.Second)
		first := rapid.IntRange(0, n-1).Draw(t, "victim")
		for i := range max(1, n/3) {
			s.down[fmt.Sprintf("n%d", (first+i)%n)] = true
		}
		s.run(3 * time.Second)
		if n > 5 {
			s.run(time.Second)
		}
		for name, node := range s.nodes {
			for victim, down := range s.down {
				if down && !s.down[name] {
					require.Equal(t, Dead, stateInView(node, victim), "%s of %s", name, victim)
				}
			}
		}
	})
}

// Both sides of a partition detect it and its end. The end is found only because dead members are still pinged. No side
// declares its own members dead on the report of the other side.
func TestPartitionHeals(t *testing.T) {
	s := newSimulation(6, 5, 0.01, 20*ms)
	s.run(3 * time.Second)
	isFirstSide := func(name string) bool { return name < "n3" }
	s.isCut = func(from, to string) bool { return isFirstSide(from) != isFirstSide(to) }
	s.run(6 * time.Second)
	for name, node := range s.nodes {
		require.Equal(t, 3, node.View().Count(Dead), name)
	}
	s.isCut, s.everDead = nil, map[string]bool{}
	deadForOwnSide := map[string]bool{} // by member: dead in the view of its own side
	for range 400 {
		s.run(10 * ms)
		for name, node := range s.nodes {
			for _, m := range node.View().Members {
				deadForOwnSide[m.Name] = deadForOwnSide[m.Name] || m.State == Dead && isFirstSide(name) == isFirstSide(m.Name)
			}
		}
	}
	for name, node := range s.nodes {
		require.Equal(t, 6, node.View().Count(Alive), name)
		require.False(t, deadForOwnSide[name], "%s was dead for its own side, on the report of the other side", name)
	}
}

// A member whose messages to one other are lost is kept alive by indirect probes through the rest.
func TestOneWayLossDeclaresNoMemberDead(t *testing.T) {
	s := newSimulation(5, 9, 0, 10*ms)
	s.run(3 * time.Second)
	s.isCut = func(from, to string) bool { return from == "n1" && to == "n2" }
	s.run(15 * time.Second)
	require.Empty(t, everDeadMembers(s))
}

// everDeadMembers returns the members that were dead in any view at any time.
func everDeadMembers(s *simulation) (names []string) {
	for name, wasDead := range s.everDead {
		if wasDead {
			names = append(names, name)
		}
	}
	return names
}

// A process that is stopped for 5 s is declared dead, learns of it when it continues and refutes.
func TestPausedMemberRefutes(t *testing.T) {
	s := newSimulation(4, 4, 0, 5*ms)
	s.run(3 * time.Second)
	s.down["n2"] = true
	s.run(5 * time.Second)
	require.Equal(t, Dead, stateInView(s.nodes["n0"], "n2"))
	s.down["n2"] = false
	s.run(2 * time.Second)
	for name, node := range s.nodes {
		require.Equal(t, 4, node.View().Count(Alive), name)
	}
	require.Greater(t, s.nodes["n2"].incarnation, uint64(1000), "it refuted with a higher incarnation")
}

// A process that restarts under its name with its clock set back is alive and settled again at once, by a higher incarnation
// than that of its predecessor.
func TestRestartWithLowerIncarnationRejoins(t *testing.T) {
	s := newSimulation(4, 6, 0, 5*ms)
	s.run(3 * time.Second)
	s.startMember("n2", 10)
	s.run(2 * time.Second)
	for name, node := range s.nodes {
		require.Equal(t, Alive, stateInView(node, "n2"), name)
		require.Len(t, node.View().Members, 4)
		require.True(t, node.IsSettled(s.now), name)
	}
	require.Greater(t, s.nodes["n2"].incarnation, uint64(1000))
}

// A member that leaves is left in every view and no longer shares. One that returns shares again.
func TestLeaveGrowsSharesUntilTheMemberReturns(t *testing.T) {
	s := newSimulation(4, 3, 0, 5*ms)
	s.run(3 * time.Second)
	s.transmit("n2", s.nodes["n2"].Handle(s.now, Leave{}))
	s.run(time.Second)
	s.down["n2"] = true
	s.run(2 * time.Second)
	for name, node := range s.nodes {
		if name != "n2" {
			require.Equal(t, []string{"n2"}, node.Absent(s.now), name)
			require.InDelta(t, 1.0/3, node.Share(s.now), 1e-9, name)
		}
	}
	s.startMember("n2", 5000)
	require.False(t, s.nodes["n2"].IsSettled(s.now), "other members may still count it out")
	s.run(2 * time.Second)
	for name, node := range s.nodes {
		require.Empty(t, node.Absent(s.now), name)
		require.True(t, node.IsSettled(s.now), name)
	}
}

// Under partitions, one-way and random losses, while members leave, return or are unreachable, the shares in use never add up
// to more than the whole budget.
func TestSharesNeverAddUpToMoreThanTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, s := drawSimulation(t, 0.3, 200)
		s.run(3 * time.Second)
		hasLeft, incarnation := map[string]bool{}, uint64(5000)
		for range 6 {
			side := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "side")
			oneWay := rapid.Bool().Draw(t, "one_way")
			s.isCut = nil
			if rapid.IntRange(0, 2).Draw(t, "cut") > 0 {
				s.isCut = func(from, to string) bool {
					var a, b int
					fmt.Sscanf(from, "n%d", &a)
					fmt.Sscanf(to, "n%d", &b)
					return side[a] != side[b] && (!oneWay || side[a])
				}
			}
			name := fmt.Sprintf("n%d", rapid.IntRange(0, n-1).Draw(t, "member"))
			switch rapid.IntRange(0, 3).Draw(t, "act") {
			case 0:
				if !hasLeft[name] {
					s.transmit(name, s.nodes[name].Handle(s.now, Leave{}))
					hasLeft[name] = true
				}
			case 1:
				if hasLeft[name] {
					incarnation += 1000
					s.startMember(name, incarnation)
					delete(hasLeft, name)
				}
			}
			for range 30 {
				s.run(100 * ms)
				sum := 0.0
				for name, node := range s.nodes {
					if !hasLeft[name] {
						sum += node.Share(s.now)
					}
				}
				require.LessOrEqual(t, sum, 1+1e-9)
			}
		}
	})
}

// The number of messages that a member sends grows neither with the fleet nor with the failures in it.
func TestSentMessagesAreBounded(t *testing.T) {
	for _, n := range []int{4, 16} {
		for _, loss := range []float64{0, 0.5} {
			s := newSimulation(n, 11, loss, 10*ms)
			s.run(3 * time.Second)
			s.isCut = func(from, to string) bool { return loss > 0 && (from < "n2") != (to < "n2") }
			before := s.sentCounts["n1"]
			s.run(10 * time.Second)
			perSecond := float64(s.sentCounts["n1"]-before) / 10
			maxPerSecond := s.nodes["n1"].cfg.MaxMessagesPerPeriod() / 0.3
			require.LessOrEqual(t, perSecond, maxPerSecond, "members %d, loss %v", n, loss)
			require.Less(t, maxPerSecond, 100.0, "messages per second that an ingress accepts on the platform")
			require.Positive(t, perSecond)
		}
	}
}

// A dead member that an operator forces to leave is left in all views; on a member that is alive the event has no effect.
func TestForceLeave(t *testing.T) {
	s := newSimulation(4, 2, 0.02, 10*ms)
	s.run(3 * time.Second)
	s.transmit("n1", s.nodes["n1"].Handle(s.now, ForceLeave{Name: "n3"}))
	s.run(time.Second)
	require.Equal(t, Alive, stateInView(s.nodes["n1"], "n3"))
	s.down["n3"] = true
	s.run(4 * time.Second)
	s.transmit("n1", s.nodes["n1"].Handle(s.now, ForceLeave{Name: "n3"}))
	s.run(3 * time.Second)
	for _, name := range []string{"n0", "n1", "n2"} {
		require.Equal(t, Left, stateInView(s.nodes[name], "n3"), name)
		require.Equal(t, []string{"n3"}, s.nodes[name].Absent(s.now), name)
	}
	s.down["n3"] = false // it was alive after all
	s.run(4 * time.Second)
	for name, node := range s.nodes {
		require.Equal(t, 4, node.View().Count(Alive), name)
	}
}

// A process that replaces a settled one has its share at once, and the full view within a second.
func TestSettledSuccessorHasItsShareAtOnce(t *testing.T) {
	s := newSimulation(3, 6, 0, 5*ms)
	s.run(3 * time.Second)
	cfg := s.config("n1", 9000)
	cfg.IsSettledSuccessor = true
	s.nodes["n1"] = New(cfg, s.now)
	s.transmit("n1", s.nodes["n1"].Handle(s.now, Join{Seeds: []string{"n0"}}))
	require.InDelta(t, 1.0/3, s.nodes["n1"].Share(s.now), 1e-9)
	s.run(time.Second)
	require.Equal(t, 3, s.nodes["n1"].View().Count(Alive))
}

// Another member comes up at the address of one that has gone, and acks what is sent there. The gone member must become a
// suspect all the same.
func TestAckOfAnotherMemberIsNotTheTargets(t *testing.T) {
	n := New(Config{Name: "a", Incarnation: 1, ProbePeriod: 300 * time.Millisecond, AckTimeout: 100 * time.Millisecond,
		SuspicionTimeout: time.Second, IndirectProbes: 2}, 0)
	n.Handle(0, Received{Message{Kind: Ping, From: "b", Seq: 1, Updates: []Update{{Name: "b", Incarnation: 1, State: Alive}}}})
	for now := time.Duration(0); now < 3*time.Second; now += 10 * time.Millisecond {
		for _, s := range append([]Send(nil), n.Handle(now, Tick{})...) {
			if s.Msg.Kind == Ping && s.To == "b" {
				n.Handle(now, Received{Message{Kind: Ack, From: "c", Seq: s.Msg.Seq}})
			}
		}
	}
	b, known := n.members.get("b")
	require.True(t, known)
	require.NotEqual(t, Alive, b.State)
}
