package standin

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Links carry the datagrams between ingresses, each pair and direction by a socket of its own, and lose, hold up or
// cut what they are told to. An ingress reaches another only by the link from it to that one.
type Links struct {
	listen []string
	socks  [][]*net.UDPConn // by sender and receiver

	mu     sync.Mutex
	cut    func(from, to int) bool
	loss   float64
	delay  time.Duration
	sent   int // datagrams taken from ingresses
	closed sync.WaitGroup
}

// NewLinks opens those between n ingresses.
func NewLinks(n int) (*Links, error) {
	l := &Links{socks: make([][]*net.UDPConn, n)}
	for range n {
		addr, err := Free()
		if err != nil {
			return nil, err
		}
		l.listen = append(l.listen, addr)
	}
	for from := range n {
		for to := range n {
			var conn *net.UDPConn
			if from != to {
				var err error
				if conn, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
					l.Close()
					return nil, err
				}
				target, err := net.ResolveUDPAddr("udp4", l.listen[to])
				if err != nil {
					l.Close()
					return nil, err
				}
				l.closed.Add(1)
				go l.carry(conn, from, to, target)
			}
			l.socks[from] = append(l.socks[from], conn)
		}
	}
	return l, nil
}

// Listen is where an ingress takes messages.
func (l *Links) Listen(me int) string { return l.listen[me] }

// Peers are the addresses at which an ingress reaches each other, by number; its own is where it listens.
func (l *Links) Peers(me int) (addrs []string) {
	for to, conn := range l.socks[me] {
		if to == me {
			addrs = append(addrs, l.listen[me])
		} else {
			addrs = append(addrs, conn.LocalAddr().String())
		}
	}
	return addrs
}

// Set says what becomes of messages from now on: cut tells which never arrive, nil: none.
func (l *Links) Set(cut func(from, to int) bool, loss float64, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.loss, l.delay = cut, loss, delay
}

// Carried tells how many messages ingresses have sent.
func (l *Links) Carried() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

func (l *Links) carry(conn *net.UDPConn, from, to int, target *net.UDPAddr) {
	defer l.closed.Done()
	b := make([]byte, 2048)
	for {
		n, err := conn.Read(b)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.sent++
		lost, delay := l.cut != nil && l.cut(from, to) || rand.Float64() < l.loss, l.delay
		l.mu.Unlock()
		switch {
		case lost:
		case delay == 0:
			_, _ = conn.WriteToUDP(b[:n], target) // nobody listening is a loss, too
		default:
			msg := append([]byte(nil), b[:n]...)
			time.AfterFunc(delay, func() { _, _ = conn.WriteToUDP(msg, target) })
		}
	}
}

// Close ends them. It is safe on nil.
func (l *Links) Close() {
	if l == nil {
		return
	}
	for _, row := range l.socks {
		for _, conn := range row {
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
	l.closed.Wait()
}
