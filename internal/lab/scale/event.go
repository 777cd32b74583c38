package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// EventKind says what an ingress has reported.
type EventKind string

// Kinds of events. Each is one message of the daemon's log.
const (
	Serving EventKind = "serving" // a process has begun
	Acting  EventKind = "acting"  // the versions of the settings that it acts on, from now on if it is ready
	Ready   EventKind = "ready"   // it has heard which versions are in force, and may serve
	Share   EventKind = "share"   // whether it may use its share of joint budgets
	Lease   EventKind = "lease"   // state of its lease with the control group
	Warning EventKind = "warning" // anything logged as a warning or an error
)

// Event is a change that an ingress has logged.
type Event struct {
	Member   int       `json:"member"`
	At       time.Time `json:"at"`
	Kind     EventKind `json:"kind"`
	Versions []uint64  `json:"versions,omitempty"` // of Acting, oldest first
	Settled  bool      `json:"settled,omitempty"`  // of Share
	Text     string    `json:"text,omitempty"`     // of Lease: its state; of Warning: what was logged
}

// Messages of the daemon's log that events are read from. A record is checked against these alone, so that other lines
// cost next to nothing.
const (
	messageServing     = "serving"
	messageActing      = "settings version"
	messageReady       = "settings version heard"
	messageShare       = "share of joint budgets"
	messageLease       = "control lease"
	messageNotReloaded = "configuration not reloaded"
	keyActing          = "acting"
	keySettled         = "settled"
	keyState           = "state"
	versionsBetween    = ","
)

// fields are the attributes of a log record, as text.
type fields func(key string) string

// readRecord makes an event of a log record; ok is false for one that is none.
func readRecord(member int, at time.Time, level slog.Level, message string, get fields) (e Event, ok bool) {
	e = Event{Member: member, At: at}
	switch message {
	case messageServing:
		e.Kind = Serving
	case messageReady:
		e.Kind = Ready
	case messageShare:
		e.Kind, e.Settled = Share, get(keySettled) == "true"
	case messageLease:
		e.Kind, e.Text = Lease, get(keyState)
	case messageActing:
		e.Kind = Acting
		for _, text := range strings.Split(get(keyActing), versionsBetween) {
			version, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				return e, false
			}
			e.Versions = append(e.Versions, version)
		}
	default:
		if level < slog.LevelWarn {
			return e, false
		}
		e.Kind, e.Text = Warning, message+" "+get("error")+get("cause")
	}
	return e, true
}

// eventHandler turns the log of one daemon into events.
type eventHandler struct {
	member int
	report func(Event)
}

// Enabled is true from the level of the events on.
func (h eventHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo
}

// Handle reports a record that is an event.
func (h eventHandler) Handle(_ context.Context, r slog.Record) error {
	e, ok := readRecord(h.member, r.Time, r.Level, r.Message, func(key string) (text string) {
		r.Attrs(func(a slog.Attr) bool {
			if a.Key == key {
				text = a.Value.String()
			}
			return text == ""
		})
		return text
	})
	if ok {
		h.report(e)
	}
	return nil
}

// WithAttrs keeps the handler: attributes of the whole log say nothing that is not known here.
func (h eventHandler) WithAttrs([]slog.Attr) slog.Handler { return h }

// WithGroup keeps the handler.
func (h eventHandler) WithGroup(string) slog.Handler { return h }

// follower reads events from the JSON log of a process while that grows.
type follower struct {
	stop chan struct{}
	done sync.WaitGroup
}

// followEvery is between looks at a log for more lines.
const followEvery = 10 * time.Millisecond

// follow begins to read a log file that exists.
func follow(member int, path string, report func(Event)) (*follower, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	f := &follower{stop: make(chan struct{})}
	f.done.Go(func() {
		defer file.Close()
		f.read(member, file, report)
	})
	return f, nil
}

// close reads what there is, and ends.
func (f *follower) close() {
	close(f.stop)
	f.done.Wait()
}

func (f *follower) read(member int, file io.Reader, report func(Event)) {
	lines := bufio.NewReader(file)
	line, last := []byte(nil), false
	for {
		part, err := lines.ReadBytes('\n')
		line = append(line, part...)
		if err == nil {
			if e, ok := parseLine(member, line); ok {
				report(e)
			}
			line = nil
			continue
		}
		if last || !errors.Is(err, io.EOF) {
			return
		}
		select {
		case <-f.stop:
			last = true
		case <-time.After(followEvery):
		}
	}
}

// parseLine reads a line of a JSON log.
func parseLine(member int, line []byte) (e Event, ok bool) {
	var record map[string]any
	if json.Unmarshal(line, &record) != nil {
		return e, false
	}
	text := func(key string) string {
		switch v := record[key].(type) {
		case string:
			return v
		case bool:
			return strconv.FormatBool(v)
		}
		return ""
	}
	at, err := time.Parse(time.RFC3339Nano, text(slog.TimeKey))
	if err != nil {
		return e, false
	}
	var level slog.Level
	if level.UnmarshalText([]byte(text(slog.LevelKey))) != nil {
		return e, false
	}
	return readRecord(member, at, level, text(slog.MessageKey), text)
}
