// Package peers carries membership messages between ingresses in UDP datagrams of at most membership.MaxDatagramBytes (256) bytes,
// which may be lost or delayed. The goroutine of the event loop owns a Transport. The package takes no decision on
// membership: it passes received messages to the membership node and sends the messages that the node returns.
package peers

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/membership"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// Counts are numbers of messages since the transport was opened.
type Counts struct {
	Sent     uint64 // given to the network
	Received uint64 // parsed and handled
	// Dropped counts received messages that were malformed, from an unknown sender or above the limit per second, and
	// messages not sent because the address was unknown or the send failed, as when the socket's buffer was full.
	Dropped uint64

	// SentBytes are of the messages sent, ReceivedBytes of all that arrived, including dropped ones.
	SentBytes, ReceivedBytes uint64
}

// Transport is a member's socket. It drives the member's node: with received messages, and with a tick at an interval.
type Transport struct {
	loop            *loop.Loop
	bounds          limits.Limits
	log             *slog.Logger
	node            *membership.Node
	source          *loop.Source
	addrs           map[string]loop.UDPAddress // by member name
	tickTimer       *loop.Timer                // for the next tick
	tickInterval    time.Duration
	counts          Counts
	dropLoggedAt    time.Duration // time of the last warning of a drop, 0: never
	windowStart     time.Duration // start of the second in which messages are being counted
	windowCount     int           // messages accepted in that second
	reportedVersion uint64        // view version at the last onChange that a received message caused
	onChange        func(now time.Duration)
	appPrefix       byte
	onAppMessage    func(b []byte) error
	isReachable     func(name string) bool
}

// Config is the configuration of a Transport.
type Config struct {
	Listen       string                  // ip:port
	Addrs        map[string]string       // ip:port of each other member, by name
	TickInterval time.Duration           // between ticks of the node
	OnChange     func(now time.Duration) // called on each tick and when a received message has changed the view

	AppPrefix byte // first byte of application messages, which share the socket with those of the membership
	// OnAppMessage receives each application message; nil: there are none. The message is valid only during the call. An
	// error drops it.
	OnAppMessage func(b []byte) error
	// IsReachable reports whether messages to and from a member get through; nil: always. It simulates a network partition.
	IsReachable func(name string) bool
}

// Open starts to listen and sends a join request to all other members. It fails if an address is malformed or the socket
// can't be opened or watched.
func Open(l *loop.Loop, bounds limits.Limits, log *slog.Logger, node *membership.Node, c Config) (*Transport, error) {
	t := &Transport{loop: l, bounds: bounds, log: log, node: node, addrs: map[string]loop.UDPAddress{},
		tickInterval: c.TickInterval, onChange: c.OnChange,
		appPrefix: c.AppPrefix, onAppMessage: c.OnAppMessage, isReachable: c.IsReachable}
	var seeds []string
	for name, addr := range c.Addrs {
		to, err := loop.ParseUDPAddress(addr)
		if err != nil {
			return nil, fmt.Errorf("peers.%s: %w", name, err)
		}
		t.addrs[name] = to
		seeds = append(seeds, name)
	}
	fd, err := loop.ListenUDP(c.Listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	if t.source, err = l.Watch(fd, loop.In, t); err != nil {
		loop.CloseFD(fd)
		return nil, err
	}
	t.handle(membership.Join{Seeds: seeds})
	t.onTick()
	return t, nil
}

// Counts returns the numbers of messages so far.
func (t *Transport) Counts() Counts { return t.counts }

// Node returns the membership node.
func (t *Transport) Node() *membership.Node { return t.node }

// Leave announces to the others that this member leaves permanently. Messages may be lost, so it may be called repeatedly.
func (t *Transport) Leave() { t.handle(membership.Leave{}) }

// ForceLeave announces to the others that a member, dead in this member's view, has left permanently.
func (t *Transport) ForceLeave(name string) { t.handle(membership.ForceLeave{Name: name}) }

// Close stops the ticks and closes the socket. It is safe on nil.
func (t *Transport) Close() {
	if t != nil {
		t.tickTimer.Stop()
		t.source.Close()
	}
}

// onTick gives the node a tick, calls onChange and sets the timer for the next tick.
func (t *Transport) onTick() {
	t.tickTimer = t.loop.After(t.tickInterval, t.onTick)
	t.handle(membership.Tick{})
	t.onChange(t.loop.Now())
}

// Ready reads received datagrams, a limited number per turn of the loop, so that other descriptors are served, too. Those
// above MaxDatagramsPerSecond are read and dropped: a flood then costs little, and old messages don't queue ahead of new
// ones.
func (t *Transport) Ready(uint32) {
	now := t.loop.Now()
	if s := now.Truncate(time.Second); s != t.windowStart {
		t.windowStart, t.windowCount = s, 0
	}
	// One byte more than the longest message, so that a longer datagram is recognized as malformed.
	buf := t.loop.ReadBuffer()[:membership.MaxDatagramBytes+1]
	for range t.bounds.MaxDatagramsPerTurn {
		n, err := loop.ReceiveUDP(t.source.FD(), buf)
		if errors.Is(err, loop.ErrAgain) {
			break
		}
		if err != nil { // the error of an earlier send, such as a closed port at the receiver
			continue
		}
		t.counts.ReceivedBytes += uint64(n)
		if t.windowCount >= t.bounds.MaxDatagramsPerSecond {
			t.counts.Dropped++
			continue
		}
		if err := t.dispatch(buf[:n]); errors.Is(err, errUnreachable) {
			continue
		} else if err != nil {
			t.recordDrop("peer message not read", err)
			continue
		}
		t.windowCount++
		t.counts.Received++
	}
	if v := t.node.View().Version; v != t.reportedVersion {
		t.reportedVersion = v
		t.onChange(now)
	}
}

// dispatch gives a datagram to onAppMessage or to the node. It returns an error if the message is malformed or its sender is
// not accepted.
func (t *Transport) dispatch(b []byte) error {
	if t.onAppMessage != nil && len(b) > 0 && b[0] == t.appPrefix {
		return t.onAppMessage(b)
	}
	msg, err := membership.Parse(b)
	if err == nil {
		err = t.CheckSender(msg.From)
	}
	if err == nil {
		t.handle(membership.Received{Msg: msg})
	}
	return err
}

// CheckSender returns an error if messages from a sender are not accepted: it has no configured address, or IsReachable
// denies it. A sender without an address can't be answered, and arbitrary names must not fill memory.
func (t *Transport) CheckSender(name string) error {
	if _, ok := t.addrs[name]; !ok {
		return fmt.Errorf("sender %.16q is not a configured peer", name)
	}
	if t.isReachable != nil && !t.isReachable(name) {
		return errUnreachable
	}
	return nil
}

// errUnreachable is the error of a message that a simulated network would not have delivered. Such a message counts
// neither as received nor as dropped.
var errUnreachable = errors.New("peer is unreachable")

// handle gives an event to the node and sends the messages that it returns.
func (t *Transport) handle(ev membership.Event) {
	for _, s := range t.node.Handle(t.loop.Now(), ev) {
		t.Send(s.To, membership.Append(nil, s.Msg))
	}
}

// Send sends a message to a member. It reports no failure: a message that can't be sent counts as dropped. To a member that
// IsReachable denies nothing is sent or counted.
func (t *Transport) Send(name string, b []byte) {
	to, ok := t.addrs[name]
	if !ok {
		t.recordDrop("peer message not sent", fmt.Errorf("no address is configured for %s", name))
		return
	}
	if t.isReachable != nil && !t.isReachable(name) {
		return
	}
	if err := loop.SendUDP(t.source.FD(), b, to); err != nil {
		t.counts.Dropped++ // not logged: like a datagram lost in the network
		return
	}
	t.counts.Sent++
	t.counts.SentBytes += uint64(len(b))
}

// logInterval is the minimum time between two warnings of dropped messages.
const logInterval = 10 * time.Second

// recordDrop counts a dropped message and logs it at most once per logInterval.
func (t *Transport) recordDrop(message string, cause error) {
	t.counts.Dropped++
	if now := t.loop.Now(); t.dropLoggedAt == 0 || now-t.dropLoggedAt > logInterval {
		t.dropLoggedAt = now
		t.log.Warn(message, "cause", cause)
	}
}
