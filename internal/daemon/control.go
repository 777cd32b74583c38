package daemon

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// The control socket: one JSON object asks, JSON objects answer, one a line. Who may open the socket may
// command the daemon; its folder's permissions and its own (0600) say who that is.

// Command is what a client of the control socket asks for.
type Command struct {
	Name   string `json:"do"`               // upgrade, status, members or leave
	Member string `json:"member,omitempty"` // of leave: another one, which is dead for good; empty: this one
}

// Status answers "status".
type Status struct {
	Name        string `json:"name"`
	Version     string `json:"version"`
	Pid         int    `json:"pid"`
	Phase       string `json:"phase"` // of an upgrade, idle without one
	Streams     int    `json:"streams"`
	Connections int    `json:"connections"`
	Upstreams   int    `json:"upstreams"`
	Customers   int    `json:"customers"`
	// ControlGroup is of the control group, null: there is none.
	ControlGroup *ControlGroupStatus `json:"control_group,omitempty"`
	Error        string              `json:"error,omitempty"`
}

// MembershipStatus answers "members": the view of one ingress, and what of joint budgets it takes.
type MembershipStatus struct {
	Name             string         `json:"name"`
	IsEnabled        bool           `json:"enabled"`
	ViewVersion      uint64         `json:"version"`
	Members          []MemberStatus `json:"members"`
	IsSettled        bool           `json:"settled"`     // it takes its share of ceilings
	AbsentMembers    []int          `json:"counted_out"` // ingresses that left for good, whose shares the others have
	MessagesSent     uint64         `json:"sent"`
	MessagesReceived uint64         `json:"received"`
	MessagesDropped  uint64         `json:"dropped"`

	BytesSent     uint64 `json:"sent_bytes"` // of all messages sent and received
	BytesReceived uint64 `json:"received_bytes"`

	ActiveVersions   []uint64 `json:"settings_acting"` // versions of the settings that it acts on together
	StaleMembers     []string `json:"settings_stale"`  // members not known to act on the newest
	RejectedVersions []string `json:"settings_rejected"`
	IsCutOff         bool     `json:"settings_cut_off"`
	DrainedHosts     []string `json:"drained"` // hosts that the operators drain, by any version of their list that is acted on
}

// MemberStatus is one ingress as another holds it.
type MemberStatus struct {
	Name        string `json:"name"` // its number
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
}

// controlServer is the socket's server. Each client has a goroutine of its own.
type controlServer struct {
	d        *Daemon
	listener *net.UnixListener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
}

const (
	commandTimeout    = 5 * time.Second // for a command to come
	maxControlClients = 16              // clients at a time
)

// openControl puts our socket where the settings say. A name that another of this ingress's processes has
// there becomes ours in one step, so that there is always one.
func (d *Daemon) openControl() error {
	if d.options.ControlSocket == "" {
		return nil
	}
	if d.asSuccessor == nil && d.controlServer == nil { // at a start, another daemon's socket is not to be taken
		if c, err := net.DialTimeout("unix", d.options.ControlSocket, time.Second); err == nil {
			_ = c.Close()
			return fmt.Errorf("control: another daemon answers at %s", d.options.ControlSocket)
		}
	}
	temporary := filepath.Join(filepath.Dir(d.options.ControlSocket), "."+filepath.Base(d.options.ControlSocket)+"."+strconv.Itoa(os.Getpid()))
	_ = os.Remove(temporary) // of an earlier process with our number
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	ln.SetUnlinkOnClose(false)
	if err := errors.Join(os.Chmod(temporary, 0o600), os.Rename(temporary, d.options.ControlSocket)); err != nil {
		return fmt.Errorf("control: %w", errors.Join(err, ln.Close()))
	}
	d.controlServer.close()
	d.controlServer = &controlServer{d: d, listener: ln, conns: map[net.Conn]struct{}{}}
	go d.controlServer.run()
	return nil
}

// close takes no more clients; those that are there are still answered. It is safe on nil.
func (c *controlServer) close() {
	if c != nil {
		_ = c.listener.Close()
	}
}

// closeAndWait closes, and waits a moment for those who have an answer on its way. It is safe on nil.
func (c *controlServer) closeAndWait() {
	if c == nil {
		return
	}
	c.close()
	for end := time.Now().Add(endFlushTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		c.mu.Lock()
		n := len(c.conns)
		c.mu.Unlock()
		if n == 0 {
			return
		}
	}
}

func (c *controlServer) run() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		full := len(c.conns) >= maxControlClients
		if !full {
			c.conns[conn] = struct{}{}
		}
		c.mu.Unlock()
		if full {
			_ = conn.Close()
			continue
		}
		go func() {
			defer func() {
				_ = conn.Close()
				c.mu.Lock()
				delete(c.conns, conn)
				c.mu.Unlock()
			}()
			c.serve(conn)
		}()
	}
}

func (c *controlServer) serve(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(commandTimeout))
	line, err := bufio.NewReaderSize(conn, 4096).ReadSlice('\n')
	if err != nil {
		return
	}
	var cmd Command
	out := json.NewEncoder(conn)
	if err := json.Unmarshal(line, &cmd); err != nil {
		_ = out.Encode(Progress{Text: "not JSON: " + err.Error(), IsDone: true})
		return
	}
	switch cmd.Name {
	case "status":
		_ = out.Encode(c.status())
	case "members":
		m := MembershipStatus{Members: []MemberStatus{}, AbsentMembers: []int{}, ActiveVersions: []uint64{}, StaleMembers: []string{}, RejectedVersions: []string{}, DrainedHosts: []string{}}
		_ = out.Encode(onLoop(c.d, m, func() MembershipStatus { return c.d.membershipStatus(m) }))
	case "leave":
		leave := c.d.leave
		if cmd.Member != "" {
			leave = func() string { return c.d.forceLeave(cmd.Member) }
		}
		why := onLoop(c.d, "the daemon does not answer", leave)
		_ = out.Encode(Progress{Text: why, IsDone: true, Succeeded: why == "", Pid: os.Getpid()})
	case "upgrade":
		news := make(chan Progress, 16)
		c.d.loop.Post(func() {
			tell := func(p Progress) {
				select {
				case news <- p:
				default: // who does not read in time misses a phase, and never the end: see below
				}
				if p.IsDone {
					close(news)
				}
			}
			if why := c.d.upgrade(tell); why != "" {
				tell(Progress{Text: why, IsDone: true, Pid: os.Getpid()})
			}
		})
		for p := range news {
			if out.Encode(p) != nil {
				break
			}
		}
	default:
		_ = out.Encode(Progress{Text: fmt.Sprintf("no command %q", cmd.Name), IsDone: true})
	}
}

func (c *controlServer) status() Status {
	d := c.d
	return onLoop(d, Status{Error: "the daemon does not answer"}, func() Status {
		s := Status{Name: d.cfg.Name, Version: d.options.Version, Pid: os.Getpid(), Phase: d.asPredecessor.machine.State.String(),
			Streams: d.core.OpenStreams(), Connections: d.server.OpenConnections(), Upstreams: d.upstreams.OpenConnections(),
			Customers: d.module.CustomerCount(), ControlGroup: d.controlGroupStatus()}
		if d.isTakingOver() {
			s.Phase = d.asSuccessor.machine.State.String()
		}
		return s
	})
}

// onLoop has the loop's goroutine work something out; silent is returned where that takes too long.
func onLoop[T any](d *Daemon, silent T, work func() T) T {
	ch := make(chan T, 1)
	d.loop.Post(func() { ch <- work() })
	select {
	case t := <-ch:
		return t
	case <-time.After(commandTimeout):
		return silent
	}
}

// SendCommand sends a command to the daemon at a control socket and hands on each line of its answer.
func SendCommand(ctx context.Context, path string, cmd Command, line func([]byte) error) error {
	var dial net.Dialer
	conn, err := dial.DialContext(ctx, "unix", path)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	if err := json.NewEncoder(conn).Encode(cmd); err != nil {
		return fmt.Errorf("control: %w", err)
	}
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		if err := line(lines.Bytes()); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}

// Upgrade asks the daemon at a control socket for an upgrade and waits for its end. An error tells why the old
// process carries on.
func Upgrade(ctx context.Context, path string, tell func(Progress)) (Progress, error) {
	var end Progress
	err := SendCommand(ctx, path, Command{Name: "upgrade"}, func(b []byte) error {
		var p Progress
		if err := json.Unmarshal(b, &p); err != nil {
			return fmt.Errorf("control: %w", err)
		}
		if end = p; !p.IsDone {
			tell(p)
		}
		return nil
	})
	switch {
	case err != nil:
		return end, err
	case !end.IsDone:
		return end, errors.New("the daemon has ended before it told how the upgrade went")
	case !end.Succeeded:
		return end, errors.New(end.Text)
	}
	return end, nil
}
