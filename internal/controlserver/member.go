package controlserver

import (
	"fmt"
	"net"
	"sync"
	"time"

	"ferryfront.example/ferryfront/internal/controlgroup"
	"ferryfront.example/ferryfront/internal/versions"
)

const (
	resultsMost  = 16              // proposal results that wait to be sent to one peer
	silenceLimit = 5 * time.Second // a member that sends nothing this long is disconnected
	proposerIdle = 30 * time.Second
)

// memberTable holds the members connected to this replica.
type memberTable struct {
	mu  sync.Mutex
	all map[process]*memberConn
}

func newMemberTable() *memberTable { return &memberTable{all: map[process]*memberConn{}} }

// add makes a connection the one of its process, and returns the one before it.
func (t *memberTable) add(c *memberConn) (before *memberConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before = t.all[c.process]
	t.all[c.process] = c
	return before
}

// remove returns false if the process has another connection by now.
func (t *memberTable) remove(c *memberConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.all[c.process] != c {
		return false
	}
	delete(t.all, c.process)
	return true
}

func (t *memberTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.all)
}

// grant passes a grant on to its member.
func (t *memberTable) grant(g controlgroup.Grant) {
	t.mu.Lock()
	c := t.all[process{g.Member, g.Incarnation}]
	t.mu.Unlock()
	if c != nil {
		c.setGrant(g)
	}
}

// wakeAll has each connection look for changed documents.
func (t *memberTable) wakeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.all {
		c.wakeUp()
	}
}

// memberConn is the connection of a member, or of an operator who proposes. One goroutine reads it, one writes it.
type memberConn struct {
	server  *Server
	conn    net.Conn
	process process // of a member, set before the writer starts

	wake chan struct{} // there may be something to send
	done chan struct{} // the reader has ended

	mu        sync.Mutex
	closed    bool                // by this replica
	isMember  bool                // a Renew was received
	grant     *controlgroup.Grant // the newest, not sent yet
	results   []controlgroup.ProposeResult
	reported  map[string][]versions.Version // what the member acts on, by document
	announced *announcements                // used by the writer only
}

// serveMember serves a connection until it ends. Its first message is a Renew or a Propose.
func (s *Server) serveMember(conn net.Conn, frames *frameReader, first controlgroup.Message) {
	c := &memberConn{server: s, conn: conn, wake: make(chan struct{}, 1), done: make(chan struct{}),
		announced: newAnnouncements()}
	var writing sync.WaitGroup
	defer writing.Wait()
	defer close(c.done)
	writing.Go(c.write)
	err := c.handle(first)
	for err == nil {
		_ = conn.SetReadDeadline(time.Now().Add(c.readLimit()))
		var m controlgroup.Message
		if m, err = frames.next(); err == nil {
			err = c.handle(m)
		}
	}
	c.end(err)
}

func (c *memberConn) readLimit() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isMember {
		return silenceLimit
	}
	return proposerIdle
}

// end tells the leader that the process has ended, where that is certain: its side has closed the connection in the
// orderly way, which the system does for a process that ends, and a member that lives on does not.
func (c *memberConn) end(err error) {
	c.server.logFrameError(c.conn, err)
	c.mu.Lock()
	member, closed := c.isMember, c.closed
	c.mu.Unlock()
	if !member {
		return
	}
	current := c.server.members.remove(c)
	ended := current && !closed && endedInOrder(c.conn, err) && c.server.context.Err() == nil
	c.server.log.Debug("member disconnected", "member", c.process.member, "incarnation", c.process.incarnation,
		"orderly", ended, "error", err)
	if ended {
		c.server.memberEnded(controlgroup.Closed{Member: c.process.member, Incarnation: c.process.incarnation})
	}
}

// handle takes a message; an error ends the connection.
func (c *memberConn) handle(m controlgroup.Message) error {
	switch m := m.(type) {
	case controlgroup.Renew:
		return c.renew(m)
	case controlgroup.Propose:
		c.server.propose(c, m)
		return nil
	}
	return fmt.Errorf("%w: unexpected %T", controlgroup.ErrFrame, m)
}

// renew passes a renewal on to the leader. Without one it is dropped: the member repeats it.
func (c *memberConn) renew(r controlgroup.Renew) error {
	reported := map[string][]versions.Version{}
	for _, report := range r.Reports {
		reported[report.Document] = report.Acting
	}
	c.mu.Lock()
	c.reported = reported
	c.mu.Unlock()
	if err := c.identify(process{r.Member, r.Incarnation}); err != nil {
		return err
	}
	c.server.toLeader(r)
	return nil
}

// identify books the connection as that of a process with its first renewal.
func (c *memberConn) identify(p process) error {
	c.mu.Lock()
	known := c.isMember
	c.mu.Unlock()
	if known {
		if p != c.process {
			return fmt.Errorf("%w: a renewal of %v on the connection of %v", controlgroup.ErrFrame, p, c.process)
		}
		return nil
	}
	if !c.server.node.gate.isOpen() {
		return errNotCaughtUp
	}
	c.mu.Lock()
	c.process, c.isMember = p, true
	c.mu.Unlock()
	if before := c.server.members.add(c); before != nil {
		before.close()
	}
	c.server.log.Debug("member connected", "member", p.member, "incarnation", p.incarnation, "from", c.conn.RemoteAddr())
	c.wakeUp()
	return nil
}

// close ends the connection from this side.
func (c *memberConn) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	reset(c.conn)
}

func (c *memberConn) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// setGrant has a grant sent. A newer one takes the place of one that waits.
func (c *memberConn) setGrant(g controlgroup.Grant) {
	c.mu.Lock()
	if c.grant == nil || c.grant.Sequence <= g.Sequence {
		c.grant = &g
	}
	c.mu.Unlock()
	c.wakeUp()
}

// result implements proposer.
func (c *memberConn) result(r controlgroup.ProposeResult) {
	c.mu.Lock()
	full := len(c.results) >= resultsMost
	if !full {
		c.results = append(c.results, r)
	}
	c.mu.Unlock()
	if full {
		c.close()
		return
	}
	c.wakeUp()
}
