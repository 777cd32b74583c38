// Package flow passes a message body on from the connection that it is read from (the writer of a pipe) to the
// connection that it is written to (its reader), with back-pressure. A pipe is a buffer in memory without I/O of its
// own, kept within its window by a writer that observes FreeSpace. It belongs to the event loop's goroutine, never blocks
// and is not safe for concurrent use.
package flow

// Pipe buffers the part of a body that has arrived and is not passed on yet. One side calls Append and CloseWrite, the
// other Bytes, Consume and CloseRead.
type Pipe struct {
	// ContentLength is the length of the whole body in bytes, -1 if it is not known in advance.
	ContentLength int64
	// OnData is the reader's callback for new bytes and for the end of the body. It runs within Append or CloseWrite.
	// It may read and consume, but must not append or close the writing side.
	OnData func()
	// OnFreeSpace is the writer's callback for free space and for the reader's CloseRead. It runs within Consume or
	// CloseRead and must not append at once.
	OnFreeSpace func()

	maxUnread       int    // bytes that the writer may have unread in the pipe
	storage         []byte // the memory that unread is a part of; reused as long as the pipe exists
	unread          []byte
	consumed        int64 // bytes
	isWriteComplete bool  // the writer has closed after the last byte; the reader may have bytes left to consume
	isTruncated     bool  // the writer has closed before the last byte
	isReadClosed    bool
}

// New returns an empty pipe. window is in bytes, length is that of the whole body, -1 if it is not known in advance.
func New(window int, length int64) *Pipe { return &Pipe{maxUnread: window, ContentLength: length} }

// Window returns how many bytes the writer may have unread in the pipe.
func (p *Pipe) Window() int { return p.maxUnread }

// HeldBytes returns the size of the pipe's buffer.
func (p *Pipe) HeldBytes() int { return cap(p.storage) }

// FreeSpace returns how many bytes the writer may append to stay within the window. Once the reader has closed it is
// always the whole window, because appended bytes are discarded.
func (p *Pipe) FreeSpace() int {
	if p.isReadClosed {
		return p.maxUnread
	}
	return max(0, p.maxUnread-len(p.unread))
}

// Append copies b to the end of the pipe. It does not enforce the window: the writer observes FreeSpace, except for the
// part of the body that it read before the pipe existed.
func (p *Pipe) Append(b []byte) {
	if p.isReadClosed || len(b) == 0 {
		return
	}
	if len(p.unread)+len(b) > cap(p.unread) { // reuse the space of consumed bytes, or allocate more
		if capacity := cap(p.storage); len(p.unread)+len(b) > capacity {
			p.storage = make([]byte, 0, max(len(p.unread)+len(b), min(p.maxUnread, 2*capacity)))
		}
		p.unread = append(p.storage[:0], p.unread...)
	}
	p.unread = append(p.unread, b...)
	p.notifyReader()
}

// CloseWrite marks the end of the data. isComplete is false if the body ended before its last byte. Only the first call
// has an effect.
func (p *Pipe) CloseWrite(isComplete bool) {
	if p.isWriteComplete || p.isTruncated {
		return
	}
	p.isWriteComplete, p.isTruncated = isComplete, !isComplete
	p.notifyReader()
}

func (p *Pipe) notifyReader() {
	if p.OnData != nil && !p.isReadClosed {
		p.OnData()
	}
}

// Bytes returns the bytes that are not consumed yet. They are valid until the next call of Append, Consume or
// CloseRead.
func (p *Pipe) Bytes() []byte { return p.unread }

// Consume removes the first n bytes that Bytes returns.
func (p *Pipe) Consume(n int) {
	if n == 0 {
		return
	}
	p.consumed += int64(n)
	if p.unread = p.unread[n:]; len(p.unread) == 0 {
		if cap(p.storage) > p.maxUnread { // it held the part of the body that was read before the pipe existed
			p.storage = nil
		}
		p.unread = p.storage[:0]
	}
	if p.OnFreeSpace != nil {
		p.OnFreeSpace()
	}
}

// HasConsumed reports whether any byte was consumed. The pipe does not keep consumed bytes, so the body can't be sent
// again from its start.
func (p *Pipe) HasConsumed() bool { return p.consumed > 0 }

// IsComplete reports whether the whole body was appended and consumed.
func (p *Pipe) IsComplete() bool { return p.isWriteComplete && len(p.unread) == 0 }

// IsTruncated reports whether the writer has closed before the last byte of the body. Bytes may still be unread.
func (p *Pipe) IsTruncated() bool { return p.isTruncated }

// CloseRead discards the unread bytes and all that are appended later, and calls OnFreeSpace. Only the first call has
// an effect. It is safe on nil.
func (p *Pipe) CloseRead() {
	if p == nil || p.isReadClosed {
		return
	}
	p.isReadClosed, p.storage, p.unread, p.OnData = true, nil, nil, nil
	if p.OnFreeSpace != nil {
		p.OnFreeSpace()
	}
}

// IsReadClosed reports whether the reader has closed.
func (p *Pipe) IsReadClosed() bool { return p.isReadClosed }
