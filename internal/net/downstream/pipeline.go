package downstream

// maxBufferedBytes is the maximum size of the pipelined input that is buffered for a connection.
func (c *Conn) maxBufferedBytes() int {
	return c.server.bounds.MaxHeaderBytes + c.server.bounds.MaxBufferedBodyBytes
}

// discardOverflow reports whether pipelined input exceeds the buffer, given the number of bytes just read. If so, it
// discards all pipelined input, now and in all later calls, and the current response closes the connection. The socket
// is still read, up to about MaxLingerBytes, because the end of the client's stream may follow, and a request whose
// client has disconnected must not be sent upstream.
func (c *Conn) discardOverflow(justRead int) bool {
	if c.overflowBytes == 0 &&
		(!c.awaitingResponse || c.upload != nil || c.parser.Buffered()+justRead <= c.maxBufferedBytes()) {
		return false
	}
	c.overflowBytes, c.closeAfterResponse = c.overflowBytes+c.parser.DiscardBuffered()+justRead, true
	return true
}
