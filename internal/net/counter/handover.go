package counter

import "slices"

// Drain closes every connection as soon as it owes no answer, and tells when none is left: the counter
// holds only so many from one address, and another process of this ingress wants them. No call may be added
// from then on, until Regain.
func (c *Client) Drain(done func()) {
	c.released = done
	c.release()
}

// Resume takes calls again.
func (c *Client) Resume() { c.released = nil }

func (c *Client) release() {
	if c.released == nil {
		return
	}
	left := 0
	for _, k := range slices.Concat(c.conns, c.retired) { // a copy: what is closed leaves the list
		switch {
		case k.src == nil:
		case len(k.calls) == 0:
			k.close()
		default:
			left++
		}
	}
	if left == 0 {
		done := c.released
		c.released = nil
		c.loop.After(0, done)
		return
	}
	c.loop.After(releaseEvery, c.release)
}

// Resize changes the number of connections that new calls are spread over. As with a move, what is out ends
// where it was made, and answers of a name keep the order of its calls.
func (c *Client) Resize(n int) {
	if n == len(c.conns) {
		return
	}
	was := c.conns
	c.conns = make([]*conn, n)
	copied := copy(c.conns, was)
	for i := copied; i < n; i++ {
		c.conns[i] = &conn{c: c}
	}
	for _, k := range was[copied:] {
		c.retire(k)
	}
}
