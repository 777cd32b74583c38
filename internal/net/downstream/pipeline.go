package downstream

// What a client sends ahead of its answers.

// maxBufferedBytes bounds what is held of what a client sends ahead of its answers.
func (c *Conn) maxBufferedBytes() int { return c.server.bounds.HeadBytes + c.server.bounds.KeepBytes }

// discardOverflow tells whether a client has sent more ahead of its answers than is held for it. All that is dropped, with what
// comes, and its connection ends with the present answer; it is read on all the same, within bounds, since its end may
// lie behind, and a request whose client has gone is not to be sent on.
func (c *Conn) discardOverflow(more int) bool {
	if c.overflowBytes == 0 && (!c.awaitingResponse || c.upload != nil || c.parser.Buffered()+more <= c.maxBufferedBytes()) {
		return false
	}
	c.overflowBytes, c.closeAfterResponse = c.overflowBytes+c.parser.DiscardBuffered()+more, true
	return true
}
