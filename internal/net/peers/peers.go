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
	loop   *loop.Loop
	lim    limits.Limits
	log    *slog.Logger
	node   *membership.Node
	src    *loop.Source
	addrs  map[string]loop.UDPAddress
	timer  *loop.Timer
	every  time.Duration
	counts Counts
	told   time.Duration
	second time.Duration // that is being counted,
	taken  int           // and what was taken in of it
	seen   uint64        // version of the view as last told
	change func(now time.Duration)
	mark   byte
	other  func(b []byte) error
	reach  func(name string) bool
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
	p := &Transport{loop: l, lim: lim, log: log, node: node, addrs: map[string]loop.UDPAddress{}, every: c.TickInterval, change: c.OnChange,
		mark: c.AppPrefix, other: c.OnAppMessage, reach: c.IsReachable}
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
	if p.src, err = l.Watch(fd, loop.In, p); err != nil {
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
		p.src.Close()
	}
}

func (p *Transport) tick() {
	p.timer = p.loop.After(p.every, p.tick)
	p.handle(membership.Tick{})
	p.change(p.loop.Now())
}

// Ready reads what has come, so many datagrams a turn: the others have theirs. Beyond the bound a second they
// are read and dropped, so that a flood costs little and old news does not queue before the new.
func (p *Transport) Ready(uint32) {
	now := p.loop.Now()
	if s := now.Truncate(time.Second); s != p.second {
		p.second, p.taken = s, 0
	}
	buf := p.loop.ReadBuffer()[:membership.Datagram+1]
	for range p.lim.MaxDatagramsPerTurn {
		n, err := loop.ReceiveUDP(p.src.FD(), buf)
		if errors.Is(err, loop.ErrAgain) {
			break
		}
		if err != nil { // of an earlier send, such as nobody listening there
			continue
		}
		p.counts.ReceivedBytes += uint64(n)
		if p.taken >= p.lim.MaxDatagramsPerSecond {
			p.counts.Dropped++
			continue
		}
		if err := p.take(buf[:n]); errors.Is(err, errCut) {
			continue
		} else if err != nil {
			p.drop("peer message not read", err)
			continue
		}
		p.taken++
		p.counts.Received++
	}
	if v := p.node.View().Version; v != p.seen {
		p.seen = v
		p.change(now)
	}
}

func (p *Transport) take(b []byte) error {
	if p.other != nil && len(b) > 0 && b[0] == p.mark {
		return p.other(b)
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
	if p.reach != nil && !p.reach(name) {
		return errCut
	}
	return nil
}

// errCut tells that a message would not have come through.
var errCut = errors.New("cut off")

func (p *Transport) handle(ev membership.Event) {
	for _, s := range p.node.Handle(p.loop.Now(), ev) {
		p.Send(s.To, membership.Append(nil, s.Msg))
	}
}

// Send sends a message to a member.
func (p *Transport) Send(name string, b []byte) {
	to, ok := p.addrs[name]
	if !ok {
		p.drop("peer message not sent", fmt.Errorf("no address of %s", name))
		return
	}
	if p.reach != nil && !p.reach(name) {
		return
	}
	if err := loop.SendUDP(p.src.FD(), b, to); err != nil {
		p.counts.Dropped++ // as if lost on its way
		return
	}
	p.counts.Sent++
	p.counts.SentBytes += uint64(len(b))
}

// logEvery: messages that can't be read or sent are told of so often.
const logEvery = 10 * time.Second

func (p *Transport) drop(what string, cause error) {
	p.counts.Dropped++
	if now := p.loop.Now(); p.told == 0 || now-p.told > logEvery {
		p.told = now
		p.log.Warn(what, "cause", cause)
	}
}
