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
	limits limits.Limits
	log    *slog.Logger
	cfg    Config
	rng    *rand.Rand

	replica     int           // index of the one that is, or is to be, connected
	backoff     time.Duration // before the next connection; 0: the last one served
	conn        *connection   // nil between two
	redialTimer *loop.Timer
	tickTimer   *loop.Timer // the member's
	tickAt      time.Duration
	isClosed    bool

	counts          Counts
	isFailing       bool          // nothing was heard since the last failure
	lastLossLogged  time.Duration // when a loss was last logged
	logsNextConnect bool          // the next replica that is heard is to be logged
	giveUpTimer     *loop.Timer
	onGaveUp        func() // of GiveUp
}

// Open begins to connect to the ingress's first replica.
func Open(l *loop.Loop, lim limits.Limits, log *slog.Logger, c Config) *Client {
	client := &Client{loop: l, limits: lim, log: log, cfg: c, replica: c.IngressIndex % len(c.Replicas), logsNextConnect: true,
		rng: rand.New(rand.NewPCG(c.Seed, uint64(c.IngressIndex)))}
	client.dial()
	client.schedule()
	return client
}

// Replica is the address of the replica that is connected and has said something, empty: none has.
func (c *Client) Replica() string {
	if c.conn == nil || !c.conn.hasReceived {
		return ""
	}
	return c.cfg.Replicas[c.replica]
}

// Counts tells what went and came so far.
func (c *Client) Counts() Counts { return c.counts }

// Send sends messages of the member that came about outside of the client, if a replica is connected.
func (c *Client) Send(list []controlgroup.Message) {
	if c.conn != nil && c.conn.isUp {
		c.conn.send(list)
	}
	c.schedule()
}

// Close ends the connection by a reset: leases that are held may be held on.
func (c *Client) Close() {
	if c == nil || c.isClosed {
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
	if c == nil || c.isClosed {
		done()
		return
	}
	c.stop()
	c.onGaveUp = done
	c.cfg.Member.GiveUp(c.loop.Now()) // what that would send says no more than the end of the connection
	if c.conn == nil || !c.conn.isUp {
		c.conn.reset()
		c.conn = nil
		c.finish()
		return
	}
	c.giveUpTimer = c.loop.After(c.limits.ControlReleaseTimeout, c.finishGiveUp)
	c.conn.closeGracefully()
}

// stop connects no more and lets no more time pass for the member.
func (c *Client) stop() {
	c.isClosed = true
	c.redialTimer.Stop()
	c.tickTimer.Stop()
}

// finishGiveUp ends waiting for the replica's end. The connection's own end was sent, unless the replica reads nothing.
func (c *Client) finishGiveUp() {
	if c.conn != nil {
		c.conn.close()
		c.conn = nil
	}
	c.finish()
}

func (c *Client) finish() {
	c.giveUpTimer.Stop()
	if done := c.onGaveUp; done != nil {
		c.onGaveUp = nil
		done()
	}
}

// noDeadline is what a member is due at that waits for nothing.
const noDeadline = time.Duration(math.MaxInt64)

// schedule has the member ticked when it is due.
func (c *Client) schedule() {
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

func (c *Client) tick() {
	c.tickAt = 0
	now := c.loop.Now()
	c.Send(c.cfg.Member.Tick(now))
	c.cfg.OnChange(now)
}

// dial begins a connection to the replica whose turn it is.
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

// handleConnected: the connection is up. The replica counts as working only once it has said something.
func (c *Client) handleConnected() {
	c.counts.Connections++
	c.conn.startSilenceTimer(c.limits.ControlFirstMessageTimeout)
	c.conn.send(c.cfg.Member.Connected(c.loop.Now()))
	c.schedule()
}

// handleActive: the replica has sent a message.
func (c *Client) handleActive() {
	c.backoff, c.conn.hasReceived = 0, true
	if c.logsNextConnect {
		c.log.Info("control replica connected", "replica", c.cfg.Replicas[c.replica])
	}
	c.isFailing, c.logsNextConnect = false, false
}

// fail leaves the connection for the next replica.
func (c *Client) fail(cause error) {
	wasUp := c.conn.isUp
	c.conn.reset()
	c.conn = nil
	if c.isClosed {
		c.finish()
		return
	}
	now := c.loop.Now()
	if wasUp {
		c.cfg.Member.Disconnected(now)
	}
	c.scheduleRedial(cause)
	c.schedule()
	c.cfg.OnChange(now)
}

// lossLogInterval: replicas that fail again and again are logged so often.
const lossLogInterval = 10 * time.Second

// scheduleRedial goes on to another replica after a while: longer with each failure in a row, at a random instant of that while,
// since all ingresses of a replica lose it at once.
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

// replicaStep is how far the next replica is. Half of the ingresses of one go round the one way, half the other: so those of a
// replica that is lost are shared by its neighbours.
func (c *Client) replicaStep() int {
	n := len(c.cfg.Replicas)
	if c.cfg.IngressIndex/n%2 == 1 {
		return n - 1
	}
	return 1
}

// Causes of leaving a replica that are no errors of the connection.
var (
	errSilent     = errors.New("silent")
	errNotReading = errors.New("it does not read what is sent to it")
)
