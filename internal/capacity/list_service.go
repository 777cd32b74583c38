package capacity

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"ferryfront.example/ferryfront/internal/net/loop"
)

// listServer is one server of the list, as discovery encodes it.
type listServer struct {
	ID      string
	Addr    string
	Zone    string
	Cell    int
	State   string
	Started int64 // Unix time of its last start in milliseconds, 0: long ago
}

// append encodes the entry in discovery's form.
func (s listServer) append(b []byte) []byte {
	return fmt.Appendf(b, `{"id":%q,"addr":%q,"zone":%q,"kind":"m2","cell":%d,"state":%q,"weight":1.0,"started_ms":%d}`,
		s.ID, s.Addr, s.Zone, s.Cell, s.State, s.Started)
}

// Shape of the listed servers: zones, and how many servers share a cell.
const (
	listZones      = 7
	serversPerCell = 24
)

// listedServers returns n servers with distinct names, spread over the zones.
func listedServers(n int) []listServer {
	servers := make([]listServer, n)
	for i := range servers {
		servers[i] = listServer{
			ID:    fmt.Sprintf("s-%08x", uint32(i+1)*2654435761),
			Addr:  fmt.Sprintf("10.%d.%d.%d:8443", 1+i%listZones, i/listZones/250, 1+i/listZones%250),
			Zone:  string(rune('a' + i%listZones)),
			Cell:  i / serversPerCell,
			State: "Ready",
		}
	}
	return servers
}

// appendListMessage encodes one message of discovery, on a line of its own.
func appendListMessage(b []byte, version uint64, full bool, servers []listServer) []byte {
	b = fmt.Appendf(b, `{"version":%d,"full":%t,"servers":[`, version, full)
	for i, s := range servers {
		if i > 0 {
			b = append(b, ',')
		}
		b = s.append(b)
	}
	return append(b, "]}\n"...)
}

// chunk frames a message as one chunk of an HTTP/1.1 body.
func chunk(message []byte) []byte {
	b := strconv.AppendInt(nil, int64(len(message)), 16)
	b = append(b, "\r\n"...)
	b = append(b, message...)
	return append(b, "\r\n"...)
}

// watchHead begins the answer to a watch.
const watchHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

// sendBuffer bounds what the kernel holds of one watch's answer, so that hundreds of whole lists under way at a time
// fit the memory of a test machine.
const sendBuffer = 256 << 10

// listService stands in for discovery at the sizes of a large fleet. It encodes a message once for all watches, and
// its own thread serves all of them, so that the thread's processor time is the service's. A watch that names the
// present version is sent changes only, any other the whole list.
type listService struct {
	loop     *loop.Loop
	addr     string
	ended    chan error
	listener *loop.Source

	// Owned by the loop.
	version uint64
	whole   []byte // the whole list as one chunk
	watches map[*servedWatch]bool
	sent    int64         // bytes written
	idle    time.Duration // processor time that the thread had spent before
}

// newListService starts a service that lists these servers as version 1.
func newListService(servers []listServer) (*listService, error) {
	l, err := loop.New()
	if err != nil {
		return nil, err
	}
	fd, err := loop.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &listService{loop: l, ended: make(chan error, 1), version: 1, watches: map[*servedWatch]bool{},
		whole: chunk(appendListMessage(nil, 1, true, servers))}
	if s.addr, err = loop.LocalAddress(fd); err != nil {
		return nil, err
	}
	if s.listener, err = l.Watch(fd, loop.In, s); err != nil {
		return nil, err
	}
	go func() {
		s.ended <- runOnThread(l, func() { s.idle = threadCPU() })
	}()
	return s, nil
}

// noTurn is the Turner of a loop without a decision module.
type noTurn struct{}

// Turn asks for no further turn.
func (noTurn) Turn(time.Duration) time.Duration { return 0 }

// runOnThread runs a loop on a thread that runs nothing else meanwhile. It calls begin there first.
func runOnThread(l *loop.Loop, begin func()) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	begin()
	return l.Run(noTurn{})
}

// onLoop runs f within a turn of a loop, and returns when it has run.
func onLoop(l *loop.Loop, f func()) {
	done := make(chan struct{})
	l.Post(func() {
		defer close(done)
		f()
	})
	<-done
}

// threadCPU is the processor time of the calling thread.
func threadCPU() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		return 0 // the clock exists on every Linux this program runs on
	}
	return time.Duration(t.Nano())
}

// usage is what the service has spent since its start.
type usage struct {
	cpu   time.Duration
	bytes int64
}

func (u usage) since(before usage) usage { return usage{u.cpu - before.cpu, u.bytes - before.bytes} }

// spent returns the service's usage.
func (s *listService) spent() (u usage) {
	onLoop(s.loop, func() { u = usage{threadCPU() - s.idle, s.sent} })
	return u
}

// publish sends a change to all watches, encoded once. It returns the new version.
func (s *listService) publish(changed []listServer) (version uint64) {
	onLoop(s.loop, func() {
		s.version++
		version = s.version
		message := chunk(appendListMessage(nil, s.version, false, changed))
		for w := range s.watches {
			w.send(message)
		}
	})
	return version
}

// close ends the service and its watches.
func (s *listService) close() error {
	onLoop(s.loop, func() {
		s.listener.Close()
		for w := range s.watches {
			w.close()
		}
		s.loop.Stop()
	})
	return <-s.ended
}

// Ready accepts watches.
func (s *listService) Ready(uint32) {
	for {
		fd, err := loop.Accept(s.listener.FD())
		if err != nil {
			return
		}
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer) // else the kernel's own bound holds
		w := &servedWatch{service: s}
		if w.source, err = s.loop.Watch(fd, loop.In|loop.Hangup, w); err != nil {
			loop.CloseFD(fd)
		}
	}
}

// servedWatch is one connection to the service.
type servedWatch struct {
	service *listService
	source  *loop.Source
	request []byte
	pending [][]byte // shared between watches, so never written to
}

// Ready reads the request and goes on writing.
func (w *servedWatch) Ready(events uint32) {
	if events&(loop.In|loop.Hangup) != 0 && !w.read() {
		w.close()
		return
	}
	w.flush()
}

// read takes what has come and tells whether the connection is still of use.
func (w *servedWatch) read() bool {
	buf := w.service.loop.ReadBuffer()
	n, err := loop.Read(w.source.FD(), buf)
	if err != nil {
		return err == loop.ErrAgain
	}
	if w.service.watches[w] {
		return true
	}
	w.request = append(w.request, buf[:n]...)
	if bytes.HasSuffix(w.request, []byte("\r\n\r\n")) {
		w.begin()
	}
	return true
}

// begin answers the request.
func (w *servedWatch) begin() {
	s := w.service
	s.watches[w] = true
	w.pending = append(w.pending, []byte(watchHead))
	present := []byte("index=" + strconv.FormatUint(s.version, 10) + " ")
	if !bytes.Contains(w.request, present) {
		w.pending = append(w.pending, s.whole)
	}
}

func (w *servedWatch) send(message []byte) {
	w.pending = append(w.pending, message)
	w.flush()
}

// flush writes what the kernel takes.
func (w *servedWatch) flush() {
	for len(w.pending) > 0 && w.source.FD() >= 0 {
		n, err := loop.Write(w.source.FD(), w.pending[0])
		if err != nil {
			w.close()
			return
		}
		w.service.sent += int64(n)
		if n < len(w.pending[0]) {
			w.pending[0] = w.pending[0][n:]
			w.source.SetEvents(loop.In | loop.Out | loop.Hangup)
			return
		}
		w.pending = w.pending[1:]
	}
	w.source.SetEvents(loop.In | loop.Hangup)
}

func (w *servedWatch) close() {
	w.source.Close()
	delete(w.service.watches, w)
}
