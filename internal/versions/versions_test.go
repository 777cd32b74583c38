package versions

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// lease is a node's; others are members that never left.
const lease = 1500 * ms

// fleet carries messages between nodes, late or never.
type fleet struct {
	names []string
	nodes map[string]*Node
	down  map[string]bool
	cut   func(from, to string) bool
	loss  float64
	most  time.Duration
	now   time.Duration
	rng   *rand.Rand
	fly   []flight
}

type flight struct {
	at time.Duration
	to string
	m  Message
}

func doc(number uint64) Doc {
	return NewDoc(number, []byte(strings.Repeat(fmt.Sprintf("rules of version %d; ", number), 40)))
}

func newFleet(n int, seed uint64, loss float64, most time.Duration) *fleet {
	f := &fleet{nodes: map[string]*Node{}, down: map[string]bool{}, loss: loss, most: most, now: ms,
		rng: rand.New(rand.NewPCG(seed, 3))}
	for i := range n {
		f.names = append(f.names, fmt.Sprint(i))
	}
	for _, name := range f.names {
		f.begin(name, doc(1))
	}
	return f
}

func (f *fleet) begin(name string, first Doc) {
	f.down[name] = false
	f.nodes[name] = New(Config{Self: name, Seed: f.rng.Uint64(), ReportInterval: 300 * ms, RetryInterval: 100 * ms, Lease: lease,
		MaxTextBytes: 64 << 10, MaxChunkBytes: 180 - len(name), Check: func(text []byte) error { // as the daemon has it
			if strings.Contains(string(text), "bad") {
				return errors.New("field classes: missing")
			}
			return nil
		}}, first, f.now)
	others := slices.DeleteFunc(slices.Clone(f.names), func(o string) bool { return o == name })
	f.put(name, f.nodes[name].SetMembers(others, f.now))
}

func (f *fleet) put(from string, out []Outgoing) {
	for _, s := range out {
		if f.rng.Float64() < f.loss || f.cut != nil && f.cut(from, s.To) {
			continue
		}
		m, err := Parse(Append(nil, s.Message))
		if err != nil {
			panic(err)
		}
		f.fly = append(f.fly, flight{f.now + ms + time.Duration(f.rng.Int64N(int64(f.most))), s.To, m})
	}
}

// run lets d pass, and calls look after each step.
func (f *fleet) run(d time.Duration, look func()) {
	for end := f.now + d; f.now < end; look() {
		f.now += 10 * ms
		due := f.fly
		f.fly = nil
		for _, x := range due {
			switch {
			case x.at > f.now:
				f.fly = append(f.fly, x)
			case !f.down[x.to]:
				f.put(x.to, f.nodes[x.to].Handle(x.m, f.now))
			}
		}
		for _, name := range f.names {
			if !f.down[name] {
				f.put(name, f.nodes[name].Tick(f.now))
			}
		}
	}
}

func numbers(n *Node) (list []uint64) {
	for _, d := range n.Acting() {
		list = append(list, d.Number)
	}
	return list
}

// apart tells of two members that act on nothing in common.
func (f *fleet) apart() string {
	for _, a := range f.names {
		for _, b := range f.names {
			if f.down[a] || f.down[b] {
				continue
			}
			if !slices.ContainsFunc(f.nodes[a].Acting(), func(d Doc) bool {
				return slices.ContainsFunc(f.nodes[b].Acting(), func(o Doc) bool { return o.Version == d.Version })
			}) {
				return fmt.Sprintf("%s acts on %v, %s on %v", a, numbers(f.nodes[a]), b, numbers(f.nodes[b]))
			}
		}
	}
	return ""
}

func nothing() {}

// Members cut a document into pieces that leave room for their own names. Those are longer from the eleventh member on,
// and a document comes through all the same, from one of them and to one of them.
func TestPiecesFromAMemberWithALongerOrShorterName(t *testing.T) {
	for _, giver := range []string{"2", "11"} {
		f := newFleet(12, 7, 0, 5*ms)
		f.run(time.Second, nothing)
		out, err := f.nodes[giver].Offer(doc(2), f.now)
		require.NoError(t, err)
		f.put(giver, out)
		f.run(3*time.Second, nothing)
		for _, name := range f.names {
			require.Equal(t, []uint64{2}, numbers(f.nodes[name]), "member %s, given to %s", name, giver)
		}
	}
}

// A version given to one member is everybody's, and alone, soon: within the stated time.
func TestAVersionSpreads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 8).Draw(t, "members"), rapid.Uint64().Draw(t, "seed"),
			rapid.Float64Range(0, 0.1).Draw(t, "loss"), 30*ms)
		f.run(time.Second, nothing)
		out, err := f.nodes["0"].Offer(doc(2), f.now)
		require.NoError(t, err)
		require.Equal(t, []uint64{1, 2}, numbers(f.nodes["0"]), "both until all have it")
		f.put("0", out)
		f.run(4*time.Second, func() { require.Empty(t, f.apart()) })
		for _, n := range f.nodes {
			require.Equal(t, []uint64{2}, numbers(n))
			require.Equal(t, doc(2).Text, n.Newest().Text)
			require.Empty(t, n.Stale())
			require.Empty(t, n.Refused())
		}
	})
}

// However the fleet is split, cut one way, lossy or stopped, and wherever versions come in meanwhile: no two members
// act on rules of which neither knows the other's, and when all is over they agree on the newest.
func TestNoTwoMembersActOnContradictingVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "members")
		f := newFleet(n, rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.3).Draw(t, "loss"),
			time.Duration(rapid.IntRange(1, 200).Draw(t, "most_ms"))*ms)
		newest := uint64(1)
		for range 8 {
			side := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "side")
			oneWay := rapid.Bool().Draw(t, "one_way")
			f.cut = func(from, to string) bool {
				a, b := side[from[0]-'0'], side[to[0]-'0']
				return a != b && (!oneWay || a)
			}
			who := fmt.Sprint(rapid.IntRange(0, n-1).Draw(t, "who"))
			f.down[who] = rapid.Bool().Draw(t, "stopped")
			to := fmt.Sprint(rapid.IntRange(0, n-1).Draw(t, "to"))
			if rapid.Bool().Draw(t, "offer") && !f.down[to] {
				if out, err := f.nodes[to].Offer(doc(newest+1), f.now); err == nil {
					newest++
					f.put(to, out)
				} else {
					require.ErrorIs(t, err, ErrTooManyRollouts)
				}
			}
			f.run(time.Second, func() { require.Empty(t, f.apart()) })
		}
		f.cut, f.loss = nil, 0
		clear(f.down)
		f.run(10*time.Second, func() { require.Empty(t, f.apart()) })
		for name, node := range f.nodes {
			require.Equal(t, []uint64{newest}, numbers(node), name)
		}
	})
}

// While one is gone, the others act on both versions: what it acts on counts on. When it is back, or has left, the
// new one stands alone.
func TestARolloutWaitsForWhoIsGone(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		f := newFleet(4, 5, 0, 10*ms)
		f.run(time.Second, nothing)
		f.down["3"] = true
		out, err := f.nodes["1"].Offer(doc(2), f.now)
		require.NoError(t, err)
		f.put("1", out)
		f.run(5*time.Second, nothing)
		for _, name := range []string{"0", "1", "2"} {
			require.Equal(t, []uint64{1, 2}, numbers(f.nodes[name]))
			require.Equal(t, []string{"3"}, f.nodes[name].Stale())
		}
		if leaves {
			for _, name := range []string{"0", "1", "2"} {
				others := slices.DeleteFunc([]string{"0", "1", "2"}, func(o string) bool { return o == name })
				f.put(name, f.nodes[name].SetMembers(others, f.now))
			}
		} else {
			f.down["3"] = false
		}
		f.run(3*time.Second, nothing)
		for _, name := range []string{"0", "1", "2"} {
			require.Equal(t, []uint64{2}, numbers(f.nodes[name]))
		}
	}
}

// A member that begins anew with an old file is not ready before it has what the others act on, unless it is alone.
func TestAReturnWithAnOldFile(t *testing.T) {
	f := newFleet(3, 8, 0, 10*ms)
	f.run(time.Second, nothing)
	out, err := f.nodes["0"].Offer(doc(2), f.now)
	require.NoError(t, err)
	f.put("0", out)
	f.run(3*time.Second, nothing)
	f.begin("2", doc(1))
	require.False(t, f.nodes["2"].IsReady(f.now))
	for range 200 {
		f.run(10*ms, func() {
			if f.nodes["2"].IsReady(f.now) {
				require.Contains(t, numbers(f.nodes["2"]), uint64(2))
			}
		})
	}
	require.True(t, f.nodes["2"].IsReady(f.now))
	require.Equal(t, []uint64{2}, numbers(f.nodes["2"]))

	f.cut = func(from, to string) bool { return from == "2" || to == "2" }
	f.begin("2", doc(1))
	f.run(lease, nothing)
	require.False(t, f.nodes["2"].IsReady(f.now))
	f.run(100*ms, nothing)
	require.True(t, f.nodes["2"].IsReady(f.now), "it serves, cut off as it is")
	require.True(t, f.nodes["2"].Alone(f.now))
	require.False(t, f.nodes["1"].Alone(f.now))
}

// Bad versions are turned down with the version named, and nothing changes.
func TestBadVersionsAreTurnedDown(t *testing.T) {
	f := newFleet(2, 2, 0, 5*ms)
	n := f.nodes["0"]
	_, err := n.Offer(doc(3), f.now)
	require.NoError(t, err)
	before := numbers(n)
	for says, d := range map[string]Doc{
		"version 2 is older than 3": doc(2),
		"another content":           NewDoc(3, []byte("other rules")),
		"version 4":                 NewDoc(4, []byte("bad")),
		"field classes: missing":    NewDoc(5, []byte("bad")),
		"at most 65536":             NewDoc(6, make([]byte, 70<<10)),
	} {
		_, err := n.Offer(d, f.now)
		require.ErrorContains(t, err, says)
		require.Equal(t, before, numbers(n))
	}
	_, err = n.Offer(doc(3), f.now)
	require.NoError(t, err, "the same once more")
	require.Len(t, n.Refused(), 3)
}

// One that can't act on a version turns it down, says so, and goes on with the last; the others do not go beyond
// what it acts on.
func TestAVersionThatOneMemberCantActOn(t *testing.T) {
	f := newFleet(3, 4, 0, 5*ms)
	f.nodes["2"].cfg.Check = func([]byte) error { return errors.New("number 2 of 1 gateways") }
	out, err := f.nodes["0"].Offer(doc(2), f.now)
	require.NoError(t, err)
	f.put("0", out)
	f.run(3*time.Second, nothing)
	require.Equal(t, []uint64{1}, numbers(f.nodes["2"]))
	require.Equal(t, "number 2 of 1 gateways", f.nodes["2"].Refused()[doc(2).Version])
	for _, name := range []string{"0", "1"} {
		require.Equal(t, []uint64{1, 2}, numbers(f.nodes[name]))
		require.Equal(t, doc(2).Version, f.nodes[name].reports["2"].rejected)
	}
}

// A message with a piece fits the datagram of the platform, however large its numbers.
func TestAMessageRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		version := func(label string) Version {
			return Version{rapid.Uint64Range(1, MaxNumber).Draw(t, label), rapid.Uint64().Draw(t, label)}
		}
		m := Message{Kind: Kind(rapid.IntRange(0, int(KindReply)).Draw(t, "kind")), From: "299", Document: "settings",
			ChunkIndex: rapid.IntRange(0, 1<<30).Draw(t, "at"), TotalBytes: rapid.IntRange(0, 1<<30).Draw(t, "total")}
		if m.Kind == KindReport || m.Kind == KindReply {
			for range rapid.IntRange(1, maxActive).Draw(t, "acting") {
				m.Active = append(m.Active, version("v"))
			}
			m.Rejected = version("refused")
		} else {
			m.Version = version("want")
			m.Chunk = rapid.SliceOfN(rapid.Byte(), 1, 256-MaxChunkOverhead-3-8).Draw(t, "bytes")
		}
		b := Append(nil, m)
		require.LessOrEqual(t, len(b), 256)
		require.Equal(t, MessagePrefix, b[0])
		got, err := Parse(b)
		require.NoError(t, err)
		require.Equal(t, m, got)
	})
}

func FuzzParse(f *testing.F) {
	f.Add(Append(nil, Message{Kind: KindReport, From: "1", Active: []Version{{1, 2}, {3, 4}}}))
	f.Add([]byte{MessagePrefix, 9})
	f.Add([]byte{MessagePrefix, 0, 0x12, 2, 8, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Parse(b)
		n := New(Config{Self: "0", ReportInterval: 300 * ms, RetryInterval: 100 * ms, MaxTextBytes: 1 << 16, MaxChunkBytes: 180,
			Check: func([]byte) error { return nil }}, doc(1), 0)
		if err == nil {
			n.Handle(m, ms)
			n.Tick(time.Second)
			require.NotEmpty(t, n.Acting())
		}
	})
}
