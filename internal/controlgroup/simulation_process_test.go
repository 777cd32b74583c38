package controlgroup

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/versions"
)

// simSilence is after how long without an answer a process takes another replica.
const simSilence = 800 * ms

// simProcess hosts one process of a member as the daemon does.
type simProcess struct {
	s           *simulation
	id          MemberID
	incarnation Incarnation
	member      *Member
	clock       simClock
	connection  *simConnection
	connectAt   time.Duration
	answeredAt  time.Duration
	pausedUntil time.Duration
	gone        bool
}

func (p *simProcess) String() string {
	return fmt.Sprintf("member %d, incarnation %d (%v)", p.id, p.incarnation, p.member.LeaseState(p.now()))
}

func (p *simProcess) isRunning(now time.Duration) bool { return !p.gone && now >= p.pausedUntil }
func (p *simProcess) isGone() bool                     { return p.gone }
func (p *simProcess) now() time.Duration               { return p.clock.at(p.s.now) }

// holdsLease and holdsShare tell what a process believes by its own clock, also while it stands still.
func (p *simProcess) holdsLease() bool {
	return !p.gone && p.member.LeaseState(p.now()) == LeaseHeld
}

func (p *simProcess) holdsShare() bool { return !p.gone && p.member.HoldsShare(p.now()) }

// startProcess begins a process of a member, beside others of it or not, with a version in its files.
func (s *simulation) startProcess(id MemberID, file versions.Doc) *simProcess {
	s.incarnations++
	p := &simProcess{s: s, id: id, incarnation: s.incarnations, clock: s.clock(), connectAt: s.now}
	check := func(_ string, text []byte) error {
		if s.rejecting && id == 0 && text[len(text)-1]%3 == 0 {
			return errors.New("rejected by member 0")
		}
		return nil
	}
	p.member = NewMember(MemberConfig{ID: id, Incarnation: p.incarnation, Check: check,
		First: []Document{{"settings", file}, {"drained", file}}}, p.now())
	s.processes = append(s.processes, p)
	return p
}

func (p *simProcess) tick() {
	s := p.s
	if !p.isRunning(s.now) {
		return
	}
	switch c := p.connection; {
	case c == nil:
		if s.now >= p.connectAt {
			p.connect()
		}
	case s.now-p.answeredAt > simSilence:
		c.closed = true
		p.disconnected(c)
	case p.member.Due() <= p.now():
		c.up(p.member.Tick(p.now())...)
	}
	for _, outcome := range p.member.Outcomes() {
		p.checkOutcome(outcome)
	}
}

// checkOutcome checks that what was accepted is committed.
func (p *simProcess) checkOutcome(outcome ProposeOutcome) {
	if outcome.Error != "" {
		return
	}
	require.True(p.s.t, slices.ContainsFunc(p.s.history, func(c ProposeVersion) bool {
		return c.Document == outcome.Document && c.Version == outcome.Version
	}), "%v was accepted and is not in the log", outcome)
}

func (p *simProcess) connect() {
	s := p.s
	p.connectAt = s.later()
	replica := s.replicas[s.rng.IntN(len(s.replicas))]
	if !replica.isRunning(s.now) {
		return
	}
	p.connection = &simConnection{process: p, replica: replica, told: map[string][]versions.Version{}}
	replica.connections = append(replica.connections, p.connection)
	p.answeredAt = s.now
	p.connection.up(p.member.Connected(p.now())...)
}

func (p *simProcess) disconnected(c *simConnection) {
	if p.connection == c {
		p.connection = nil
		p.connectAt = p.s.later()
		p.member.Disconnected(p.now())
	}
}

func (p *simProcess) receive(c *simConnection, message Message) {
	if p.connection != c {
		return
	}
	if _, ok := message.(Grant); ok {
		p.answeredAt = p.s.now
	}
	out, err := p.member.Received(message, p.now())
	require.NoError(p.s.t, err)
	c.up(out...)
}

// kill ends a process: with the orderly end of its connection, as the operating system does it, or with none, as when
// its machine is lost.
func (p *simProcess) kill(orderly bool) {
	if p.gone {
		return
	}
	p.gone = true
	c := p.connection
	if c == nil || c.closed {
		return
	}
	if orderly {
		c.up(Closed{p.id, p.incarnation})
		return
	}
	c.closed = true
}

// propose has a process propose a version.
func (p *simProcess) propose(document string, doc versions.Doc) {
	out, err := p.member.Propose(document, doc, p.now())
	if err == nil && p.connection != nil && p.isRunning(p.s.now) {
		p.connection.up(out...)
	}
}
