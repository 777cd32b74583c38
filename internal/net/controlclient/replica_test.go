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

// member records the calls of the client and answers as a test defines.
type member struct {
	connected, disconnected int
	received                []controlgroup.Message
	ticks                   int
	due                     time.Duration
	answer                  func(controlgroup.Message) ([]controlgroup.Message, error)
	hasGivenUp              bool
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
	m.hasGivenUp = true
	return []controlgroup.Message{renew(9999)}
}

func renew(sequence uint64) controlgroup.Renew {
	return controlgroup.Renew{Member: 4, Incarnation: 7, Sequence: sequence}
}

func grant(sequence uint64) controlgroup.Grant {
	return controlgroup.Grant{Member: 4, Incarnation: 7, Sequence: sequence, Settings: time.Second, Share: time.Minute,
		Renewal: 100 * time.Millisecond, Term: 3}
}

// replica is a fake control replica that serves each connection by a function and records the messages and how each connection
// ended.
type replica struct {
	addr            string
	mu              sync.Mutex
	received        []controlgroup.Message
	closeErrors     []error // by connection; io.EOF: ended in the orderly way
	connectionCount int
}

// newReplica returns a replica that calls serve for each connection, the first being number 1, and reads each until it ends.
func newReplica(t *testing.T, serve func(c net.Conn, number int)) *replica {
	r := &replica{}
	r.start(t, serve)
	return r
}

// newAnsweringReplica returns a replica that answers each message with a grant.
func newAnsweringReplica(t *testing.T) *replica {
	r := &replica{}
	r.start(t, r.answerEach)
	return r
}

func (r *replica) start(t *testing.T, serve func(c net.Conn, number int)) {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	r.addr = nettest.Serve(t, func(c net.Conn) {
		r.mu.Lock()
		r.connectionCount++
		number := r.connectionCount
		r.mu.Unlock()
		go func() {
			<-stop
			_ = c.Close()
		}()
		go serve(c, number)
		r.read(c)
	})
}

func (r *replica) read(c net.Conn) {
	var buf []byte
	chunk := make([]byte, 4096)
	for {
		n, err := c.Read(chunk)
		buf = append(buf, chunk[:n]...)
		r.mu.Lock()
		for {
			m, rest, bad := controlgroup.Next(buf)
			if m == nil || bad != nil {
				break
			}
			r.received, buf = append(r.received, m), rest
		}
		if err != nil {
			r.closeErrors = append(r.closeErrors, err)
			r.mu.Unlock()
			_ = c.Close()
			return
		}
		r.mu.Unlock()
	}
}

// answerEach writes a grant for each received message, until the connection ends.
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

func (r *replica) closedWith() []error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]error(nil), r.closeErrors...)
}

func (r *replica) messages() []controlgroup.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]controlgroup.Message(nil), r.received...)
}

func (r *replica) connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connectionCount
}

// sendMessages returns a serve function that writes the messages.
func sendMessages(messages ...controlgroup.Message) func(net.Conn, int) {
	return func(c net.Conn, _ int) {
		var b []byte
		for _, m := range messages {
			b = controlgroup.Append(b, m)
		}
		_, _ = c.Write(b)
	}
}

func version(number uint64) versions.Version { return versions.Version{Number: number, Hash: 1} }
