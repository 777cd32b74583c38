// Package controlclient exchanges messages between one ingress and the replicas of the control group over one TCP connection,
// to one replica at a time. The goroutine of the event loop owns a Client. The package takes no decision on versions or
// leases: it passes received messages to the member of the control group and sends the messages that the member returns.
//
// A replica takes the orderly end of a connection (FIN) as proof that the process has ended or has given up its leases. So
// every connection that is closed while the process may hold leases is closed by a reset; only [Client.GiveUp] closes one
// in the orderly way.
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

// Member is the protocol state machine that decides what is sent, see [controlgroup.Member].
type Member interface {
	// Connected returns the first messages on a new connection.
	Connected(now time.Duration) []controlgroup.Message
	// Disconnected is called when an established connection has failed.
	Disconnected(now time.Duration)
	// Received returns the answers to a message. An error means that the replica violates the protocol; it ends the connection.
	Received(m controlgroup.Message, now time.Duration) ([]controlgroup.Message, error)
	// Tick acts on the timeouts that have passed and returns the messages to send.
	Tick(now time.Duration) []controlgroup.Message
	// Due returns the time of the next tick, noDeadline if none is due.
	Due() time.Duration
	// GiveUp makes the member give up its leases.
	GiveUp(now time.Duration) []controlgroup.Message
}

// Config configures a Client.
type Config struct {
	Replicas     []string // addresses, at least one; the same in the same order at all ingresses
	IngressIndex int      // of this ingress; spreads the ingresses over the replicas
	Seed         uint64   // of the random backoff
	Member       Member
	// OnChange is called after each message, tick and lost connection, since the member's state may have changed. It is
	// called before the member's answers to a message are sent.
	OnChange func(now time.Duration)
}

// Counts are totals since the client was opened.
type Counts struct {
	SentBytes, ReceivedBytes uint64
	Connections              uint64 // established connections
}

// Client keeps a connection to one replica and connects to the next one when it fails. It is not safe for concurrent use.
type Client struct {
	loop   *loop.Loop
	limits limits.Limits
	log    *slog.Logger
	cfg    Config
	rng    *rand.Rand

	replica     int           // index of the replica that is, or is next to be, connected
	backoff     time.Duration // before the last redial; 0 once a replica has sent a message
	conn        *connection   // nil if there is none
	redialTimer *loop.Timer
	tickTimer   *loop.Timer   // nil while the member waits for no tick
	tickAt      time.Duration // time of tickTimer
	isClosed    bool          // Close or GiveUp was called

	counts          Counts
	isFailing       bool          // no message was received since the last failure
	lastLossLogged  time.Duration // 0: never
	logsNextConnect bool          // the next replica that sends a message is logged
	giveUpTimer     *loop.Timer
	onGaveUp        func() // the callback of GiveUp
}

// Open returns a client that connects to the replica of this ingress, and to the others in turn while none works. It reports
// failures to the log only. The client runs on the loop l until Close or GiveUp.
func Open(l *loop.Loop, lim limits.Limits, log *slog.Logger, c Config) *Client {
	client := &Client{loop: l, limits: lim, log: log, cfg: c, replica: c.IngressIndex % len(c.Replicas), logsNextConnect: true,
		rng: rand.New(rand.NewPCG(c.Seed, uint64(c.IngressIndex)))}
	client.dial()
	client.scheduleTick()
	return client
}

// Replica returns the address of the connected replica, empty until it has sent a message.
func (c *Client) Replica() string {
	if c.conn == nil || !c.conn.hasReceived {
		return ""
	}
	return c.cfg.Replicas[c.replica]
}

// Counts returns the totals so far.
func (c *Client) Counts() Counts { return c.counts }

// Send sends messages that the member produced outside of the client. They are dropped if no replica is connected.
func (c *Client) Send(messages []controlgroup.Message) {
	if c.conn != nil && c.conn.isUp {
		c.conn.send(messages)
	}
	c.scheduleTick()
}

// Close closes the connection by a reset, so that the leases are not taken for given up. It is safe on nil and after GiveUp.
func (c *Client) Close() {
	if c == nil || c.isClosed {
		return
	}
	c.stop()
	c.conn.reset()
	c.conn = nil
	c.runGiveUpCallback()
}

// GiveUp makes the member give up its leases and closes the connection in the orderly way, which the replica takes as proof of
// it. The caller must have stopped using the share of joint budgets before. GiveUp calls done, unless it is nil, once the
// replica has closed its side, the connection has failed or ControlReleaseTimeout has passed; at once if no replica is
// connected. It is safe on nil.
func (c *Client) GiveUp(done func()) {
	if done == nil {
		done = func() {}
	}
	if c == nil || c.isClosed {
		done()
		return
	}
	c.stop()
	c.onGaveUp = done
	c.cfg.Member.GiveUp(c.loop.Now()) // its messages are not needed: the end of the connection says the same
	if c.conn == nil || !c.conn.isUp {
		c.conn.reset()
		c.conn = nil
		c.runGiveUpCallback()
		return
	}
	c.giveUpTimer = c.loop.After(c.limits.ControlReleaseTimeout, c.finishGiveUp)
	c.conn.closeGracefully()
}

// stop ends redials and ticks.
func (c *Client) stop() {
	c.isClosed = true
	c.redialTimer.Stop()
	c.tickTimer.Stop()
}

// finishGiveUp closes the connection of GiveUp, once the replica has closed its side or the timeout has passed. The FIN was
// already sent, unless the replica did not read the messages that are sent before it.
func (c *Client) finishGiveUp() {
	if c.conn != nil {
		c.conn.close()
		c.conn = nil
	}
	c.runGiveUpCallback()
}

// runGiveUpCallback stops the timer of GiveUp and calls its callback, at most once.
func (c *Client) runGiveUpCallback() {
	c.giveUpTimer.Stop()
	if done := c.onGaveUp; done != nil {
		c.onGaveUp = nil
		done()
	}
}

// noDeadline is returned by Member.Due if no tick is due.
const noDeadline = time.Duration(math.MaxInt64)

// scheduleTick sets the timer for the member's next tick.
func (c *Client) scheduleTick() {
	at := c.cfg.Member.Due()
	if c.isClosed || at == c.tickAt {
		return
	}
	c.tickTimer.Stop()
	c.tickAt, c.tickTimer = at, nil
	if at < noDeadline {
		c.tickTimer = c.loop.At(at, c.tick)
	}
}

// tick lets the member act on its timeouts and sends its messages.
func (c *Client) tick() {
	c.tickAt = 0
	now := c.loop.Now()
	c.Send(c.cfg.Member.Tick(now))
	c.cfg.OnChange(now)
}

// dial starts a connection to the current replica. If that fails at once, the replica counts as lost.
func (c *Client) dial() {
	conn := &connection{client: c}
	fd, err := loop.Dial(c.cfg.Replicas[c.replica])
	if err == nil {
		conn.source, err = c.loop.Watch(fd, loop.Out|loop.Hangup, conn)
		if err != nil {
			loop.CloseFD(fd)
		}
	}
	if err != nil {
		c.scheduleRedial(err)
		return
	}
	c.conn = conn
	conn.startSilenceTimer(c.limits.ControlDialTimeout)
}

// handleConnected sends the member's first messages on an established connection. The replica counts as working only once it
// has sent a message.
func (c *Client) handleConnected() {
	c.counts.Connections++
	c.conn.startSilenceTimer(c.limits.ControlFirstMessageTimeout)
	c.conn.send(c.cfg.Member.Connected(c.loop.Now()))
	c.scheduleTick()
}

// handleActive records that the replica has sent a message, which resets the backoff.
func (c *Client) handleActive() {
	c.backoff, c.conn.hasReceived = 0, true
	if c.logsNextConnect {
		c.log.Info("control replica connected", "replica", c.cfg.Replicas[c.replica])
	}
	c.isFailing, c.logsNextConnect = false, false
}

// fail resets the connection and, unless the client is closed, schedules a connection to the next replica.
func (c *Client) fail(cause error) {
	wasUp := c.conn.isUp
	c.conn.reset()
	c.conn = nil
	if c.isClosed {
		c.runGiveUpCallback()
		return
	}
	now := c.loop.Now()
	if wasUp {
		c.cfg.Member.Disconnected(now)
	}
	c.scheduleRedial(cause)
	c.scheduleTick()
	c.cfg.OnChange(now)
}

// lossLogInterval is the minimum time between two warnings that a replica was lost.
const lossLogInterval = 10 * time.Second

// scheduleRedial schedules a connection to the next replica. The backoff doubles with each failure in a row; the wait is
// random, from a tenth of it to all of it, since all ingresses of a replica lose it at the same time.
func (c *Client) scheduleRedial(cause error) {
	if now := c.loop.Now(); !c.isFailing && (c.lastLossLogged == 0 || now-c.lastLossLogged > lossLogInterval) {
		c.lastLossLogged, c.logsNextConnect = now, true
		c.log.Warn("control replica lost", "replica", c.cfg.Replicas[c.replica], "cause", cause)
	}
	c.isFailing = true
	c.replica = (c.replica + c.replicaStep()) % len(c.cfg.Replicas)
	c.backoff = min(max(2*c.backoff, c.limits.InitialBackoff), c.limits.MaxBackoff)
	wait := time.Duration((0.1 + 0.9*c.rng.Float64()) * float64(c.backoff))
	c.redialTimer = c.loop.After(wait, c.dial)
}

// replicaStep returns the distance to the next replica, modulo their number. Half of the ingresses of a replica go through
// the list forwards and half backwards, so that the ingresses of a lost replica are spread over both of its neighbours.
func (c *Client) replicaStep() int {
	n := len(c.cfg.Replicas)
	if c.cfg.IngressIndex/n%2 == 1 {
		return n - 1
	}
	return 1
}

// Reasons to close a connection to a replica that are not network errors.
var (
	errSilent     = errors.New("silent")
	errNotReading = errors.New("replica does not read what is sent to it")
)
