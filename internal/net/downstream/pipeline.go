package downstream

// maxBufferedBytes is the size of the pipelined input that any connection may have buffered: a head and a body.
func (c *Conn) maxBufferedBytes() int {
	return c.server.bounds.MaxHeaderBytes + c.server.bounds.MaxBufferedBodyBytes
}

// excessInput returns how much of the connection's buffered input is over maxBufferedBytes.
func (c *Conn) excessInput() int { return max(0, c.parser.Buffered()-c.maxBufferedBytes()) }

// isPipelineFull reports whether no more pipelined input is read until the current response is written. The end of the
// client's stream is noticed all the same, unless more input than the system holds is in front of it.
func (c *Conn) isPipelineFull() bool { return c.excessInput() > c.server.bounds.MaxPipelinedBytes }

// excessInput returns the sum over all connections.
func (s *Server) excessInput() (total int) {
	for c := range s.conns {
		total += c.excessInput()
	}
	return total
}

// discardOverflow reports whether pipelined input exceeds the memory for it, given the number of bytes just read: it is
// over maxBufferedBytes, and all connections together have no more excess input left to buffer. If so, it discards all
// pipelined input, now and in all later calls, and the current response closes the connection. The socket is still read,
// up to about MaxLingerBytes, because the end of the client's stream may follow, and a request whose client has
// disconnected must not be sent upstream.
func (c *Conn) discardOverflow(justRead int) bool {
	if c.overflowBytes == 0 && (!c.awaitingResponse || c.upload != nil ||
		c.parser.Buffered()+justRead <= c.maxBufferedBytes() ||
		c.server.excessInput()+justRead <= c.server.bounds.MaxRelayBufferBytes) {
		return false
	}
	c.overflowBytes, c.closeAfterResponse = c.overflowBytes+c.parser.DiscardBuffered()+justRead, true
	return true
}
