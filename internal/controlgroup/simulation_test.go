package controlgroup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ferryfront.example/ferryfront/internal/versions"
)

const (
	ms       = time.Millisecond
	simStep  = 10 * ms
	simDelay = 50 * ms // most of a message, unless a test sets another
)

// simTiming has short leases, so that many run out in a run.
var simTiming = Timing{Settings: 1000 * ms, Share: 3000 * ms, Renewal: 250 * ms, Drift: 0.05}

// simClock is the monotonic clock of one process, within the drift of the real time.
type simClock struct {
	offset time.Duration
	rate   float64
}

func (c simClock) at(real time.Duration) time.Duration {
	return c.offset + time.Duration(float64(real)*c.rate)
}

// simActor is a process that may stand still or be gone.
type simActor interface {
	isRunning(now time.Duration) bool
	isGone() bool
}

// simFlight is something that reaches an actor at a time, or once it runs again.
type simFlight struct {
	at time.Duration
	to simActor // nil: the network itself
	do func()
}

// simulation has replicas and processes of members on a network, with the time that none of them knows. The consensus
// is modelled by what it guarantees: one log of committed commands, that every replica applies in order.
type simulation struct {
	t       *rapid.T
	rng     *rand.Rand
	now     time.Duration
	delay   time.Duration // most of a message
	resets  float64       // part of the messages whose connection is reset
	learns  float64       // chance in a step that a replica learns of another leader
	applies float64       // chance in a step that it applies what is committed
	lateEnd float64       // part of the checks of leadership whose end a host takes late
	flights []simFlight

	term     uint64
	leader   *simReplica // that the consensus has, whoever thinks to be it
	inFlight []simProposal
	log      []Command
	truth    *State                   // after all that is committed
	began    map[string]time.Duration // when the leader has applied the first version of a document
	history  []ProposeVersion         // that came into force

	replicas     []*simReplica
	processes    []*simProcess
	incarnations Incarnation
	number       uint64 // the highest version proposed or in a file
	rejecting    bool   // member 0 rejects every third version
}

// simProposal is a command that the leader has given to the consensus.
type simProposal struct {
	command  Command
	commitAt time.Duration
	done     func(error)
}

func newSimulation(t *rapid.T, members int, first ...Command) *simulation {
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 5)), now: time.Second, delay: simDelay, learns: 1, applies: 1,
		truth: NewState(), began: map[string]time.Duration{}, number: 1}
	for _, command := range first {
		s.commit(command)
	}
	for i := range 3 {
		s.replicas = append(s.replicas, newSimReplica(s, fmt.Sprint(i)))
	}
	s.elect(s.replicas[0])
	for i := range members {
		s.startProcess(MemberID(i), testDoc(1))
	}
	return s
}

func (s *simulation) clock() simClock {
	return simClock{
		offset: time.Duration(s.rng.Int64N(int64(time.Hour))),
		rate:   1 + simTiming.Drift*float64(s.rng.IntN(5)-2)/2,
	}
}

func (s *simulation) chance(p float64) bool { return s.rng.Float64() < p }

// later is when a message that is sent now arrives.
func (s *simulation) later() time.Duration {
	return s.now + ms + time.Duration(s.rng.Int64N(int64(s.delay)))
}

func (s *simulation) fly(at time.Duration, to simActor, do func()) {
	s.flights = append(s.flights, simFlight{at, to, do})
}

// run lets time pass and checks at each step.
func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += simStep
		s.deliver()
		s.commitDue()
		s.electIfNeeded()
		for _, replica := range s.replicas {
			replica.tick()
		}
		for _, p := range s.processes {
			p.tick()
		}
		s.check()
	}
}

func (s *simulation) deliver() {
	flights := s.flights
	s.flights = nil
	for _, flight := range flights {
		switch {
		case flight.at > s.now:
			s.flights = append(s.flights, flight)
		case flight.to == nil || flight.to.isRunning(s.now):
			flight.do()
		case !flight.to.isGone():
			s.flights = append(s.flights, flight)
		}
	}
}

// submit gives a command to the consensus. What a former leader proposes is lost.
func (s *simulation) submit(r *simReplica, command Command, done func(error)) {
	if s.leader != r || r.term != s.term {
		return
	}
	parsed, err := ParseCommand(AppendCommand(nil, command))
	require.NoError(s.t, err)
	at := s.later()
	if n := len(s.inFlight); n > 0 {
		at = max(at, s.inFlight[n-1].commitAt)
	}
	s.inFlight = append(s.inFlight, simProposal{parsed, at, done})
}

// commitDue commits what a quorum has.
func (s *simulation) commitDue() {
	for len(s.inFlight) > 0 && s.inFlight[0].commitAt <= s.now && s.hasQuorum(s.leader) {
		proposal := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		err := s.commit(proposal.command)
		if proposal.done != nil {
			s.fly(s.now, s.leader, func() { proposal.done(err) })
		}
	}
}

func (s *simulation) commit(command Command) error {
	s.log = append(s.log, command)
	err := s.truth.Apply(command)
	if proposed, ok := command.(ProposeVersion); ok && err == nil {
		s.history = append(s.history, proposed)
	}
	return err
}

// hasQuorum tells whether a replica reaches another one that runs.
func (s *simulation) hasQuorum(r *simReplica) bool {
	return !r.isGone() && !r.isolated(s.now) && slices.ContainsFunc(s.replicas, func(o *simReplica) bool {
		return o != r && o.isRunning(s.now) && !o.isolated(s.now)
	})
}

// electIfNeeded elects another leader some time after one is out of reach.
func (s *simulation) electIfNeeded() {
	if s.leader.leader != nil && s.leader.isRunning(s.now) && s.hasQuorum(s.leader) {
		return
	}
	if s.chance(0.04) {
		s.elect(s.replicas[s.rng.IntN(len(s.replicas))])
	}
}

// elect makes a replica the leader. Of what the one before had on its way a part is committed; the barrier of the new
// one comes after that.
func (s *simulation) elect(r *simReplica) {
	if !r.isRunning(s.now) || !s.hasQuorum(r) {
		return
	}
	for _, proposal := range s.inFlight[:s.rng.IntN(len(s.inFlight)+1)] {
		_ = s.commit(proposal.command)
	}
	s.inFlight = nil
	s.term++
	s.leader = r
	r.lead(s.term)
}

// check checks what holds at any time, whatever has failed.
func (s *simulation) check() {
	for _, document := range s.truth.Documents() {
		if at, began := s.began[document]; !began || s.now < at+simTiming.Settings {
			continue // leases from before the document's first version
		}
		oldest := s.truth.InForce(document)[0]
		for _, p := range s.processes {
			if p.holdsLease() {
				require.Contains(s.t, numbersOf(p.member.Acting(document)), oldest.Number,
					"%v holds a lease and lacks the oldest version in force of %s", p, document)
			}
		}
		s.checkInCommon(document)
	}
	holders := map[MemberID]*simProcess{}
	for _, p := range s.processes {
		if p.holdsShare() {
			require.Nil(s.t, holders[p.id], "%v holds the share of another process", p)
			holders[p.id] = p
		}
	}
}

// checkInCommon checks that any two members with a lease act on a version in common.
func (s *simulation) checkInCommon(document string) {
	var sets [][]versions.Version
	for _, p := range s.processes {
		if p.holdsLease() {
			sets = append(sets, versionsOf(p.member.Acting(document)))
		}
	}
	for i, a := range sets {
		for _, b := range sets[:i] {
			require.True(s.t, slices.ContainsFunc(a, func(v versions.Version) bool { return slices.Contains(b, v) }),
				"%s: %v and %v", document, a, b)
		}
	}
}

// checkReplicas checks that replicas which have applied everything have the same state.
func (s *simulation) checkReplicas() {
	for _, r := range s.replicas {
		if r.applied == len(s.log) {
			require.Equal(s.t, s.truth.Snapshot(), r.state.Snapshot())
		}
	}
}

// live returns a process that is not gone; nil: there is none.
func (s *simulation) live() *simProcess {
	live := slices.DeleteFunc(slices.Clone(s.processes), func(p *simProcess) bool { return p.gone })
	if len(live) == 0 {
		return nil
	}
	return live[s.rng.IntN(len(live))]
}

func roundTrip(t *rapid.T, m Message) Message {
	parsed, rest, err := Next(Append(nil, m))
	require.NoError(t, err)
	require.Empty(t, rest)
	return parsed
}
