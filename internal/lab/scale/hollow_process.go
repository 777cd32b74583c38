package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"time"
)

// hollowClient is the test's end of one hollow process.
type hollowClient struct {
	command *exec.Cmd
	orders  io.WriteCloser
	members []int // whose daemons it holds

	sending sync.Mutex // one order at a time
	done    chan notice
	ended   chan struct{}
}

// orderTime bounds how long a hollow process may take for an order.
const orderTime = 60 * time.Second

// startHollowProcess starts a process for members; their daemons are not started yet. What they report goes to report.
func startHollowProcess(binary string, fleet fleetConfig, members []int, report func(Event), say func(string, ...any)) (*hollowClient, error) {
	c := &hollowClient{command: exec.Command(binary, "scale", "hollow"), members: members, done: make(chan notice, 1),
		ended: make(chan struct{})}
	c.command.Stderr = os.Stderr
	var err error
	if c.orders, err = c.command.StdinPipe(); err != nil {
		return nil, err
	}
	notices, err := c.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(c.ended)
		c.read(notices, report, say)
		_ = c.command.Wait() // how it ended shows in what it did not report
	}()
	if _, err := c.order(order{Action: actionInform, Fleet: &fleet}); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *hollowClient) read(notices io.Reader, report func(Event), say func(string, ...any)) {
	lines := bufio.NewReader(notices)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return
		}
		var n notice
		if err := json.Unmarshal(line, &n); err != nil {
			say("notice not read: %s", line)
			continue
		}
		switch {
		case n.Event != nil:
			report(*n.Event)
		case n.Done == "" && n.Error != "":
			say("%s", n.Error)
		default:
			c.done <- n
		}
	}
}

// order gives an order and waits until it is carried out.
func (c *hollowClient) order(o order) (notice, error) {
	c.sending.Lock()
	defer c.sending.Unlock()
	line, err := json.Marshal(o)
	if err != nil {
		return notice{}, err
	}
	if _, err := c.orders.Write(append(line, '\n')); err != nil {
		return notice{}, err
	}
	select {
	case n := <-c.done:
		if n.Error != "" {
			return n, errors.New(n.Error)
		}
		return n, nil
	case <-c.ended:
		return notice{}, fmt.Errorf("hollow process %d has ended", c.command.Process.Pid)
	case <-time.After(orderTime):
		return notice{}, fmt.Errorf("hollow process %d does not answer", c.command.Process.Pid)
	}
}

// close ends the process with all its members.
func (c *hollowClient) close() {
	_ = c.command.Process.Kill() // it may have ended already
	<-c.ended
}
