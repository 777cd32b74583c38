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

// Protocol of the control socket: a client sends one command as a line of JSON, and the daemon answers with one or more
// lines of JSON. Whoever can open the socket can command the daemon: access is limited only by the permissions of the
// socket's directory and the socket's own mode, 0600.

// Command is a request on the control socket.
type Command struct {
	// Name is upgrade, status, members or leave.
	Name string `json:"do"`
	// Member is for leave only: the number of another ingress that is permanently dead. Empty: this ingress leaves.
	Member string `json:"member,omitempty"`
}

// Status answers the command "status".
type Status struct {
	Name        string `json:"name"`        // of the ingress
	Version     string `json:"version"`     // of the program
	Pid         int    `json:"pid"`         // of the answering process
	Phase       string `json:"phase"`       // of a handover, "idle" without one
	Streams     int    `json:"streams"`     // streams owed an answer
	Connections int    `json:"connections"` // open client connections
	Upstreams   int    `json:"upstreams"`   // open upstream connections
	Customers   int    `json:"customers"`   // customers with state in the decision module
	// ControlGroup is nil and left out without a control group.
	ControlGroup *ControlGroupStatus `json:"control_group,omitempty"`
	// Error is set, and the rest empty, if the loop did not answer in time.
	Error string `json:"error,omitempty"`
}

// MembershipStatus answers the command "members": the answering ingress's view of the others, its share of joint budgets
// and the versions that it applies. Members, the message counts and the byte counts are those of the membership protocol
// and empty if that is off. If the loop does not answer in time, all fields are empty.
type MembershipStatus struct {
	Name             string         `json:"name"`
	IsEnabled        bool           `json:"enabled"`     // the membership protocol runs
	ViewVersion      uint64         `json:"version"`     // of the membership view
	Members          []MemberStatus `json:"members"`     // by the membership view
	IsSettled        bool           `json:"settled"`     // this ingress uses its share of joint budgets
	AbsentMembers    []int          `json:"counted_out"` // numbers of ingresses that left permanently; the others have their shares
	MessagesSent     uint64         `json:"sent"`
	MessagesReceived uint64         `json:"received"` // and handled
	MessagesDropped  uint64         `json:"dropped"`  // received and not handled, or not sent: see peers.Counts

	BytesSent     uint64 `json:"sent_bytes"`
	BytesReceived uint64 `json:"received_bytes"` // of dropped messages, too

	ActiveVersions   []uint64 `json:"settings_acting"`   // versions of the settings that it applies together, oldest first
	StaleMembers     []string `json:"settings_stale"`    // members not known to apply the newest version
	RejectedVersions []string `json:"settings_rejected"` // each with the reason
	IsCutOff         bool     `json:"settings_cut_off"`  // cut off from the other ingresses or the control group
	DrainedHosts     []string `json:"drained"`           // hosts that any active version of the drained list names
}

// MemberStatus is the state of one ingress in another's view.
type MemberStatus struct {
	Name        string `json:"name"`  // its number
	State       string `json:"state"` // as membership.State names it
	Incarnation uint64 `json:"incarnation"`
}

// controlServer serves the control socket. It has a goroutine for the listener and one for each client; they run work on
// the loop through onLoop and Post.
type controlServer struct {
	daemon   *Daemon
	listener *net.UnixListener
	mu       sync.Mutex
	conns    map[net.Conn]struct{} // guarded by mu
}

const (
	commandTimeout    = 5 * time.Second // for a client to send its command, and for the loop to answer it
	maxControlClients = 16              // connected at a time; more are closed at once
)

// openControl opens the control socket, if the options have one. The socket is renamed into place, so that the path
// changes from another process of this ingress to this one in one step and never leads to no socket. At a start without
// a predecessor it fails if a daemon answers there.
func (d *Daemon) openControl() error {
	if d.options.ControlSocket == "" {
		return nil
	}
	if d.asSuccessor == nil && d.controlServer == nil { // a start must not take another daemon's socket
		if c, err := net.DialTimeout("unix", d.options.ControlSocket, time.Second); err == nil {
			_ = c.Close()
			return fmt.Errorf("control: another daemon answers at %s", d.options.ControlSocket)
		}
	}
	temporary := filepath.Join(filepath.Dir(d.options.ControlSocket), "."+filepath.Base(d.options.ControlSocket)+"."+strconv.Itoa(os.Getpid()))
	_ = os.Remove(temporary) // an earlier process with this process's id may have left it
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	listener.SetUnlinkOnClose(false)
	if err := errors.Join(os.Chmod(temporary, 0o600), os.Rename(temporary, d.options.ControlSocket)); err != nil {
		return fmt.Errorf("control: %w", errors.Join(err, listener.Close()))
	}
	d.controlServer.close()
	d.controlServer = &controlServer{daemon: d, listener: listener, conns: map[net.Conn]struct{}{}}
	go d.controlServer.run()
	return nil
}

// close accepts no more clients. Those that are connected are still answered. It is safe on nil.
func (c *controlServer) close() {
	if c != nil {
		_ = c.listener.Close()
	}
}

// closeAndWait accepts no more clients and waits up to endFlushTimeout until those that are connected have their
// answers. It is safe on nil.
func (c *controlServer) closeAndWait() {
	if c == nil {
		return
	}
	c.close()
	for deadline := time.Now().Add(endFlushTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		c.mu.Lock()
		clients := len(c.conns)
		c.mu.Unlock()
		if clients == 0 {
			return
		}
	}
}

// run accepts clients until the listener is closed.
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

// serve reads one command and answers it. A client that sends no line in time gets no answer.
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
		empty := MembershipStatus{Members: []MemberStatus{}, AbsentMembers: []int{}, ActiveVersions: []uint64{}, StaleMembers: []string{}, RejectedVersions: []string{}, DrainedHosts: []string{}}
		_ = out.Encode(onLoop(c.daemon, empty, func() MembershipStatus { return c.daemon.membershipStatus(empty) }))
	case "leave":
		leave := c.daemon.leave
		if cmd.Member != "" {
			leave = func() string { return c.daemon.forceLeave(cmd.Member) }
		}
		reason := onLoop(c.daemon, "the daemon does not answer", leave)
		_ = out.Encode(Progress{Text: reason, IsDone: true, Succeeded: reason == "", Pid: os.Getpid()})
	case "upgrade":
		updates := make(chan Progress, 16)
		c.daemon.loop.Post(func() {
			report := func(p Progress) {
				select {
				case updates <- p:
				default: // the client reads too slowly: it misses a message, but the close below still ends its answer
				}
				if p.IsDone {
					close(updates)
				}
			}
			if reason := c.daemon.upgrade(report); reason != "" {
				report(Progress{Text: reason, IsDone: true, Pid: os.Getpid()})
			}
		})
		for p := range updates {
			if out.Encode(p) != nil {
				break
			}
		}
	default:
		_ = out.Encode(Progress{Text: fmt.Sprintf("no command %q", cmd.Name), IsDone: true})
	}
}

// status collects the answer to the command "status" on the loop.
func (c *controlServer) status() Status {
	d := c.daemon
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

// onLoop runs a function on the loop's goroutine and returns its result, or the fallback if the loop does not get to it
// within commandTimeout. The function may still run later.
func onLoop[T any](d *Daemon, fallback T, work func() T) T {
	results := make(chan T, 1)
	d.loop.Post(func() { results <- work() })
	select {
	case result := <-results:
		return result
	case <-time.After(commandTimeout):
		return fallback
	}
}

// SendCommand sends a command to the daemon at a control socket and calls line with each line of the answer, until the
// daemon closes the connection, the context ends or line returns an error. The slice is valid only during the call.
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

// Upgrade asks the daemon at a control socket for an upgrade and waits for its result. report is called with each
// message before the result. An error says why the old process carries on, or that the result is not known.
func Upgrade(ctx context.Context, path string, report func(Progress)) (Progress, error) {
	var last Progress
	err := SendCommand(ctx, path, Command{Name: "upgrade"}, func(line []byte) error {
		var p Progress
		if err := json.Unmarshal(line, &p); err != nil {
			return fmt.Errorf("control: %w", err)
		}
		if last = p; !p.IsDone {
			report(p)
		}
		return nil
	})
	switch {
	case err != nil:
		return last, err
	case !last.IsDone:
		return last, errors.New("the daemon closed the connection before it reported the result of the upgrade")
	case !last.Succeeded:
		return last, errors.New(last.Text)
	}
	return last, nil
}
