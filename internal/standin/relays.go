package standin

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"ferryfront.example/ferryfront/internal/net/tcpstate"
)

// Direction is that of bytes on a connection between an ingress and a replica of the control group.
type Direction int

// The directions.
const (
	ToReplica Direction = iota
	ToIngress
)

// Cut tells whether what an ingress and a replica send each other in a direction does not arrive.
type Cut func(ingress, replica int, way Direction) bool

// Relays stand between ingresses and the replicas of the control group, each pair by an address of its own, and hold up
// what they are told to. As on a network whose packets get lost, what is held up arrives when the cut is over: bytes,
// ends of connections and resets, each as what it was.
type Relays struct {
	listeners [][]net.Listener // by ingress and replica
	replicas  []string
	bytes     []atomic.Int64 // passed on in both directions, by ingress

	mu      sync.Mutex
	changed *sync.Cond
	cut     Cut
	closed  bool
	conns   map[net.Conn]struct{}
	running sync.WaitGroup
}

// NewRelays opens those between so many ingresses and the replicas at some addresses.
func NewRelays(ingresses int, replicas []string) (*Relays, error) {
	r := &Relays{replicas: replicas, bytes: make([]atomic.Int64, ingresses), conns: map[net.Conn]struct{}{}}
	r.changed = sync.NewCond(&r.mu)
	for i := range ingresses {
		r.listeners = append(r.listeners, nil)
		for k := range replicas {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				r.Close()
				return nil, err
			}
			r.listeners[i] = append(r.listeners[i], ln)
			r.running.Add(1)
			go r.accept(ln, i, k)
		}
	}
	return r, nil
}

// Addrs are the addresses at which an ingress reaches the replicas.
func (r *Relays) Addrs(ingress int) (addrs []string) {
	for _, ln := range r.listeners[ingress] {
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs
}

// Bytes tells how many were passed on to and from an ingress so far.
func (r *Relays) Bytes(ingress int) int64 { return r.bytes[ingress].Load() }

// Set says what does not arrive from now on; nil: everything does.
func (r *Relays) Set(cut Cut) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	r.changed.Broadcast()
}

// Close ends them, and all connections. It is safe on nil.
func (r *Relays) Close() {
	if r == nil {
		return
	}
	r.mu.Lock()
	r.closed = true
	r.changed.Broadcast()
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	for _, row := range r.listeners {
		for _, ln := range row {
			_ = ln.Close()
		}
	}
	r.running.Wait()
}

// pass waits until what goes in a direction arrives, and tells whether the relays are still there.
func (r *Relays) pass(ingress, replica int, way Direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.closed && r.cut != nil && r.cut(ingress, replica, way) {
		r.changed.Wait()
	}
	return !r.closed
}

// keep has a connection closed with the relays, and tells whether they are still there.
func (r *Relays) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = c.Close()
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *Relays) drop(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close()
}

func (r *Relays) accept(ln net.Listener, ingress, replica int) {
	defer r.running.Done()
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		r.running.Add(1)
		go r.carry(c, ingress, replica)
	}
}

// carry passes on a connection of an ingress, which comes up only while both directions pass.
func (r *Relays) carry(ours net.Conn, ingress, replica int) {
	defer r.running.Done()
	if !r.keep(ours) {
		return
	}
	defer r.drop(ours)
	if !r.pass(ingress, replica, ToReplica) || !r.pass(ingress, replica, ToIngress) {
		return
	}
	theirs, err := net.Dial("tcp", r.replicas[replica])
	if err != nil {
		reset(ours)
		return
	}
	if !r.keep(theirs) {
		return
	}
	defer r.drop(theirs)
	var both sync.WaitGroup
	for _, way := range []struct {
		from, to net.Conn
		way      Direction
	}{{ours, theirs, ToReplica}, {theirs, ours, ToIngress}} {
		both.Add(1)
		go func() {
			defer both.Done()
			r.copy(way.from, way.to, &r.bytes[ingress], func() bool { return r.pass(ingress, replica, way.way) })
		}()
	}
	both.Wait()
}

// copy passes on bytes, and the end as what it was.
func (r *Relays) copy(from, to net.Conn, bytes *atomic.Int64, pass func() bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !pass() {
			return
		}
		bytes.Add(int64(n))
		if _, bad := to.Write(buf[:n]); bad != nil && err == nil {
			return // its end comes the other way
		}
		if errors.Is(err, io.EOF) && !tcpstate.WasReset(from.(*net.TCPConn)) {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}
