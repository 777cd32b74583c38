// Package controlclient carries the messages between one ingress and the replicas of the control group: one TCP
// connection on the daemon's loop, to one replica at a time. It decides nothing of versions and leases: what comes in
// goes to the member, and what that wants sent goes out. It belongs to the loop's goroutine.
//
// A replica takes the orderly end of a connection as proof that the process behind it has ended or has given up its
// leases. So every connection that this process leaves while it may hold leases is ended by a reset; only
// [Client.GiveUp] ends one in the orderly way.
package controlclient

import (
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"time"

	"ferryfront.example/ferryfront/internal/controlgroup"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// Member decides what is sent, see [controlgroup.Member].
type Member interface {
	Connected(now time.Duration) []controlgroup.Message
	Disconnected(now time.Duration)
	Received(m controlgroup.Message, now time.Duration) ([]controlgroup.Message, error)
	Tick(now time.Duration) []controlgroup.Message
	Due() time.Duration
	GiveUp(now time.Duration) []controlgroup.Message
}

// Config says where the replicas are and for whom the client speaks.
type Config struct {
	Replicas     []string // addresses, one at least; the same in the same order at all ingresses
	IngressIndex int      // of this ingress: spreads ingresses over the replicas
	Seed         uint64   // of the jitter
	Member       Member
	OnChange     func(now time.Duration) // called when what the member tells may have changed, before that is reported
}

// Counts are from the opening of the client.
type Counts struct {
	SentBytes, ReceivedBytes uint64 // bytes
	Connections              uint64 // that came up
}

// Client keeps a connection to one replica, and goes on to the next when it fails.
type Client struct {
	loop   *loop.Loop
	lim    limits.Limits
	log    *slog.Logger
	config Config
	rng    *rand.Rand

	replica int           // index of the one that is, or is to be, connected
	backoff time.Duration // before the next connection; 0: the last one served
	conn    *connection   // nil between two
	redial  *loop.Timer
	due     *loop.Timer // the member's
	dueAt   time.Duration
	ended   bool

	counts   Counts
	lost     bool          // nothing was heard since the last failure
	lostAt   time.Duration // when a loss was last logged
	unlogged bool          // the next replica that is heard is to be logged
	endTimer *loop.Timer
	whenDone func() // of GiveUp
}

// Open begins to connect to the ingress's first replica.
func Open(l *loop.Loop, lim limits.Limits, log *slog.Logger, c Config) *Client {
	client := &Client{loop: l, lim: lim, log: log, config: c, replica: c.IngressIndex % len(c.Replicas), unlogged: true,
		rng: rand.New(rand.NewPCG(c.Seed, uint64(c.IngressIndex)))}
	client.dial()
	client.schedule()
	return client
}

// Replica is the address of the replica that is connected and has said something, empty: none has.
func (c *Client) Replica() string {
	if c.conn == nil || !c.conn.heard {
		return ""
	}
	return c.config.Replicas[c.replica]
}

// Counts tells what went and came so far.
func (c *Client) Counts() Counts { return c.counts }

// Send sends messages of the member that came about outside of the client, if a replica is connected.
func (c *Client) Send(list []controlgroup.Message) {
	if c.conn != nil && c.conn.up {
		c.conn.send(list)
	}
	c.schedule()
}

// Close ends the connection by a reset: leases that are held may be held on.
func (c *Client) Close() {
	if c == nil || c.ended {
		return
	}
	c.stop()
	c.conn.reset()
	c.conn = nil
	c.finish()
}

// GiveUp has the member give up its leases and ends the connection in the orderly way, which tells the replica of it. Done
// is called once the replica has ended its side, or after a limit; nil: nobody waits. The caller must have seen to it
// that the share of joint budgets is used no more.
func (c *Client) GiveUp(done func()) {
	if done == nil {
		done = func() {}
	}
	if c == nil || c.ended {
		done()
		return
	}
	c.stop()
	c.whenDone = done
	c.config.Member.GiveUp(c.loop.Now()) // what that would send says no more than the end of the connection
	if c.conn == nil || !c.conn.up {
		c.conn.reset()
		c.conn = nil
		c.finish()
		return
	}
	c.endTimer = c.loop.After(c.lim.ControlReleaseTimeout, c.abandon)
	c.conn.end()
}

// stop connects no more and lets no more time pass for the member.
func (c *Client) stop() {
	c.ended = true
	c.redial.Stop()
	c.due.Stop()
}

// abandon ends waiting for the replica's end. The connection's own end was sent, unless the replica reads nothing.
func (c *Client) abandon() {
	if c.conn != nil {
		c.conn.close()
		c.conn = nil
	}
	c.finish()
}

func (c *Client) finish() {
	c.endTimer.Stop()
	if done := c.whenDone; done != nil {
		c.whenDone = nil
		done()
	}
}

// never is what a member is due at that waits for nothing.
const never = time.Duration(math.MaxInt64)

// schedule has the member ticked when it is due.
func (c *Client) schedule() {
	at := c.config.Member.Due()
	if c.ended || at == c.dueAt {
		return
	}
	c.due.Stop()
	c.dueAt, c.due = at, nil
	if at < never {
		c.due = c.loop.At(at, c.tick)
	}
}

func (c *Client) tick() {
	c.dueAt = 0
	now := c.loop.Now()
	c.Send(c.config.Member.Tick(now))
	c.config.OnChange(now)
}

// dial begins a connection to the replica whose turn it is.
func (c *Client) dial() {
	conn := &connection{client: c}
	fd, err := loop.Dial(c.config.Replicas[c.replica])
	if err == nil {
		conn.source, err = c.loop.Watch(fd, loop.Out|loop.Hangup, conn)
		if err != nil {
			loop.CloseFD(fd)
		}
	}
	if err != nil {
		c.next(err)
		return
	}
	c.conn = conn
	conn.expect(c.lim.ControlDialTimeout)
}

// connected: the connection is up. The replica counts as working only once it has said something.
func (c *Client) connected() {
	c.counts.Connections++
	c.conn.expect(c.lim.ControlFirstMessageTimeout)
	c.conn.send(c.config.Member.Connected(c.loop.Now()))
	c.schedule()
}

// served: the replica has sent a message.
func (c *Client) served() {
	c.backoff, c.conn.heard = 0, true
	if c.unlogged {
		c.log.Info("control replica connected", "replica", c.config.Replicas[c.replica])
	}
	c.lost, c.unlogged = false, false
}

// failed leaves the connection for the next replica.
func (c *Client) failed(cause error) {
	wasUp := c.conn.up
	c.conn.reset()
	c.conn = nil
	if c.ended {
		c.finish()
		return
	}
	now := c.loop.Now()
	if wasUp {
		c.config.Member.Disconnected(now)
	}
	c.next(cause)
	c.schedule()
	c.config.OnChange(now)
}

// logEvery: replicas that fail again and again are logged so often.
const logEvery = 10 * time.Second

// next goes on to another replica after a while: longer with each failure in a row, at a random instant of that while,
// since all ingresses of a replica lose it at once.
func (c *Client) next(cause error) {
	if now := c.loop.Now(); !c.lost && (c.lostAt == 0 || now-c.lostAt > logEvery) {
		c.lostAt, c.unlogged = now, true
		c.log.Warn("control replica lost", "replica", c.config.Replicas[c.replica], "cause", cause)
	}
	c.lost = true
	c.replica = (c.replica + c.step()) % len(c.config.Replicas)
	c.backoff = min(max(2*c.backoff, c.lim.InitialBackoff), c.lim.MaxBackoff)
	wait := time.Duration((0.1 + 0.9*c.rng.Float64()) * float64(c.backoff))
	c.redial = c.loop.After(wait, c.dial)
}

// step is how far the next replica is. Half of the ingresses of one go round the one way, half the other: so those of a
// replica that is lost are shared by its neighbours.
func (c *Client) step() int {
	n := len(c.config.Replicas)
	if c.config.IngressIndex/n%2 == 1 {
		return n - 1
	}
	return 1
}

// Causes of leaving a replica that are no errors of the connection.
var (
	errSilent = errors.New("silent")
	errUnread = errors.New("it does not read what is sent to it")
)
