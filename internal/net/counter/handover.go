package counter

import "slices"

// Drain closes each connection once it has no unanswered call, and calls done when all are closed. It is used during an
// upgrade: the counter limits the connections from one address, and the new process of this ingress needs them. No call may
// be added between Drain and Resume.
func (c *Client) Drain(done func()) {
	c.onDrained = done
	c.closeIdle()
}

// Resume ends Drain, so that calls can be added again. If the connections are not all closed yet, done is not called.
func (c *Client) Resume() { c.onDrained = nil }

// closeIdle closes the connections without unanswered calls and repeats itself until none is open or Resume is called.
func (c *Client) closeIdle() {
	if c.onDrained == nil {
		return
	}
	open := 0
	for _, cn := range slices.Concat(c.conns, c.retired) { // a copy, since close removes connections from retired
		switch {
		case cn.source == nil:
		case len(cn.calls) == 0:
			cn.close()
		default:
			open++
		}
	}
	if open == 0 {
		done := c.onDrained
		c.onDrained = nil
		c.loop.After(0, done)
		return
	}
	c.loop.After(drainInterval, c.closeIdle)
}

// Resize changes the number of connections that new calls are distributed over. Calls in flight complete on their old
// connections, and results of a name keep the order of its calls.
func (c *Client) Resize(n int) {
	if n == len(c.conns) {
		return
	}
	previous := c.conns
	c.conns = make([]*conn, n)
	copied := copy(c.conns, previous)
	for i := copied; i < n; i++ {
		c.conns[i] = &conn{client: c}
	}
	for _, cn := range previous[copied:] {
		c.retire(cn)
	}
}
