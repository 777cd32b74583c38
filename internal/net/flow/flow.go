// Package flow carries a body from the connection that it is read from to the one that it is written to, piece by
// piece and with back-pressure: it never holds more than its window.
package flow

// Pipe belongs to the loop's goroutine. One side puts and ends, the other takes and may drop.
type Pipe struct {
	ContentLength int64  // of the whole body, -1 where it is not told ahead
	OnData        func() // the taker's: there is more, or it has ended. It must not be taken for leave to call back at once
	OnFreeSpace   func() // the putter's: there is room, or nobody takes any more. The same holds

	most    int
	room    []byte // what buf is a part of, kept as long as the pipe is
	buf     []byte
	taken   int64
	whole   bool // ended well
	broken  bool // ended before its end
	dropped bool
}

// New returns an empty pipe with a window in bytes.
func New(window int, length int64) *Pipe { return &Pipe{most: window, ContentLength: length} }

// FreeSpace tells how many bytes may be put.
func (p *Pipe) FreeSpace() int {
	if p.dropped {
		return p.most // they go nowhere
	}
	return max(0, p.most-len(p.buf))
}

// Append appends bytes. They are copied.
func (p *Pipe) Append(b []byte) {
	if p.dropped || len(b) == 0 {
		return
	}
	if len(p.buf)+len(b) > cap(p.buf) { // what was taken makes room, or more is needed
		if most := cap(p.room); len(p.buf)+len(b) > most {
			p.room = make([]byte, 0, max(len(p.buf)+len(b), min(p.most, 2*most)))
		}
		p.buf = append(p.room[:0], p.buf...)
	}
	p.buf = append(p.buf, b...)
	p.tell()
}

// CloseWrite tells that no more comes, and whether that was all.
func (p *Pipe) CloseWrite(whole bool) {
	if p.whole || p.broken {
		return
	}
	p.whole, p.broken = whole, !whole
	p.tell()
}

func (p *Pipe) tell() {
	if p.OnData != nil && !p.dropped {
		p.OnData()
	}
}

// Bytes returns what may be taken; it is good until Took.
func (p *Pipe) Bytes() []byte { return p.buf }

// Consume tells how many bytes of Next were taken.
func (p *Pipe) Consume(n int) {
	if n == 0 {
		return
	}
	p.taken += int64(n)
	if p.buf = p.buf[n:]; len(p.buf) == 0 {
		if cap(p.room) > p.most { // of what came before the pipe was there
			p.room = nil
		}
		p.buf = p.room[:0]
	}
	if p.OnFreeSpace != nil {
		p.OnFreeSpace()
	}
}

// HasConsumed tells whether any byte has been: what was is not to be had again.
func (p *Pipe) HasConsumed() bool { return p.taken > 0 }

// IsComplete tells whether all has come and been taken.
func (p *Pipe) IsComplete() bool { return p.whole && len(p.buf) == 0 }

// IsTruncated tells whether it has ended before its end.
func (p *Pipe) IsTruncated() bool { return p.broken }

// CloseRead tells that nobody takes any more. It is safe on nil.
func (p *Pipe) CloseRead() {
	if p == nil || p.dropped {
		return
	}
	p.dropped, p.room, p.buf, p.OnData = true, nil, nil, nil
	if p.OnFreeSpace != nil {
		p.OnFreeSpace()
	}
}

// IsReadClosed tells whether nobody takes any more.
func (p *Pipe) IsReadClosed() bool { return p.dropped }
