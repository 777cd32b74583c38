package downstream

// connList is a doubly linked connList of connections.
type connList struct {
	first, last *Conn
	length      int
}

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

// removeFromList takes a connection out of its list, if it is in one.
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
