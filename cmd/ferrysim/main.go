// Command ferrysim hosts gateways of package admission on the simulator's wire:
// batches of events on standard input, a reply to each on standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "ferrysim:", err)
		os.Exit(1)
	}
}

// lineMax bounds a line: an update of a very large list is a few megabytes.
const lineMax = 64 << 20

func run(in io.Reader, out io.Writer) error {
	scan := bufio.NewScanner(in)
	scan.Buffer(make([]byte, 0, 1<<20), lineMax)
	h := host{dec: simwire.NewDecoder(), gateways: map[int]*admission.Gateway{}}
	for n := 1; scan.Scan(); n++ {
		raw := scan.Bytes()
		if len(raw) == 0 {
			continue
		}
		turn, err := h.line(raw)
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if turn {
			h.reply = append(h.reply, simwire.Done...)
			if _, err := out.Write(h.reply); err != nil {
				return err
			}
			h.reply = h.reply[:0]
		}
	}
	if err := scan.Err(); err != nil {
		return err
	}
	if h.inBatch {
		return io.ErrUnexpectedEOF
	}
	return nil
}

type host struct {
	dec      *simwire.Decoder
	gateways map[int]*admission.Gateway
	now      time.Duration
	inBatch  bool
	reply    []byte
}

// line handles one line and tells whether it ended a batch.
func (h *host) line(raw []byte) (bool, error) {
	l, err := h.dec.Decode(raw)
	if err != nil {
		return false, err
	}
	if l.Kind == simwire.Tick {
		if h.inBatch || l.Now < h.now {
			return false, errors.New("in Tick: a batch is open, or the clock went back")
		}
		h.inBatch, h.now = true, l.Now
		return false, nil
	}
	if !h.inBatch {
		return false, errors.New("a line outside a batch")
	}
	switch l.Kind {
	case simwire.Turn:
		h.inBatch = false
		return true, nil
	case simwire.Born:
		g, err := admission.New(l.Settings, l.Seed)
		if err != nil {
			return false, fmt.Errorf("in Born: params: %w", err)
		}
		h.gateways[l.Instance] = g
	case simwire.Off:
		delete(h.gateways, l.Instance)
	case simwire.Event:
		g := h.gateways[l.Instance]
		if g == nil {
			return false, fmt.Errorf("an event for gatekeeper %d, which has not started", l.Instance)
		}
		if l.Event != nil {
			h.handle(l.Instance, g, l.Event)
		}
	}
	return false, nil
}

// handle runs the module; should it panic, the wire is told so.
func (h *host) handle(inst int, g *admission.Gateway, ev admission.Event) {
	defer func() {
		if r := recover(); r != nil {
			h.reply = simwire.AppendPanic(h.reply, inst, fmt.Sprint(r))
		}
	}()
	for _, a := range g.Handle(h.now, ev) {
		h.reply = simwire.AppendAction(h.reply, inst, a)
	}
}
