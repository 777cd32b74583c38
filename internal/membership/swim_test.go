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

// net delivers messages between nodes late or never, and may cut some from others.
type net struct {
	nodes   map[string]*Node
	down    map[string]bool            // killed or stopped: hears and says nothing
	cut     func(from, to string) bool // a split or one-way loss; nil: none
	loss    float64
	least   time.Duration // of a message's delay
	most    time.Duration
	rng     *rand.Rand
	now     time.Duration
	flying  []flight
	lastAll []string
	sent    map[string]int
	all     int             // that the settings name
	died    map[string]bool // held dead by some other at some time
}

type flight struct {
	at       time.Duration
	from, to string
	msg      Message
}

func (w *net) config(name string, life uint64) Config {
	return Config{Name: name, Incarnation: life, Seed: w.rng.Uint64(), ProbePeriod: 300 * ms, AckTimeout: 100 * ms,
		SuspicionTimeout: 1000 * ms, IndirectProbes: 2, MaxUpdates: 6, MinMembers: w.all}
}

func newNet(n int, seed uint64, loss float64, most time.Duration) *net {
	w := &net{nodes: map[string]*Node{}, down: map[string]bool{}, loss: loss, least: 1 * ms, most: most, sent: map[string]int{},
		died: map[string]bool{}, rng: rand.New(rand.NewPCG(seed, 1)), now: ms, all: n}
	for i := range n {
		w.lastAll = append(w.lastAll, fmt.Sprintf("n%d", i))
	}
	for _, name := range w.lastAll {
		w.begin(name, 1000)
	}
	return w
}

// begin starts a life of a member, which knows one seed.
func (w *net) begin(name string, life uint64) {
	seed := "n0"
	if name == seed {
		seed = "n1"
	}
	w.nodes[name], w.down[name] = New(w.config(name, life), w.now), false
	w.put(name, w.nodes[name].Handle(w.now, Join{Seeds: []string{seed}}))
}

func (w *net) put(from string, out []Send) {
	w.sent[from] += len(out)
	for _, s := range out {
		if w.rng.Float64() < w.loss || w.cut != nil && w.cut(from, s.To) {
			continue
		}
		at := w.now + w.least + time.Duration(w.rng.Int64N(int64(w.most)))
		msg := s.Msg
		msg.Updates = append([]Update(nil), msg.Updates...)
		w.flying = append(w.flying, flight{at, from, s.To, msg})
	}
}

// run lets d pass in steps of 10 ms.
func (w *net) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += 10 * ms
		due := w.flying
		w.flying = nil
		for _, f := range due {
			switch {
			case f.at > w.now:
				w.flying = append(w.flying, f)
			case !w.down[f.to] && w.nodes[f.to] != nil:
				w.put(f.to, w.nodes[f.to].Handle(w.now, Received{Msg: f.msg}))
			}
		}
		for _, name := range w.lastAll {
			if w.down[name] {
				continue
			}
			w.put(name, w.nodes[name].Handle(w.now, Tick{}))
			for _, m := range w.nodes[name].View().Members {
				w.died[m.Name] = w.died[m.Name] || m.State == Dead
			}
		}
	}
}

func stateOf(n *Node, name string) State {
	m, ok := n.members.get(name)
	if !ok {
		return Dead
	}
	return m.State
}

// drawNet draws a fleet of 3 to 8 members, losses up to loss and delays up to most.
func drawNet(t *rapid.T, loss float64, most int) (int, *net) {
	n := rapid.IntRange(3, 8).Draw(t, "members")
	return n, newNet(n, rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, loss).Draw(t, "loss"),
		time.Duration(rapid.IntRange(1, most).Draw(t, "most_ms"))*ms)
}

// Every member learns of every other from one seed, and with losses as high as 15% none is declared dead.
func TestJoinByOneSeedAndNoFalseDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, w := drawNet(t, 0.15, 30)
		w.run(10 * time.Second)
		for _, a := range w.nodes {
			require.Len(t, a.View().Members, n)
		}
		for name, died := range w.died {
			require.False(t, died, "%s was held dead", name)
		}
	})
}

// Three in ten messages lost, or 200 ms added to each: nobody is declared dead in 30 s.
func TestLossAndDelayKillNobody(t *testing.T) {
	for seed := range uint64(20) {
		for _, slow := range []bool{false, true} {
			w := newNet(5, seed, 0, 5*ms)
			w.run(3 * time.Second)
			if w.loss = 0.3; slow {
				w.loss, w.least = 0, 200*ms
			}
			w.run(30 * time.Second)
			for name, died := range w.died {
				require.False(t, died, "%s was held dead, seed %d, delay %v", name, seed, slow)
			}
		}
	}
}

// Killed members are dead in the view of every other within 3 s, in a fleet of up to 5, and 4 s in one of up to 8,
// whatever the order of messages.
func TestKilledMembersAreFoundDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, w := drawNet(t, 0.02, 30)
		w.run(3 * time.Second)
		first := rapid.IntRange(0, n-1).Draw(t, "victim")
		for i := range max(1, n/3) {
			w.down[fmt.Sprintf("n%d", (first+i)%n)] = true
		}
		w.run(3 * time.Second)
		if n > 5 {
			w.run(time.Second)
		}
		for name, a := range w.nodes {
			for victim, down := range w.down {
				if down && !w.down[name] {
					require.Equal(t, Dead, stateOf(a, victim), "%s of %s", name, victim)
				}
			}
		}
	})
}

// A split is found by both sides, and its end too: nobody else would tell the sides of each other.
func TestASplitHeals(t *testing.T) {
	w := newNet(6, 5, 0.01, 20*ms)
	w.run(3 * time.Second)
	left := func(name string) bool { return name < "n3" }
	w.cut = func(from, to string) bool { return left(from) != left(to) }
	w.run(6 * time.Second)
	for name, a := range w.nodes {
		require.Equal(t, 3, a.View().Count(Dead), name)
	}
	w.cut, w.died = nil, map[string]bool{}
	told := map[string]bool{} // by side and member: held dead by its own side
	for range 400 {
		w.run(10 * ms)
		for name, a := range w.nodes {
			for _, m := range a.View().Members {
				told[m.Name] = told[m.Name] || m.State == Dead && left(name) == left(m.Name)
			}
		}
	}
	for name, a := range w.nodes {
		require.Equal(t, 6, a.View().Count(Alive), name)
		require.False(t, told[name], "%s was dead for its own side, by the other's word", name)
	}
}

// One that hears another and is not heard by it is vouched for by the others.
func TestOneWayLossMakesNobodyDead(t *testing.T) {
	w := newNet(5, 9, 0, 10*ms)
	w.run(3 * time.Second)
	w.cut = func(from, to string) bool { return from == "n1" && to == "n2" }
	w.run(15 * time.Second)
	require.Empty(t, deadOf(w))
}

func deadOf(w *net) (names []string) {
	for name, died := range w.died {
		if died {
			names = append(names, name)
		}
	}
	return names
}

// One that was stopped for 5 s is dead in the meantime, learns of it and refutes.
func TestAPausedMemberComesBack(t *testing.T) {
	w := newNet(4, 4, 0, 5*ms)
	w.run(3 * time.Second)
	w.down["n2"] = true
	w.run(5 * time.Second)
	require.Equal(t, Dead, stateOf(w.nodes["n0"], "n2"))
	w.down["n2"] = false
	w.run(2 * time.Second)
	for name, a := range w.nodes {
		require.Equal(t, 4, a.View().Count(Alive), name)
	}
	require.Greater(t, w.nodes["n2"].incarnation, uint64(1000), "it refuted with a higher incarnation")
}

// A process that begins anew under its name, its clock set back, takes its place at once.
func TestANewLifeKeepsItsPlace(t *testing.T) {
	w := newNet(4, 6, 0, 5*ms)
	w.run(3 * time.Second)
	w.begin("n2", 10)
	w.run(2 * time.Second)
	for name, a := range w.nodes {
		require.Equal(t, Alive, stateOf(a, "n2"), name)
		require.Len(t, a.View().Members, 4)
		require.True(t, a.IsSettled(w.now), name)
	}
	require.Greater(t, w.nodes["n2"].incarnation, uint64(1000))
}

// A member that leaves is left in every view, and counted out. One that comes back is counted in again.
func TestALeaveGrowsTheShareUntilItComesBack(t *testing.T) {
	w := newNet(4, 3, 0, 5*ms)
	w.run(3 * time.Second)
	w.put("n2", w.nodes["n2"].Handle(w.now, Leave{}))
	w.run(time.Second)
	w.down["n2"] = true
	w.run(2 * time.Second)
	for name, a := range w.nodes {
		if name != "n2" {
			require.Equal(t, []string{"n2"}, a.Absent(w.now), name)
			require.InDelta(t, 1.0/3, a.Share(w.now), 1e-9, name)
		}
	}
	w.begin("n2", 5000)
	require.False(t, w.nodes["n2"].IsSettled(w.now), "others may count it out still")
	w.run(2 * time.Second)
	for name, a := range w.nodes {
		require.Empty(t, a.Absent(w.now), name)
		require.True(t, a.IsSettled(w.now), name)
	}
}

// However the fleet is split, cut one way or lossy, and whoever leaves, comes back or dies meanwhile: the shares
// that members take add up to no more than the whole.
func TestSharesNeverAddUpToMoreThanTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, w := drawNet(t, 0.3, 200)
		w.run(3 * time.Second)
		gone, life := map[string]bool{}, uint64(5000)
		for range 6 {
			side := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "side")
			oneWay := rapid.Bool().Draw(t, "one_way")
			w.cut = nil
			if rapid.IntRange(0, 2).Draw(t, "cut") > 0 {
				w.cut = func(from, to string) bool {
					var a, b int
					fmt.Sscanf(from, "n%d", &a)
					fmt.Sscanf(to, "n%d", &b)
					return side[a] != side[b] && (!oneWay || side[a])
				}
			}
			name := fmt.Sprintf("n%d", rapid.IntRange(0, n-1).Draw(t, "who"))
			switch rapid.IntRange(0, 3).Draw(t, "act") {
			case 0:
				if !gone[name] {
					w.put(name, w.nodes[name].Handle(w.now, Leave{}))
					gone[name] = true
				}
			case 1:
				if gone[name] {
					life += 1000
					w.begin(name, life)
					delete(gone, name)
				}
			}
			for range 30 {
				w.run(100 * ms)
				sum := 0.0
				for name, a := range w.nodes {
					if !gone[name] {
						sum += a.Share(w.now)
					}
				}
				require.LessOrEqual(t, sum, 1+1e-9)
			}
		}
	})
}

// The number of messages that a member sends does not grow with the fleet, nor with what fails in it.
func TestMessagesAMemberSendsAreBounded(t *testing.T) {
	for _, n := range []int{4, 16} {
		for _, loss := range []float64{0, 0.5} {
			w := newNet(n, 11, loss, 10*ms)
			w.run(3 * time.Second)
			w.cut = func(from, to string) bool { return loss > 0 && (from < "n2") != (to < "n2") }
			before := w.sent["n1"]
			w.run(10 * time.Second)
			perS := float64(w.sent["n1"]-before) / 10
			most := w.nodes["n1"].cfg.MaxMessagesPerPeriod() / 0.3
			require.LessOrEqual(t, perS, most, "members %d, loss %v", n, loss)
			require.Less(t, most, 100.0, "what an ingress takes in on the platform")
			require.Positive(t, perS)
		}
	}
}

// One that is dead for good, as an operator says, is left for all; one that is alive can't be said to be gone.
func TestGoneForGood(t *testing.T) {
	w := newNet(4, 2, 0.02, 10*ms)
	w.run(3 * time.Second)
	w.put("n1", w.nodes["n1"].Handle(w.now, ForceLeave{Name: "n3"}))
	w.run(time.Second)
	require.Equal(t, Alive, stateOf(w.nodes["n1"], "n3"))
	w.down["n3"] = true
	w.run(4 * time.Second)
	w.put("n1", w.nodes["n1"].Handle(w.now, ForceLeave{Name: "n3"}))
	w.run(3 * time.Second)
	for _, name := range []string{"n0", "n1", "n2"} {
		require.Equal(t, Left, stateOf(w.nodes[name], "n3"), name)
		require.Equal(t, []string{"n3"}, w.nodes[name].Absent(w.now), name)
	}
	w.down["n3"] = false // it was there after all
	w.run(4 * time.Second)
	for name, a := range w.nodes {
		require.Equal(t, 4, a.View().Count(Alive), name)
	}
}

// A process that goes on in place of one that was settled has its share at once, and the view soon.
func TestASuccessorHasItsShareAtOnce(t *testing.T) {
	w := newNet(3, 6, 0, 5*ms)
	w.run(3 * time.Second)
	cfg := w.config("n1", 9000)
	cfg.IsSettledSuccessor = true
	w.nodes["n1"] = New(cfg, w.now)
	w.put("n1", w.nodes["n1"].Handle(w.now, Join{Seeds: []string{"n0"}}))
	require.InDelta(t, 1.0/3, w.nodes["n1"].Share(w.now), 1e-9)
	w.run(time.Second)
	require.Equal(t, 3, w.nodes["n1"].View().Count(Alive))
}
