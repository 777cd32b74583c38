package downstream

// What a client sends ahead of its answers.

// most bounds what is held of what a client sends ahead of its answers.
func (c *Conn) most() int { return c.s.lim.MaxHeaderBytes + c.s.lim.MaxBufferedBodyBytes }

// tooMuch tells whether a client has sent more ahead of its answers than is held for it. All that is dropped, with what
// comes, and its connection ends with the present answer; it is read on all the same, within bounds, since its end may
// lie behind, and a request whose client has gone is not to be sent on.
func (c *Conn) tooMuch(more int) bool {
	if c.dumped == 0 && (!c.busy || c.up != nil || c.parser.Buffered()+more <= c.most()) {
		return false
	}
	c.dumped, c.last = c.dumped+c.parser.DiscardBuffered()+more, true
	return true
}
