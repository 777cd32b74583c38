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
	Do     string `json:"do"`               // upgrade, status, members or leave
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
	// Control is of the control group, null: there is none.
	Control *ControlStatus `json:"control_group,omitempty"`
	Error   string         `json:"error,omitempty"`
}

// Members answers "members": the view of one ingress, and what of joint budgets it takes.
type Members struct {
	Name     string   `json:"name"`
	Enabled  bool     `json:"enabled"`
	Version  uint64   `json:"version"`
	Members  []Member `json:"members"`
	Settled  bool     `json:"settled"`     // it takes its share of ceilings
	Absent   []int    `json:"counted_out"` // ingresses that left for good, whose shares the others have
	Sent     uint64   `json:"sent"`
	Received uint64   `json:"received"`
	Dropped  uint64   `json:"dropped"`

	SentBytes     uint64 `json:"sent_bytes"` // of all messages sent and received
	ReceivedBytes uint64 `json:"received_bytes"`

	Acting   []uint64 `json:"settings_acting"` // versions of the settings that it acts on together
	Stale    []string `json:"settings_stale"`  // members not known to act on the newest
	Rejected []string `json:"settings_rejected"`
	CutOff   bool     `json:"settings_cut_off"`
	Drained  []string `json:"drained"` // hosts that the operators drain, by any version of their list that is acted on
}

// Member is one ingress as another holds it.
type Member struct {
	Name        string `json:"name"` // its number
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
}

// control is the socket's server. Each client has a goroutine of its own.
type control struct {
	d     *Daemon
	ln    *net.UnixListener
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

const (
	commandTime = 5 * time.Second // for a command to come
	controlMost = 16              // clients at a time
)

// openControl puts our socket where the settings say. A name that another of this ingress's processes has
// there becomes ours in one step, so that there is always one.
func (d *Daemon) openControl() error {
	if d.o.Control == "" {
		return nil
	}
	if d.succ == nil && d.control == nil { // at a start, another daemon's socket is not to be taken
		if c, err := net.DialTimeout("unix", d.o.Control, time.Second); err == nil {
			_ = c.Close()
			return fmt.Errorf("control: another daemon answers at %s", d.o.Control)
		}
	}
	temporary := filepath.Join(filepath.Dir(d.o.Control), "."+filepath.Base(d.o.Control)+"."+strconv.Itoa(os.Getpid()))
	_ = os.Remove(temporary) // of an earlier process with our number
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	ln.SetUnlinkOnClose(false)
	if err := errors.Join(os.Chmod(temporary, 0o600), os.Rename(temporary, d.o.Control)); err != nil {
		return fmt.Errorf("control: %w", errors.Join(err, ln.Close()))
	}
	d.control.close()
	d.control = &control{d: d, ln: ln, conns: map[net.Conn]struct{}{}}
	go d.control.run()
	return nil
}

// close takes no more clients; those that are there are still answered. It is safe on nil.
func (c *control) close() {
	if c != nil {
		_ = c.ln.Close()
	}
}

// finish closes, and waits a moment for those who have an answer on its way. It is safe on nil.
func (c *control) finish() {
	if c == nil {
		return
	}
	c.close()
	for end := time.Now().Add(flushMost); time.Now().Before(end); time.Sleep(time.Millisecond) {
		c.mu.Lock()
		n := len(c.conns)
		c.mu.Unlock()
		if n == 0 {
			return
		}
	}
}

func (c *control) run() {
	for {
		conn, err := c.ln.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		full := len(c.conns) >= controlMost
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

func (c *control) serve(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(commandTime))
	line, err := bufio.NewReaderSize(conn, 4096).ReadSlice('\n')
	if err != nil {
		return
	}
	var cmd Command
	out := json.NewEncoder(conn)
	if err := json.Unmarshal(line, &cmd); err != nil {
		_ = out.Encode(Progress{Text: "not JSON: " + err.Error(), Done: true})
		return
	}
	switch cmd.Do {
	case "status":
		_ = out.Encode(c.status())
	case "members":
		m := Members{Members: []Member{}, Absent: []int{}, Acting: []uint64{}, Stale: []string{}, Rejected: []string{}, Drained: []string{}}
		_ = out.Encode(onLoop(c.d, m, func() Members { return c.d.view(m) }))
	case "leave":
		leave := c.d.leave
		if cmd.Member != "" {
			leave = func() string { return c.d.goneForGood(cmd.Member) }
		}
		why := onLoop(c.d, "the daemon does not answer", leave)
		_ = out.Encode(Progress{Text: why, Done: true, OK: why == "", Pid: os.Getpid()})
	case "upgrade":
		news := make(chan Progress, 16)
		c.d.loop.Post(func() {
			tell := func(p Progress) {
				select {
				case news <- p:
				default: // who does not read in time misses a phase, and never the end: see below
				}
				if p.Done {
					close(news)
				}
			}
			if why := c.d.upgrade(tell); why != "" {
				tell(Progress{Text: why, Done: true, Pid: os.Getpid()})
			}
		})
		for p := range news {
			if out.Encode(p) != nil {
				break
			}
		}
	default:
		_ = out.Encode(Progress{Text: fmt.Sprintf("no command %q", cmd.Do), Done: true})
	}
}

func (c *control) status() Status {
	d := c.d
	return onLoop(d, Status{Error: "the daemon does not answer"}, func() Status {
		s := Status{Name: d.cfg.Name, Version: d.o.Version, Pid: os.Getpid(), Phase: d.pred.machine.State.String(),
			Streams: d.core.OpenStreams(), Connections: d.server.OpenConnections(), Upstreams: d.hosts.OpenConnections(),
			Customers: d.module.CustomerCount(), Control: d.controlStatus()}
		if d.trial() {
			s.Phase = d.succ.machine.State.String()
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
	case <-time.After(commandTime):
		return silent
	}
}

// Ask sends a command to the daemon at a control socket and hands on each line of its answer.
func Ask(ctx context.Context, path string, cmd Command, line func([]byte) error) error {
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
	err := Ask(ctx, path, Command{Do: "upgrade"}, func(b []byte) error {
		var p Progress
		if err := json.Unmarshal(b, &p); err != nil {
			return fmt.Errorf("control: %w", err)
		}
		if end = p; !p.Done {
			tell(p)
		}
		return nil
	})
	switch {
	case err != nil:
		return end, err
	case !end.Done:
		return end, errors.New("the daemon has ended before it told how the upgrade went")
	case !end.OK:
		return end, errors.New(end.Text)
	}
	return end, nil
}
