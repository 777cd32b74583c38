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

// testLease is the lease of the nodes. Members that are stopped or cut off have not left unless a test says so.
const testLease = 1500 * ms

// fleet is a simulated fleet of nodes, whose messages are delayed or lost.
type fleet struct {
	names    []string
	nodes    map[string]*Node
	isDown   map[string]bool            // stopped members: they neither send nor receive
	isCut    func(from, to string) bool // whether messages of this direction are lost; nil: none
	lossRate float64                    // share of the other messages that are lost
	maxDelay time.Duration
	now      time.Duration
	rng      *rand.Rand
	inFlight []delivery
}

// delivery is a message that has been sent and not yet received.
type delivery struct {
	dueAt   time.Duration
	to      string
	message Message
}

// testDoc returns a version whose content takes several chunks.
func testDoc(number uint64) Doc {
	return NewDoc(number, []byte(strings.Repeat(fmt.Sprintf("rules of version %d; ", number), 40)))
}

// newFleet starts n members named "0", "1" and so on, each with version 1.
func newFleet(n int, seed uint64, lossRate float64, maxDelay time.Duration) *fleet {
	f := &fleet{nodes: map[string]*Node{}, isDown: map[string]bool{}, lossRate: lossRate, maxDelay: maxDelay, now: ms,
		rng: rand.New(rand.NewPCG(seed, 3))}
	for i := range n {
		f.names = append(f.names, fmt.Sprint(i))
	}
	for _, name := range f.names {
		f.start(name, testDoc(1))
	}
	return f
}

// start starts or restarts a member with a version. As in the daemon, the member's name reduces its chunk size.
func (f *fleet) start(name string, first Doc) {
	f.isDown[name] = false
	f.nodes[name] = New(Config{Self: name, Seed: f.rng.Uint64(), ReportInterval: 300 * ms, RetryInterval: 100 * ms, Lease: testLease,
		MaxTextBytes: 64 << 10, MaxChunkBytes: 180 - len(name), Check: func(text []byte) error {
			if strings.Contains(string(text), "bad") {
				return errors.New("field classes: missing")
			}
			return nil
		}}, first, f.now)
	others := slices.DeleteFunc(slices.Clone(f.names), func(o string) bool { return o == name })
	f.send(name, f.nodes[name].SetMembers(others, f.now))
}

// send encodes, decodes and queues messages, and drops those that are lost.
func (f *fleet) send(from string, out []Outgoing) {
	for _, s := range out {
		if f.rng.Float64() < f.lossRate || f.isCut != nil && f.isCut(from, s.To) {
			continue
		}
		m, err := Parse(Append(nil, s.Message))
		if err != nil {
			panic(err)
		}
		f.inFlight = append(f.inFlight, delivery{f.now + ms + time.Duration(f.rng.Int64N(int64(f.maxDelay))), s.To, m})
	}
}

// run advances the time by d in steps of 10 ms and calls check after each.
func (f *fleet) run(d time.Duration, check func()) {
	for end := f.now + d; f.now < end; check() {
		f.now += 10 * ms
		due := f.inFlight
		f.inFlight = nil
		for _, x := range due {
			switch {
			case x.dueAt > f.now:
				f.inFlight = append(f.inFlight, x)
			case !f.isDown[x.to]:
				f.send(x.to, f.nodes[x.to].Handle(x.message, f.now))
			}
		}
		for _, name := range f.names {
			if !f.isDown[name] {
				f.send(name, f.nodes[name].Tick(f.now))
			}
		}
	}
}

// activeNumbers returns the numbers of a node's active versions, oldest first.
func activeNumbers(n *Node) (list []uint64) {
	for _, d := range n.Acting() {
		list = append(list, d.Number)
	}
	return list
}

// membersWithoutCommonVersion describes two running members that have no active version in common, and returns an empty
// string if there are none.
func (f *fleet) membersWithoutCommonVersion() string {
	for _, a := range f.names {
		for _, b := range f.names {
			if f.isDown[a] || f.isDown[b] {
				continue
			}
			if !slices.ContainsFunc(f.nodes[a].Acting(), func(d Doc) bool {
				return slices.ContainsFunc(f.nodes[b].Acting(), func(o Doc) bool { return o.Version == d.Version })
			}) {
				return fmt.Sprintf("%s has %v active, %s has %v", a, activeNumbers(f.nodes[a]), b, activeNumbers(f.nodes[b]))
			}
		}
	}
	return ""
}

// noCheck is a check for run that does nothing.
func noCheck() {}

// The chunk size depends on the length of the sender's own name, which is longer from the eleventh member on. A
// document must also reach members with longer or shorter names, so a receiver must not assume its own chunk size.
func TestChunksBetweenMembersWithNamesOfOtherLength(t *testing.T) {
	for _, offeredTo := range []string{"2", "11"} {
		f := newFleet(12, 7, 0, 5*ms)
		f.run(time.Second, noCheck)
		out, err := f.nodes[offeredTo].Offer(testDoc(2), f.now)
		require.NoError(t, err)
		f.send(offeredTo, out)
		f.run(3*time.Second, noCheck)
		for _, name := range f.names {
			require.Equal(t, []uint64{2}, activeNumbers(f.nodes[name]), "member %s, offered to %s", name, offeredTo)
		}
	}
}

// A version offered to one member becomes the only active one everywhere within 4 s, in spite of lost messages.
func TestVersionReachesAllMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 8).Draw(t, "members"), rapid.Uint64().Draw(t, "seed"),
			rapid.Float64Range(0, 0.1).Draw(t, "loss"), 30*ms)
		f.run(time.Second, noCheck)
		out, err := f.nodes["0"].Offer(testDoc(2), f.now)
		require.NoError(t, err)
		require.Equal(t, []uint64{1, 2}, activeNumbers(f.nodes["0"]), "both stay active until all members have the new one")
		f.send("0", out)
		f.run(4*time.Second, func() { require.Empty(t, f.membersWithoutCommonVersion()) })
		for _, n := range f.nodes {
			require.Equal(t, []uint64{2}, activeNumbers(n))
			require.Equal(t, testDoc(2).Text, n.Newest().Text)
			require.Empty(t, n.Stale())
			require.Empty(t, n.Refused())
		}
	})
}

// Guards against two members whose active versions have none in common, which would apply rules unknown to each other.
// Members stop, links fail in one or both directions, and messages are lost while versions are offered anywhere. When
// all links work again, the members agree on the newest version.
func TestAnyTwoMembersHaveACommonVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "members")
		f := newFleet(n, rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.3).Draw(t, "loss"),
			time.Duration(rapid.IntRange(1, 200).Draw(t, "most_ms"))*ms)
		newest := uint64(1)
		for range 8 {
			side := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "side")
			oneWay := rapid.Bool().Draw(t, "one_way")
			f.isCut = func(from, to string) bool {
				a, b := side[from[0]-'0'], side[to[0]-'0']
				return a != b && (!oneWay || a)
			}
			stopped := fmt.Sprint(rapid.IntRange(0, n-1).Draw(t, "who"))
			f.isDown[stopped] = rapid.Bool().Draw(t, "stopped")
			to := fmt.Sprint(rapid.IntRange(0, n-1).Draw(t, "to"))
			if rapid.Bool().Draw(t, "offer") && !f.isDown[to] {
				if out, err := f.nodes[to].Offer(testDoc(newest+1), f.now); err == nil {
					newest++
					f.send(to, out)
				} else {
					require.ErrorIs(t, err, ErrTooManyRollouts)
				}
			}
			f.run(time.Second, func() { require.Empty(t, f.membersWithoutCommonVersion()) })
		}
		f.isCut, f.lossRate = nil, 0
		clear(f.isDown)
		f.run(10*time.Second, func() { require.Empty(t, f.membersWithoutCommonVersion()) })
		for name, node := range f.nodes {
			require.Equal(t, []uint64{newest}, activeNumbers(node), name)
		}
	})
}

// While a member is stopped, the others keep both versions active, because the stopped one may still apply the old one.
// Once it runs again, or has left, only the new version stays active.
func TestRolloutWaitsForStoppedMember(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		f := newFleet(4, 5, 0, 10*ms)
		f.run(time.Second, noCheck)
		f.isDown["3"] = true
		out, err := f.nodes["1"].Offer(testDoc(2), f.now)
		require.NoError(t, err)
		f.send("1", out)
		f.run(5*time.Second, noCheck)
		for _, name := range []string{"0", "1", "2"} {
			require.Equal(t, []uint64{1, 2}, activeNumbers(f.nodes[name]))
			require.Equal(t, []string{"3"}, f.nodes[name].Stale())
		}
		if leaves {
			for _, name := range []string{"0", "1", "2"} {
				others := slices.DeleteFunc([]string{"0", "1", "2"}, func(o string) bool { return o == name })
				f.send(name, f.nodes[name].SetMembers(others, f.now))
			}
		} else {
			f.isDown["3"] = false
		}
		f.run(3*time.Second, noCheck)
		for _, name := range []string{"0", "1", "2"} {
			require.Equal(t, []uint64{2}, activeNumbers(f.nodes[name]))
		}
	}
}

// A member that restarts with an old version is not ready before it has the version that the others have active. If it
// is cut off from them, it is ready after a lease.
func TestRestartWithOldVersion(t *testing.T) {
	f := newFleet(3, 8, 0, 10*ms)
	f.run(time.Second, noCheck)
	out, err := f.nodes["0"].Offer(testDoc(2), f.now)
	require.NoError(t, err)
	f.send("0", out)
	f.run(3*time.Second, noCheck)
	f.start("2", testDoc(1))
	require.False(t, f.nodes["2"].IsReady(f.now))
	for range 200 {
		f.run(10*ms, func() {
			if f.nodes["2"].IsReady(f.now) {
				require.Contains(t, activeNumbers(f.nodes["2"]), uint64(2))
			}
		})
	}
	require.True(t, f.nodes["2"].IsReady(f.now))
	require.Equal(t, []uint64{2}, activeNumbers(f.nodes["2"]))

	f.isCut = func(from, to string) bool { return from == "2" || to == "2" }
	f.start("2", testDoc(1))
	f.run(testLease, noCheck)
	require.False(t, f.nodes["2"].IsReady(f.now))
	f.run(100*ms, noCheck)
	require.True(t, f.nodes["2"].IsReady(f.now), "a member that is cut off becomes ready after the lease")
	require.True(t, f.nodes["2"].Alone(f.now))
	require.False(t, f.nodes["1"].Alone(f.now))
}

// Offer returns an error that names the version and the reason for an invalid version, and keeps the active versions.
func TestOfferRejectsInvalidVersions(t *testing.T) {
	f := newFleet(2, 2, 0, 5*ms)
	n := f.nodes["0"]
	_, err := n.Offer(testDoc(3), f.now)
	require.NoError(t, err)
	before := activeNumbers(n)
	for wantError, d := range map[string]Doc{
		"version 2 is older than 3": testDoc(2),
		"another content":           NewDoc(3, []byte("other rules")),
		"version 4":                 NewDoc(4, []byte("bad")),
		"field classes: missing":    NewDoc(5, []byte("bad")),
		"at most 65536":             NewDoc(6, make([]byte, 70<<10)),
	} {
		_, err := n.Offer(d, f.now)
		require.ErrorContains(t, err, wantError)
		require.Equal(t, before, activeNumbers(n))
	}
	_, err = n.Offer(testDoc(3), f.now)
	require.NoError(t, err, "the newest version offered again")
	require.Len(t, n.Refused(), 3)
}

// A member that can't apply a version rejects it, reports that, and keeps the old version active. The others then keep
// the old version active too.
func TestVersionThatOneMemberRejects(t *testing.T) {
	f := newFleet(3, 4, 0, 5*ms)
	f.nodes["2"].cfg.Check = func([]byte) error { return errors.New("number 2 of 1 gateways") }
	out, err := f.nodes["0"].Offer(testDoc(2), f.now)
	require.NoError(t, err)
	f.send("0", out)
	f.run(3*time.Second, noCheck)
	require.Equal(t, []uint64{1}, activeNumbers(f.nodes["2"]))
	require.Equal(t, "number 2 of 1 gateways", f.nodes["2"].Refused()[testDoc(2).Version])
	for _, name := range []string{"0", "1"} {
		require.Equal(t, []uint64{1, 2}, activeNumbers(f.nodes[name]))
		require.Equal(t, testDoc(2).Version, f.nodes[name].reports["2"].rejected)
	}
}

// A message decodes to what was encoded, and fits the platform's datagram of 256 bytes even with the largest numbers.
func TestMessageRoundTrip(t *testing.T) {
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

// No input makes Parse, Handle or Tick panic, or leaves a node without an active version.
func FuzzParse(f *testing.F) {
	f.Add(Append(nil, Message{Kind: KindReport, From: "1", Active: []Version{{1, 2}, {3, 4}}}))
	f.Add([]byte{MessagePrefix, 9})
	f.Add([]byte{MessagePrefix, 0, 0x12, 2, 8, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Parse(b)
		n := New(Config{Self: "0", ReportInterval: 300 * ms, RetryInterval: 100 * ms, MaxTextBytes: 1 << 16, MaxChunkBytes: 180,
			Check: func([]byte) error { return nil }}, testDoc(1), 0)
		if err == nil {
			n.Handle(m, ms)
			n.Tick(time.Second)
			require.NotEmpty(t, n.Acting())
		}
	})
}
