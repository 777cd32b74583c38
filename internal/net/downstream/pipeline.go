package downstream

// maxBufferedBytes is the maximum size of the pipelined input that is buffered for a connection.
func (c *Conn) maxBufferedBytes() int { return c.server.bounds.HeadBytes + c.server.bounds.KeepBytes }

// discardOverflow handles a client that pipelines more than the buffer holds, of which more bytes have just been read.
// It reports whether that is so: then all pipelined input is discarded, from now on, and the current response closes
// the connection. Reading goes on up to a maximum, because the end of the client's side may follow, and a request whose
// client has disconnected must not be sent upstream.
func (c *Conn) discardOverflow(more int) bool {
	if c.overflowBytes == 0 &&
		(!c.awaitingResponse || c.upload != nil || c.parser.Buffered()+more <= c.maxBufferedBytes()) {
		return false
	}
	c.overflowBytes, c.closeAfterResponse = c.overflowBytes+c.parser.DiscardBuffered()+more, true
	return true
}
