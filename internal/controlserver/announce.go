package controlserver

import (
	"slices"
	"time"

	"ferryfront.example/ferryfront/internal/controlgroup"
	"ferryfront.example/ferryfront/internal/versions"
)

// announcements notes what a member was sent of the documents, so that it is sent changes only.
type announcements struct {
	inForce map[string][]versions.Version
	content map[string][]versions.Version // sent, of those in force
}

func newAnnouncements() *announcements {
	return &announcements{map[string][]versions.Version{}, map[string][]versions.Version{}}
}

// next returns the next message to send, nil if the member has had all: first the text of each version that it has not
// reported, then which versions are in force.
func (a *announcements) next(documents []document, reported func(document string, v versions.Version) bool) controlgroup.Message {
	for _, d := range documents {
		var now []versions.Version
		for _, v := range d.versions {
			now = append(now, v.Version)
		}
		if slices.Equal(now, a.inForce[d.name]) {
			continue
		}
		for _, v := range d.versions {
			if !slices.Contains(a.content[d.name], v.Version) && !reported(d.name, v.Version) {
				return controlgroup.Content{Document: d.name, Version: v.Version, Text: v.Text}
			}
		}
		return controlgroup.InForce{Document: d.name, Versions: now}
	}
	return nil
}

// sent notes that a message of next was sent.
func (a *announcements) sent(m controlgroup.Message) {
	switch m := m.(type) {
	case controlgroup.Content:
		a.content[m.Document] = append(a.content[m.Document], m.Version)
	case controlgroup.InForce:
		a.inForce[m.Document] = m.Versions
		a.content[m.Document] = slices.DeleteFunc(a.content[m.Document], func(v versions.Version) bool {
			return !slices.Contains(m.Versions, v)
		})
	}
}

// write sends what there is to send until the connection ends. Grants and results never wait for the pace.
func (c *memberConn) write() {
	pace := newPacer(time.Now())
	var paused <-chan time.Time
	for {
		select {
		case <-c.done:
			return
		case <-c.wake:
		case <-paused:
		}
		wait, err := c.flush(pace)
		if err != nil {
			c.server.log.Info("peer disconnected: a write failed", "peer", c.conn.RemoteAddr(), "error", err)
			c.close()
			return
		}
		paused = nil
		if wait > 0 {
			paused = time.After(wait)
		}
	}
}

// flush sends all that may be sent now, and tells how long to wait for the pace if something is left.
func (c *memberConn) flush(pace *pacer) (wait time.Duration, err error) {
	for {
		if err := c.send(pace, c.urgent()); err != nil {
			return 0, err
		}
		if !c.receivesDocuments() {
			return 0, nil
		}
		m := c.announced.next(c.server.machine.documents(), c.hasReported)
		if m == nil {
			return 0, nil
		}
		frame := controlgroup.Append(nil, m)
		if wait := pace.wait(len(frame), time.Now()); wait > 0 {
			return wait, nil
		}
		if err := c.send(pace, frame); err != nil {
			return 0, err
		}
		c.announced.sent(m)
	}
}

func (c *memberConn) send(pace *pacer, b []byte) error {
	if len(b) == 0 {
		return nil
	}
	pace.take(len(b))
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return err
	}
	_, err := c.conn.Write(b)
	return err
}

// urgent takes the frames that do not wait for the pace.
func (c *memberConn) urgent() (frames []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.grant != nil {
		frames = controlgroup.Append(frames, *c.grant)
		c.grant = nil
	}
	for _, result := range c.results {
		frames = controlgroup.Append(frames, result)
	}
	c.results = nil
	return frames
}

func (c *memberConn) receivesDocuments() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isMember
}

func (c *memberConn) hasReported(document string, v versions.Version) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.reported[document], v)
}
