package discovery

import (
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/settings"
)

// watch is one connection to discovery, with one request whose response does not end.
type watch struct {
	watcher      *Watcher
	source       *loop.Source
	parser       *http1.ResponseParser
	isConnected  bool
	hasReceived  bool // at least one byte of the response
	openedAt     time.Duration
	lastActivity time.Duration // time when data was last received, or openedAt before the first data
	unsent       []byte        // rest of the request
	framer       framer
	silenceTimer *loop.Timer
}

// causeSilent is the cause reported for a watch that received nothing in time.
const causeSilent = "silent"

// open starts to connect.
func (w *watch) open() error {
	fd, err := loop.Dial(w.watcher.addr)
	if err != nil {
		return err
	}
	if w.source, err = w.watcher.loop.Watch(fd, loop.Out|loop.Hangup, w); err != nil {
		loop.CloseFD(fd)
	}
	return err
}

// close closes the connection. It is safe on nil.
func (w *watch) close() {
	if w != nil {
		w.silenceTimer.Stop()
		w.source.Close()
	}
}

// fail closes the watch and has its watcher schedule another one, unless it is the active watch and the next one is already
// being opened.
func (w *watch) fail(cause string) {
	w.watcher.log.Debug("discovery watch closed", "cause", cause, "up", w.isConnected,
		"heard", w.hasReceived, "counts", w == w.watcher.active)
	w.close()
	switch watcher := w.watcher; w {
	case watcher.next:
		if watcher.next = nil; cause == causeSilent && w.isConnected {
			if !w.hasReceived {
				watcher.silentWatches++
			}
			watcher.scheduleReopen(w, cause)
		} else {
			watcher.scheduleRetry(cause, w.lastActivity)
		}
	case watcher.active:
		watcher.active = nil
		if watcher.next == nil {
			watcher.scheduleReopen(w, cause)
		}
	}
}

// resetSilenceTimer fails the watch after the timeout, unless it is called again before.
func (w *watch) resetSilenceTimer(timeout time.Duration) {
	w.silenceTimer.Stop()
	w.silenceTimer = w.watcher.loop.After(timeout, func() { w.fail(causeSilent) })
}

// Ready handles the connection's events: the end of the dial, room to write the request, readable data.
func (w *watch) Ready(events uint32) {
	if !w.isConnected {
		if err := loop.DialResult(w.source.FD()); err != nil {
			w.fail(err.Error())
			return
		}
		w.isConnected = true
		w.resetSilenceTimer(w.watcher.firstByteTimeout())
	}
	if len(w.unsent) > 0 {
		n, err := loop.Write(w.source.FD(), w.unsent)
		if err != nil {
			w.fail(err.Error())
			return
		}
		if w.unsent = w.unsent[n:]; len(w.unsent) == 0 {
			w.source.SetEvents(loop.In | loop.Hangup)
		}
	}
	if events&(loop.In|loop.Hangup) != 0 {
		w.read()
	}
}

// read reads once per event, so that a large list does not keep the loop from other connections.
func (w *watch) read() {
	buf := w.watcher.loop.ReadBuffer()
	n, err := loop.Read(w.source.FD(), buf)
	if errors.Is(err, loop.ErrAgain) {
		return
	}
	if err != nil {
		w.fail(err.Error())
		return
	}
	w.hasReceived, w.lastActivity, w.watcher.silentWatches = true, w.watcher.loop.Now(), 0
	w.resetSilenceTimer(w.watcher.bounds.ClusterSilenceTimeout)
	w.parser.Feed(buf[:n])
	response, err := w.parser.Next()
	if err != nil {
		w.fail(err.Error())
		return
	}
	if response != nil { // the response is complete: discovery has ended the watch
		if response.Status == 200 {
			w.readMessages(response.Body)
		}
		w.fail(fmt.Sprintf("watch ended with status %d", response.Status))
		return
	}
	if status, body := w.parser.TakePartialBody(); status == 200 {
		w.readMessages(body)
	}
}

// readMessages applies the messages that are complete. With its first message the next watch becomes the active one. A
// malformed message leaves the list unchanged and ends its watch; another watch requests the full list.
func (w *watch) readMessages(body []byte) {
	watcher := w.watcher
	w.framer.feed(body)
	for w.source.FD() >= 0 {
		message, err := w.framer.next()
		if err == nil && message == nil {
			if w.framer.buffered() > watcher.bounds.MaxClusterMessageBytes {
				w.rejectMessage(errors.New("message exceeds the size limit"))
			}
			return
		}
		if err == nil && len(message) == 0 {
			watcher.recordSuccess(w)
			continue
		}
		var list List
		if err == nil {
			var v *fastjson.Value
			if v, err = watcher.jsonParser.ParseBytes(message); err == nil {
				list, err = ReadList(settings.NewReader(v, ""))
			}
		}
		if err != nil {
			w.rejectMessage(err)
			return
		}
		if len(message) > maxRetainedMessageBytes {
			watcher.jsonParser = fastjson.Parser{}
		}
		watcher.recordSuccess(w)
		if w == watcher.next {
			watcher.active.close()
			watcher.active, watcher.next, watcher.needsFullList = w, nil, false
		}
		watcher.hasSynced = true
		watcher.apply(list, admission.ListChanges)
	}
}

// maxRetainedMessageBytes is the largest message, in bytes, after which the JSON parser keeps its memory for the next one.
// The parser needs about 34 times the size of the message: 29 MB for a full list of 7,200 hosts, which is rare.
const maxRetainedMessageBytes = 64 << 10

// rejectMessage fails a watch that has delivered a malformed message.
func (w *watch) rejectMessage(err error) {
	watcher := w.watcher
	if now := watcher.loop.Now(); watcher.parseErrorLoggedAt == 0 || now-watcher.parseErrorLoggedAt > logInterval {
		watcher.parseErrorLoggedAt = now
		watcher.log.Warn("discovery message not read", "cause", err)
	}
	watcher.needsFullList, watcher.backoff = true, max(watcher.backoff, watcher.bounds.InitialBackoff)
	w.fail("malformed message")
}
