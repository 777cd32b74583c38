package controlclient

import (
	"net"
	"sync"
	"testing"
	"time"

	"ferryfront.example/ferryfront/internal/controlgroup"
	"ferryfront.example/ferryfront/internal/net/nettest"
	"ferryfront.example/ferryfront/internal/versions"
)

// member notes what it is told, and wants to send what a test says.
type member struct {
	connected, disconnected int
	received                []controlgroup.Message
	ticks                   int
	due                     time.Duration
	answer                  func(controlgroup.Message) ([]controlgroup.Message, error)
	gaveUp                  bool
}

func (m *member) Connected(time.Duration) []controlgroup.Message {
	m.connected++
	return []controlgroup.Message{renew(uint64(m.connected))}
}
func (m *member) Disconnected(time.Duration) { m.disconnected++ }
func (m *member) Received(msg controlgroup.Message, _ time.Duration) ([]controlgroup.Message, error) {
	m.received = append(m.received, msg)
	if m.answer != nil {
		return m.answer(msg)
	}
	return nil, nil
}
func (m *member) Tick(now time.Duration) []controlgroup.Message {
	m.ticks++
	m.due = now + 10*time.Millisecond
	return []controlgroup.Message{renew(uint64(1000 + m.ticks))}
}
func (m *member) Due() time.Duration { return m.due }
func (m *member) GiveUp(time.Duration) []controlgroup.Message {
	m.gaveUp = true
	return []controlgroup.Message{renew(9999)}
}

func renew(sequence uint64) controlgroup.Renew {
	return controlgroup.Renew{Member: 4, Incarnation: 7, Sequence: sequence}
}

func grant(sequence uint64) controlgroup.Grant {
	return controlgroup.Grant{Member: 4, Incarnation: 7, Sequence: sequence, Settings: time.Second, Share: time.Minute,
		Renewal: 100 * time.Millisecond, Term: 3}
}

// replica is a stand-in for one: it has each connection served by a function, and notes how each has ended.
type replica struct {
	addr string
	mu   sync.Mutex
	seen []controlgroup.Message
	ends []error // io.EOF: in the orderly way
	came int
}

// newReplica serves each connection, the first being number 1, and then reads it until its end.
func newReplica(t *testing.T, serve func(c net.Conn, number int)) *replica {
	r := &replica{}
	r.start(t, serve)
	return r
}

// newAnsweringReplica answers each message with a grant.
func newAnsweringReplica(t *testing.T) *replica {
	r := &replica{}
	r.start(t, r.answerEach)
	return r
}

func (r *replica) start(t *testing.T, serve func(c net.Conn, number int)) {
	over := make(chan struct{})
	t.Cleanup(func() { close(over) })
	r.addr = nettest.Serve(t, func(c net.Conn) {
		r.mu.Lock()
		r.came++
		number := r.came
		r.mu.Unlock()
		go func() {
			<-over
			_ = c.Close()
		}()
		go serve(c, number)
		r.read(c)
	})
}

func (r *replica) read(c net.Conn) {
	var buf []byte
	room := make([]byte, 4096)
	for {
		n, err := c.Read(room)
		buf = append(buf, room[:n]...)
		r.mu.Lock()
		for {
			m, rest, bad := controlgroup.Next(buf)
			if m == nil || bad != nil {
				break
			}
			r.seen, buf = append(r.seen, m), rest
		}
		if err != nil {
			r.ends = append(r.ends, err)
			r.mu.Unlock()
			_ = c.Close()
			return
		}
		r.mu.Unlock()
	}
}

// answerEach writes a grant for each message that has come, until the connection ends.
func (r *replica) answerEach(c net.Conn, _ int) {
	for answered := 0; ; time.Sleep(time.Millisecond) {
		if len(r.messages()) == answered {
			continue
		}
		answered++
		if _, err := c.Write(controlgroup.Append(nil, grant(uint64(answered)))); err != nil {
			return
		}
	}
}

func (r *replica) ended() []error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]error(nil), r.ends...)
}

func (r *replica) messages() []controlgroup.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]controlgroup.Message(nil), r.seen...)
}

func (r *replica) connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.came
}

// says writes messages.
func says(list ...controlgroup.Message) func(net.Conn, int) {
	return func(c net.Conn, _ int) {
		var b []byte
		for _, m := range list {
			b = controlgroup.Append(b, m)
		}
		_, _ = c.Write(b)
	}
}

func version(number uint64) versions.Version { return versions.Version{Number: number, Hash: 1} }
