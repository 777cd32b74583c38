package downstream

// connList is a doubly linked list of connections. A connection is in one list at most.
type connList struct {
	first, last *Conn
	length      int
}

// push appends a connection, after removing it from the list that it is in.
func (l *connList) push(c *Conn) {
	c.removeFromList()
	c.prev, c.next, c.list = l.last, nil, l
	l.length++
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
}

// removeFromList removes the connection from its list, if it is in one.
func (c *Conn) removeFromList() {
	l := c.list
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
	c.prev, c.next, c.list = nil, nil, nil
	l.length--
}
