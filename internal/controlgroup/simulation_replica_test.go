package controlgroup

import (
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/versions"
)

// simConnection is one between a process and a replica: in order, until it is reset.
type simConnection struct {
	process  *simProcess
	replica  *simReplica
	closed   bool
	named    bool          // the replica knows whose it is
	lastUp   time.Duration // when the last message arrives; one held up has this in the future
	lastDown time.Duration
	told     map[string][]versions.Version
}

// up sends to the replica. What was sent before a reset may still be read after it.
func (c *simConnection) up(messages ...Message) {
	s := c.process.s
	for _, message := range messages {
		message = roundTrip(s.t, message)
		c.lastUp = max(c.lastUp, s.later())
		lost := s.chance(0.5)
		generation := c.replica.generation
		s.fly(c.lastUp, c.replica, func() {
			if generation == c.replica.generation && (!c.closed || !lost) {
				c.replica.receive(c, message)
			}
		})
		if s.chance(s.resets) {
			c.reset()
		}
	}
}

// down sends to the process.
func (c *simConnection) down(message Message) {
	s := c.process.s
	message = roundTrip(s.t, message)
	c.lastDown = max(c.lastDown, s.later())
	s.fly(c.lastDown, c.process, func() {
		if !c.closed {
			c.process.receive(c, message)
		}
	})
	if s.chance(s.resets) {
		c.reset()
	}
}

// reset breaks the connection.
func (c *simConnection) reset() {
	if c.closed {
		return
	}
	c.closed = true
	s := c.process.s
	s.fly(s.later(), c.process, func() { c.process.disconnected(c) })
}

// simReplica hosts one replica as package controlserver does.
type simReplica struct {
	s             *simulation
	name          string
	clock         simClock
	timing        Timing
	state         *State
	applied       int
	snapshot      []byte // durable, with what is applied by then
	snapshotAt    int
	generation    int // of the process
	pausedUntil   time.Duration
	downUntil     time.Duration
	isolatedUntil time.Duration // from other replicas

	leader      *Leader // while this replica thinks that it leads
	term        uint64
	checking    bool        // whether it leads
	believes    *simReplica // in this leader
	connections []*simConnection
	routes      map[process]*simRoute
}

// simRoute is by which replica and connection a member is reached.
type simRoute struct{ connection *simConnection }

func newSimReplica(s *simulation, name string) *simReplica {
	state := NewState()
	return &simReplica{s: s, name: name, clock: s.clock(), timing: simTiming, state: state, snapshot: state.Snapshot()}
}

func (r *simReplica) isRunning(now time.Duration) bool { return now >= r.pausedUntil && !r.isGone() }
func (r *simReplica) isGone() bool                     { return r.s.now < r.downUntil }
func (r *simReplica) isolated(now time.Duration) bool  { return now < r.isolatedUntil }
func (r *simReplica) now() time.Duration               { return r.clock.at(r.s.now) }

// lead begins as the leader, after a barrier.
func (r *simReplica) lead(term uint64) {
	r.apply()
	r.term, r.believes, r.checking = term, r, false
	r.leader = NewLeader(r.timing, r.state, term, r.now())
	r.routes = map[process]*simRoute{}
}

// apply applies all that is committed.
func (r *simReplica) apply() {
	for ; r.applied < len(r.s.log); r.applied++ {
		_ = r.state.Apply(r.s.log[r.applied])
	}
	for _, document := range r.state.Documents() {
		if _, began := r.s.began[document]; !began && r.s.leader == r {
			r.s.began[document] = r.s.now
		}
	}
}

// restart ends the process and begins it anew from what is durable, with a new clock.
func (r *simReplica) restart(down time.Duration) {
	r.generation++
	r.downUntil = r.s.now + down
	r.pausedUntil = 0
	for _, c := range r.connections {
		c.reset()
	}
	r.connections = nil
	r.leader, r.believes = nil, nil
	r.clock = r.s.clock()
	state, err := Restore(r.snapshot)
	require.NoError(r.s.t, err)
	r.state, r.applied = state, r.snapshotAt
}

func (r *simReplica) tick() {
	s := r.s
	if !r.isRunning(s.now) {
		return
	}
	if !r.isolated(s.now) {
		r.follow()
	}
	r.connections = slices.DeleteFunc(r.connections, func(c *simConnection) bool { return c.closed })
	for _, c := range r.connections {
		if c.named {
			r.tell(c)
		}
	}
	if r.leader != nil {
		r.decide()
	}
}

// follow takes what is committed, late, and learns who leads.
func (r *simReplica) follow() {
	s := r.s
	if s.chance(s.applies) {
		r.apply()
	}
	if s.chance(0.1) {
		r.snapshot, r.snapshotAt = r.state.Snapshot(), r.applied
	}
	if r.believes != s.leader && s.chance(s.learns) {
		r.believes = s.leader
	}
	if r.leader != nil && r.term != s.term && s.chance(s.learns) {
		r.leader = nil
	}
}

// decide does what the host of a leader does.
func (r *simReplica) decide() {
	s, leader, term := r.s, r.leader, r.term
	for _, command := range leader.Tick(r.now()) {
		s.submit(r, command, nil)
	}
	if r.checking {
		return
	}
	batch := leader.BeginVerify()
	if batch.Empty() {
		return
	}
	r.checking = true
	s.fly(s.later(), nil, func() {
		leads := s.term == term && s.hasQuorum(r)
		s.fly(s.later(), r, func() { r.checked(leader, batch, leads) })
	})
}

// checked ends a check of leadership, at once or after other work that the host has.
func (r *simReplica) checked(leader *Leader, batch Batch, leads bool) {
	if r.leader != leader {
		return
	}
	if r.s.chance(r.s.lateEnd) {
		r.s.fly(r.s.later(), r, func() { r.checked(leader, batch, leads) })
		return
	}
	r.checking = false
	if leads {
		r.grant(leader.Verified(batch, r.now()))
	}
}

func (r *simReplica) grant(grants []Grant) {
	for _, grant := range grants {
		route, known := r.routes[process{grant.Member, grant.Incarnation}]
		if !known || route.connection.closed {
			continue
		}
		r.between(route.connection.replica, func() { route.connection.down(grant) })
	}
}

// between does something at another replica, unless it is out of reach.
func (r *simReplica) between(other *simReplica, do func()) {
	s := r.s
	if other == r {
		do()
		return
	}
	if r.isolated(s.now) || other.isolated(s.now) || s.chance(s.resets) {
		return
	}
	generation := other.generation
	s.fly(s.later(), other, func() {
		if generation == other.generation {
			do()
		}
	})
}

// tell sends what is in force to a member: texts that it has not reported or been sent before, then the list.
func (r *simReplica) tell(c *simConnection) {
	for _, document := range r.state.Documents() {
		inForce := r.state.InForce(document)
		list := versionsOf(inForce)
		if slices.Equal(list, c.told[document]) {
			continue
		}
		for _, doc := range inForce {
			if !slices.Contains(c.told[document], doc.Version) {
				c.down(Content{document, doc.Version, doc.Text})
			}
		}
		c.told[document] = list
		c.down(InForce{document, list})
	}
}

// receive takes a message of a member and passes it on to the leader.
func (r *simReplica) receive(c *simConnection, message Message) {
	if _, ok := message.(Renew); ok {
		c.named = true
	}
	switch {
	case r.leader != nil:
		r.handle(c, message)
	case r.believes != nil && r.believes != r:
		leader := r.believes
		r.between(leader, func() {
			if leader.leader != nil {
				leader.handle(c, message)
			}
		})
	}
}

// handle takes a message at the leader.
func (r *simReplica) handle(c *simConnection, message Message) {
	switch message := message.(type) {
	case Renew:
		r.routes[process{message.Member, message.Incarnation}] = &simRoute{c}
		r.leader.Renew(message, r.now())
	case Closed:
		r.leader.Closed(message, r.now())
	case Propose:
		command := ProposeVersion{message.Document, message.Version, message.Text}
		r.s.submit(r, command, func(err error) {
			result := ProposeResult{Request: message.Request}
			if err != nil {
				result.Error = err.Error()
			}
			r.between(c.replica, func() { c.down(result) })
		})
	}
}
