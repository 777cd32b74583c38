// Package peers carries the messages of the membership between ingresses: datagrams of at most 256 bytes, which
// may be lost or late. It decides nothing: what comes in goes to the node, and what that wants sent goes out.
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

// Counts are of messages, from the start of the process.
type Counts struct {
	Sent     uint64 // handed to the network
	Received uint64 // read and understood
	Dropped  uint64 // not read, for want of sense or over the bound a second; not sent, for want of an address or room

	SentBytes, ReceivedBytes uint64 // of what was sent, and of all that came
}

// Transport is the transport of one member, and drives its node.
type Transport struct {
	loop            *loop.Loop
	bounds          limits.Limits
	log             *slog.Logger
	node            *membership.Node
	source          *loop.Source
	addrs           map[string]loop.UDPAddress
	timer           *loop.Timer
	tickInterval    time.Duration
	counts          Counts
	dropLoggedAt    time.Duration
	window          time.Duration // that is being counted,
	windowCount     int           // and what was taken in of it
	reportedVersion uint64        // version of the view as last told
	onChange        func(now time.Duration)
	appPrefix       byte
	onAppMessage    func(b []byte) error
	isReachable     func(name string) bool
}

// Config says where a member is and where the others are, by name. Every is between ticks of the node; Change is
// called when the view may have changed what it says, and on each tick.
type Config struct {
	Listen       string
	Addrs        map[string]string
	TickInterval time.Duration
	OnChange     func(now time.Duration)
	AppPrefix    byte                 // of the first byte of messages that are not the membership's,
	OnAppMessage func(b []byte) error // which are given to this; nil: there are none
	// IsReachable tells whether messages to and from a member get through; nil: all do. It stands in for a network.
	IsReachable func(name string) bool
}

// Open begins to listen, and joins by all the others.
func Open(l *loop.Loop, lim limits.Limits, log *slog.Logger, node *membership.Node, c Config) (*Transport, error) {
	p := &Transport{loop: l, bounds: lim, log: log, node: node, addrs: map[string]loop.UDPAddress{}, tickInterval: c.TickInterval, onChange: c.OnChange,
		appPrefix: c.AppPrefix, onAppMessage: c.OnAppMessage, isReachable: c.IsReachable}
	var seeds []string
	for name, addr := range c.Addrs {
		to, err := loop.ParseUDPAddress(addr)
		if err != nil {
			return nil, fmt.Errorf("peers.%s: %w", name, err)
		}
		p.addrs[name] = to
		seeds = append(seeds, name)
	}
	fd, err := loop.ListenUDP(c.Listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	if p.source, err = l.Watch(fd, loop.In, p); err != nil {
		loop.CloseFD(fd)
		return nil, err
	}
	p.handle(membership.Join{Seeds: seeds})
	p.tick()
	return p, nil
}

// Counts tells what went and came so far.
func (p *Transport) Counts() Counts { return p.counts }

// Node is the member's failure detector.
func (p *Transport) Node() *membership.Node { return p.node }

// Leave tells the others, once more each time it is called, that this member leaves for good.
func (p *Transport) Leave() { p.handle(membership.Leave{}) }

// ForceLeave tells the others that a member which is dead here is so for good.
func (p *Transport) ForceLeave(name string) { p.handle(membership.Gone{Name: name}) }

// Close says and hears no more. It is safe on nil.
func (p *Transport) Close() {
	if p != nil {
		p.timer.Stop()
		p.source.Close()
	}
}

func (p *Transport) tick() {
	p.timer = p.loop.After(p.tickInterval, p.tick)
	p.handle(membership.Tick{})
	p.onChange(p.loop.Now())
}

// Ready reads what has come, so many datagrams a turn: the others have theirs. Beyond the bound a second they
// are read and dropped, so that a flood costs little and old news does not queue before the new.
func (p *Transport) Ready(uint32) {
	now := p.loop.Now()
	if s := now.Truncate(time.Second); s != p.window {
		p.window, p.windowCount = s, 0
	}
	buf := p.loop.ReadBuffer()[:membership.Datagram+1]
	for range p.bounds.Datagrams {
		n, err := loop.ReceiveUDP(p.source.FD(), buf)
		if errors.Is(err, loop.ErrAgain) {
			break
		}
		if err != nil { // of an earlier send, such as nobody listening there
			continue
		}
		p.counts.ReceivedBytes += uint64(n)
		if p.windowCount >= p.bounds.DatagramsSecond {
			p.counts.Dropped++
			continue
		}
		if err := p.dispatch(buf[:n]); errors.Is(err, errUnreachable) {
			continue
		} else if err != nil {
			p.recordDrop("peer message not read", err)
			continue
		}
		p.windowCount++
		p.counts.Received++
	}
	if v := p.node.View().Version; v != p.reportedVersion {
		p.reportedVersion = v
		p.onChange(now)
	}
}

func (p *Transport) dispatch(b []byte) error {
	if p.onAppMessage != nil && len(b) > 0 && b[0] == p.appPrefix {
		return p.onAppMessage(b)
	}
	msg, err := membership.Parse(b)
	if err == nil {
		err = p.CheckSender(msg.From)
	}
	if err == nil {
		p.handle(membership.Received{Msg: msg})
	}
	return err
}

// CheckSender tells why a sender is not listened to: who has no address here can't be answered, and whatever names come
// must not fill memory.
func (p *Transport) CheckSender(name string) error {
	if _, ok := p.addrs[name]; !ok {
		return fmt.Errorf("sender %.16q is not among peers", name)
	}
	if p.isReachable != nil && !p.isReachable(name) {
		return errUnreachable
	}
	return nil
}

// errUnreachable tells that a message would not have come through.
var errUnreachable = errors.New("cut off")

func (p *Transport) handle(ev membership.Event) {
	for _, s := range p.node.Handle(p.loop.Now(), ev) {
		p.Send(s.To, membership.Append(nil, s.Msg))
	}
}

// Send sends a message to a member.
func (p *Transport) Send(name string, b []byte) {
	to, ok := p.addrs[name]
	if !ok {
		p.recordDrop("peer message not sent", fmt.Errorf("no address of %s", name))
		return
	}
	if p.isReachable != nil && !p.isReachable(name) {
		return
	}
	if err := loop.SendUDP(p.source.FD(), b, to); err != nil {
		p.counts.Dropped++ // as if lost on its way
		return
	}
	p.counts.Sent++
	p.counts.SentBytes += uint64(len(b))
}

// logInterval: messages that can't be read or sent are told of so often.
const logInterval = 10 * time.Second

func (p *Transport) recordDrop(what string, cause error) {
	p.counts.Dropped++
	if now := p.loop.Now(); p.dropLoggedAt == 0 || now-p.dropLoggedAt > logInterval {
		p.dropLoggedAt = now
		p.log.Warn(what, "cause", cause)
	}
}
