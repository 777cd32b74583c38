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
	down    map[string]bool            // killed: hears and says nothing
	cut     func(from, to string) bool // a split or one-way loss; nil: none
	loss    float64
	most    time.Duration // of a message's delay
	rng     *rand.Rand
	now     time.Duration
	flying  []flight
	lastAll []string
	sent    map[string]int
}

type flight struct {
	at       time.Duration
	from, to string
	msg      Message
}

func newNet(n int, seed uint64, loss float64, most time.Duration) *net {
	w := &net{nodes: map[string]*Node{}, down: map[string]bool{}, loss: loss, most: most, sent: map[string]int{},
		rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range n {
		name := fmt.Sprintf("n%d", i)
		w.nodes[name] = New(Config{Me: name, Seed: seed + uint64(i), Period: 200 * ms, AckWithin: 80 * ms,
			SuspectFor: time.Second, Helpers: 3, Carry: 6}, 0)
		w.lastAll = append(w.lastAll, name)
	}
	for _, name := range w.lastAll[1:] { // all join by the first
		w.put(name, w.nodes[name].Handle(0, Join{Seed: "n0"}))
	}
	return w
}

func (w *net) put(from string, out []Send) {
	w.sent[from] += len(out)
	for _, s := range out {
		if w.rng.Float64() < w.loss || w.cut != nil && w.cut(from, s.To) {
			continue
		}
		w.flying = append(w.flying, flight{w.now + time.Duration(1+w.rng.Int64N(int64(w.most))), from, s.To, s.Msg})
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
			case !w.down[f.to]:
				w.put(f.to, w.nodes[f.to].Handle(w.now, Received{From: f.from, Msg: f.msg}))
			}
		}
		for _, name := range w.lastAll {
			if !w.down[name] {
				w.put(name, w.nodes[name].Handle(w.now, Tick{}))
			}
		}
	}
}

func stateOf(n *Node, name string) State {
	m, ok := n.ms.get(name)
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

// Every member learns of every other from one seed, and with few losses none is declared dead.
func TestJoinByOneSeedAndNoFalseDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, w := drawNet(t, 0.05, 30)
		w.run(6 * time.Second)
		for _, a := range w.nodes {
			require.Len(t, a.View().Members, n)
			for _, m := range a.View().Members {
				require.NotEqual(t, Dead, m.State, "%s holds %s dead", a.cfg.Me, m.Name)
			}
		}
	})
}

// A killed member is dead in the view of every other within a bound, whatever the order of messages.
func TestAKilledMemberIsFoundDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, w := drawNet(t, 0.1, 30)
		w.run(3 * time.Second)
		victim := fmt.Sprintf("n%d", rapid.IntRange(0, n-1).Draw(t, "victim"))
		w.down[victim] = true
		w.run(time.Duration(n)*200*ms + 3*time.Second) // a round of probes, suspicion, and gossip
		for name, a := range w.nodes {
			if name != victim {
				require.Equal(t, Dead, stateOf(a, victim), "%s of %s", name, victim)
			}
		}
	})
}

// A member that is suspected while it is there refutes it: cut off for less than the suspicion lasts, it
// is alive again in every view.
func TestSuspicionIsRefuted(t *testing.T) {
	w := newNet(5, 7, 0, 5*ms)
	w.run(3 * time.Second)
	w.cut = func(from, to string) bool { return from == "n3" || to == "n3" }
	w.run(600 * ms)
	suspected := false
	for name, a := range w.nodes {
		suspected = suspected || name != "n3" && stateOf(a, "n3") == Suspect
	}
	require.True(t, suspected, "a cut of 600 ms is noticed")
	w.cut = nil
	w.run(3 * time.Second)
	for name, a := range w.nodes {
		require.Equal(t, Alive, stateOf(a, "n3"), name)
	}
	require.Positive(t, w.nodes["n3"].inc, "it refuted with a higher incarnation")
}

// A member that leaves is left in every view; the others' share grows by it, and by nothing else.
func TestALeaveIsFinalAndGrowsTheShare(t *testing.T) {
	w := newNet(4, 3, 0, 5*ms)
	w.run(2 * time.Second)
	w.put("n2", w.nodes["n2"].Handle(w.now, Leave{}))
	w.run(2 * time.Second)
	w.down["n2"] = true
	w.run(3 * time.Second)
	for name, a := range w.nodes {
		if name != "n2" {
			require.Equal(t, Left, stateOf(a, "n2"), name)
			require.Equal(t, 3, a.View().Sharers(4), name)
		}
	}
}

// However the fleet is split, cut one way or lossy, the shares that the members not left take add up to
// no more than the whole: a dead member counts on, and only who said it left is taken out.
func TestSharesNeverAddUpToMoreThanTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, w := drawNet(t, 0.3, 200)
		w.run(2 * time.Second)
		side := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "side")
		oneWay := rapid.Bool().Draw(t, "one_way")
		w.cut = func(from, to string) bool {
			var a, b int
			fmt.Sscanf(from, "n%d", &a)
			fmt.Sscanf(to, "n%d", &b)
			return side[a] != side[b] && (!oneWay || side[a])
		}
		leaver := fmt.Sprintf("n%d", rapid.IntRange(0, n-1).Draw(t, "leaver"))
		for range 8 {
			w.run(time.Second)
			if rapid.Bool().Draw(t, "leave now") {
				w.put(leaver, w.nodes[leaver].Handle(w.now, Leave{}))
			}
			sum := 0.0
			for _, a := range w.nodes {
				if !a.left {
					sum += a.View().Share(n)
				}
			}
			require.LessOrEqual(t, sum, 1+1e-9)
		}
	})
}

// The number of messages that a member sends does not grow with the fleet: at most (2 + 4 Helpers) a
// Period on average.
func TestMessagesAMemberSendsAreBounded(t *testing.T) {
	for _, n := range []int{4, 16} {
		w := newNet(n, 11, 0.05, 10*ms)
		w.run(2 * time.Second)
		before := w.sent["n1"]
		w.run(5 * time.Second)
		perS := float64(w.sent["n1"]-before) / 5
		require.LessOrEqual(t, perS, (2+4*3)/0.2, "members %d", n)
		require.Positive(t, perS)
	}
}
