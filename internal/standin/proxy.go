package standin

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// ProxyFault is what a proxy does to the connections that it carries. The zero value does nothing.
type ProxyFault struct {
	Stall bool          // nothing is passed on, and no end
	Late  time.Duration // before each piece is passed on
	Piece int           // bytes that are passed on at a time, 0: as they come
	Cut   float64       // part of the pieces after which both sides are closed in the orderly way
	Reset float64       // and of those after which both are reset
	Deaf  bool          // new connections are closed at once
}

// Proxy carries connections to a target and disturbs them as it is told to.
type Proxy struct {
	target string
	ln     net.Listener

	mu      sync.Mutex
	changed *sync.Cond
	fault   ProxyFault
	closed  bool
	conns   map[net.Conn]struct{}
	running sync.WaitGroup
}

// NewProxy listens at a free port of loopback.
func NewProxy(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, ln: ln, conns: map[net.Conn]struct{}{}}
	p.changed = sync.NewCond(&p.mu)
	p.running.Go(p.accept)
	return p, nil
}

// Addr is where it listens.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Set changes what it does from now on.
func (p *Proxy) Set(f ProxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.changed.Broadcast()
}

// Close ends it and all that it carries.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.changed.Broadcast()
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	_ = p.ln.Close()
	p.running.Wait()
}

func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.running.Go(func() { p.carry(c) })
	}
}

// keep has a connection closed with the proxy; it tells whether it still runs.
func (p *Proxy) keep(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.conns[c] = struct{}{}
	}
	return !p.closed
}

func (p *Proxy) drop(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

func (p *Proxy) carry(ours net.Conn) {
	defer p.drop(ours)
	if !p.keep(ours) || p.current().Deaf {
		return
	}
	theirs, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(ours)
		return
	}
	defer p.drop(theirs)
	if !p.keep(theirs) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(ours, theirs) })
	both.Go(func() { p.copy(theirs, ours) })
	both.Wait()
}

func (p *Proxy) current() ProxyFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// unstalled waits until something may be passed on. It tells what is done to it, and whether the proxy still runs.
func (p *Proxy) unstalled() (ProxyFault, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.fault.Stall && !p.closed {
		p.changed.Wait()
	}
	return p.fault, !p.closed
}

// copy passes on one direction until its end, which ends the other side's sending.
func (p *Proxy) copy(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !p.pass(from, to, buf[:n]) {
			return
		}
		if err != nil {
			if _, running := p.unstalled(); running {
				_ = to.(*net.TCPConn).CloseWrite()
			}
			return
		}
	}
}

// pass passes on what was read, piece by piece. It tells whether the connection goes on.
func (p *Proxy) pass(from, to net.Conn, b []byte) bool {
	for len(b) > 0 {
		f, running := p.unstalled()
		if !running {
			return false
		}
		time.Sleep(f.Late)
		piece := len(b)
		if f.Piece > 0 {
			piece = min(piece, f.Piece)
		}
		if _, err := to.Write(b[:piece]); err != nil {
			return false
		}
		b = b[piece:]
		switch x := rand.Float64(); {
		case x < f.Cut:
			_, _ = from.Close(), to.Close()
			return false
		case x < f.Cut+f.Reset:
			reset(from)
			reset(to)
			return false
		}
	}
	return true
}
