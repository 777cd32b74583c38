package downstream

// list is a doubly linked list of connections.
type list struct {
	first, last *Conn
	n           int
}

func (l *list) push(c *Conn) {
	c.unlist()
	c.prev, c.next, c.in = l.last, nil, l
	l.n++
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
}

// unlist takes a connection out of its list, if it is in one.
func (c *Conn) unlist() {
	l := c.in
	if l == nil {
		return
	}
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		l.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		l.last = c.prev
	}
	c.prev, c.next, c.in = nil, nil, nil
	l.n--
}
