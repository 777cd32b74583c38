// Package simwire turns the simulator's wire (one JSON object a line) into the
// events of package admission, and its actions back into lines. It translates
// names and units and decides nothing.
package simwire

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/settings"
)

// Kind tells what a line is.
type Kind int

const (
	Tick  Kind = iota // start of a batch, Line.Now is set
	Turn              // end of a batch
	Born              // an instance starts: Line.Settings and Line.Seed
	Off               // an instance is dead
	Event             // Line.Event, for Line.Instance
)

// Line is one decoded line.
type Line struct {
	Kind     Kind
	Instance int
	Now      time.Duration
	Seed     uint64
	Settings admission.Settings
	Event    admission.Event
}

// Decoder decodes lines. It remembers the class and plan names each instance was
// given, since later events use them; which they are decides nothing.
type Decoder struct {
	names map[int]nameTable
}

type nameTable struct{ classes, plans map[string]int }

// NewDecoder returns a decoder that knows of no instance.
func NewDecoder() *Decoder { return &Decoder{names: map[int]nameTable{}} }

// ms is a wire time: milliseconds, whole microseconds.
type ms float64

// longest is the largest time a field may hold: a hundred years.
const longest = 100 * 365 * 24 * 3600 * 1e3

func (m *ms) UnmarshalJSON(b []byte) error {
	f, err := strconv.ParseFloat(string(b), 64)
	if err != nil || math.Abs(f) > longest {
		return fmt.Errorf("%s is not a time in milliseconds", clip(b))
	}
	*m = ms(f)
	return nil
}

func (m ms) duration() time.Duration {
	return time.Duration(math.Round(float64(m)*1e3)) * time.Microsecond
}

type wireEntry struct {
	Worker    string  `json:"worker"`
	Az        string  `json:"az"`
	Machine   string  `json:"machine"`
	Pack      int     `json:"pack"`
	Condition string  `json:"condition"`
	Size      float64 `json:"size"`
	BootTime  ms      `json:"bootTime"`
}

// wireEvent holds the fields of every event; a pointer is a field that must be there.
type wireEvent struct {
	Gatekeeper  *int            `json:"gatekeeper"`
	Nonce64     *json.Number    `json:"nonce64"`
	Params      json.RawMessage `json:"params"`
	Scope       string          `json:"scope"`
	Version     uint64          `json:"version"`
	MembersList []wireEntry     `json:"membersList"`
	Rid         *uint32         `json:"rid"`
	Type        string          `json:"type"`
	Plan        string          `json:"plan"`
	Account     uint64          `json:"account"`
	ExpiresIn   *ms             `json:"expiresIn"`
	PriceUnits  int             `json:"priceUnits"`
	Doors       int             `json:"doors"`
	FirstDoor   int             `json:"firstDoor"`
	IsRetry     bool            `json:"isRetry"`
	Write       bool            `json:"write"`
	Shot        int             `json:"shot"`
	Worker      string          `json:"worker"`
	Took        ms              `json:"took"`
	SeenUse     int             `json:"seenUse"`
	Billed      int             `json:"billed"`
	Ending      string          `json:"ending"`
	Ended       bool            `json:"ended"`
	Pressure    []float64       `json:"pressure"`
	Nonce       string          `json:"nonce"`
	Src         int             `json:"src"`
	Payload     string          `json:"payload"`
	Total       float64         `json:"total"`
	EntryName   string          `json:"entryName"`
	AtTime      *ms             `json:"atTime"`
}

var endings = map[string]admission.Outcome{
	"OK": admission.OK, "INTERNAL": admission.Errored, "RESOURCE_EXHAUSTED": admission.Full,
	"DEADLINE_EXCEEDED": admission.TimedOut, "UNAVAILABLE": admission.Unreachable,
	"ABORTED": admission.Broken, "CANCELLED": admission.Cancelled, "TOO_LATE": admission.NotSent,
}

var scopes = map[string]admission.ListKind{
	"D": admission.ListChanges, "F": admission.ListFull, "C": admission.ListCached, "X": admission.ListFailed,
}

var conditions = map[string]admission.ServerState{
	"U": admission.Up, "": admission.Up, "L": admission.Draining, "D": admission.Gone,
}

func clip(b []byte) string {
	if len(b) > 80 {
		return string(b[:80]) + "..."
	}
	return string(b)
}

// Decode decodes one line. A nil Event in a line of kind Event is one to pass over.
func (d *Decoder) Decode(raw []byte) (Line, error) {
	var outer map[string]json.RawMessage
	if err := json.Unmarshal(raw, &outer); err != nil {
		return Line{}, fmt.Errorf("malformed line %q: %w", clip(raw), err)
	}
	if len(outer) != 1 {
		return Line{}, fmt.Errorf("malformed line %q: want one key, the message's name", clip(raw))
	}
	for name, body := range outer {
		var ev wireEvent
		if err := json.Unmarshal(body, &ev); err != nil {
			return Line{}, fmt.Errorf("%s: %w", name, err)
		}
		line, err := d.line(name, &ev)
		if err != nil {
			return Line{}, fmt.Errorf("%s: %w", name, err)
		}
		return line, nil
	}
	return Line{}, errors.New("unreachable")
}

func (d *Decoder) line(name string, ev *wireEvent) (Line, error) {
	switch name {
	case "Tick":
		if ev.AtTime == nil {
			return Line{}, errors.New("atTime is missing")
		}
		return Line{Kind: Tick, Now: ev.AtTime.duration()}, nil
	case "YourTurn":
		return Line{Kind: Turn}, nil
	}
	if ev.Gatekeeper == nil {
		return Line{}, errors.New("gatekeeper is missing, or this is no event known here")
	}
	line := Line{Kind: Event, Instance: *ev.Gatekeeper}
	var err error
	switch name {
	case "Born":
		line.Kind = Born
		if ev.Nonce64 != nil {
			if line.Seed, err = seed(string(*ev.Nonce64)); err != nil {
				return Line{}, err
			}
		}
		if len(ev.Params) == 0 {
			return Line{}, errors.New("params is missing")
		}
		if line.Settings, err = settings.Parse(ev.Params); err != nil {
			return Line{}, err
		}
		d.remember(line.Instance, &line.Settings)
		return line, nil
	case "PowerOff":
		line.Kind = Off
		delete(d.names, line.Instance)
		return line, nil
	}
	line.Event, err = d.event(name, ev)
	return line, err
}

func seed(text string) (uint64, error) {
	if u, err := strconv.ParseUint(text, 10, 64); err == nil {
		return u, nil
	}
	i, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("nonce64: %q is no 64-bit integer", clip([]byte(text)))
	}
	return uint64(i), nil
}

func (d *Decoder) remember(inst int, s *admission.Settings) {
	t := nameTable{map[string]int{}, map[string]int{}}
	for i, c := range s.Classes {
		t.classes[c.Name] = i
	}
	for i, p := range s.Plans {
		t.plans[p.Name] = i
	}
	d.names[inst] = t
}

func (d *Decoder) event(name string, ev *wireEvent) (admission.Event, error) {
	rid := func() (uint64, error) {
		if ev.Rid == nil {
			return 0, errors.New("rid is missing")
		}
		return uint64(*ev.Rid), nil
	}
	ending, okEnding := endings[ev.Ending]
	switch name {
	case "NewRequest":
		id, err := rid()
		if err != nil {
			return nil, err
		}
		if ev.ExpiresIn == nil {
			return nil, errors.New("expiresIn is missing")
		}
		t := d.names[*ev.Gatekeeper]
		class, ok := t.classes[ev.Type]
		if !ok {
			return nil, fmt.Errorf("type: no class %q in the settings", ev.Type)
		}
		plan, ok := t.plans[ev.Plan]
		if !ok && ev.Plan != "" {
			return nil, fmt.Errorf("plan: no plan %q in the settings", ev.Plan)
		}
		if !ok {
			plan = -1
		}
		if ev.PriceUnits < 0 || ev.Doors < 0 {
			return nil, errors.New("priceUnits and doors must not be negative")
		}
		return admission.RequestArrived{ID: id, Class: class, Plan: plan, Customer: ev.Account,
			ExpiresIn: ev.ExpiresIn.duration(), Units: ev.PriceUnits, Gateways: ev.Doors,
			FirstGateway: ev.FirstDoor, IsRetry: ev.IsRetry, IsWrite: ev.Write}, nil
	case "Finished":
		id, err := rid()
		if err == nil && !okEnding {
			err = fmt.Errorf("ending: %q is no outcome", ev.Ending)
		}
		if err != nil {
			return nil, err
		}
		return admission.AttemptEnded{ID: id, Attempt: ev.Shot, Server: ev.Worker, Outcome: ending,
			Took: ev.Took.duration(), Done: ev.Ended, Billed: ev.Billed, Used: ev.SeenUse,
			Report: ev.Pressure}, nil
	case "Opened":
		id, err := rid()
		return admission.StreamOpened{ID: id, Attempt: ev.Shot, Server: ev.Worker,
			Took: ev.Took.duration()}, err
	case "ClientLeft":
		id, err := rid()
		return admission.ClientLeft{ID: id}, err
	case "Update":
		return serverList(ev)
	case "Ring":
		token, err := strconv.ParseUint(ev.Nonce, 10, 64)
		if err != nil { // not one of ours
			return nil, nil
		}
		return admission.TimerFired{Token: token}, nil
	case "Total":
		if !okEnding {
			return nil, fmt.Errorf("ending: %q is no outcome", ev.Ending)
		}
		return admission.CounterAnswered{Name: ev.EntryName, Total: ev.Total,
			Took: ev.Took.duration(), Outcome: ending}, nil
	case "Echo":
		if !okEnding {
			return nil, fmt.Errorf("ending: %q is no outcome", ev.Ending)
		}
		return admission.ProbeEnded{Server: ev.Worker, Took: ev.Took.duration(), Outcome: ending,
			Report: ev.Pressure}, nil
	case "Mail":
		b, err := hex.DecodeString(ev.Payload)
		if err != nil {
			return nil, fmt.Errorf("payload: %w", err)
		}
		return admission.PeerMessage{From: ev.Src, Payload: b}, nil
	}
	return nil, errors.New("no event known here")
}

func serverList(ev *wireEvent) (admission.Event, error) {
	kind, ok := scopes[ev.Scope]
	if !ok {
		return nil, fmt.Errorf("scope: %q is none of D, F, C, X", ev.Scope)
	}
	list := admission.ServerList{Kind: kind, Version: ev.Version}
	for _, m := range ev.MembersList {
		state, ok := conditions[m.Condition]
		if !ok {
			return nil, fmt.Errorf("condition: %q is none of U, L, D", m.Condition)
		}
		if m.Worker == "" {
			return nil, errors.New("membersList: an entry names no worker")
		}
		list.Servers = append(list.Servers, admission.ServerEntry{Name: m.Worker, Zone: m.Az,
			Kind: m.Machine, Cell: m.Pack, State: state, Size: m.Size, Boot: m.BootTime.duration()})
	}
	return list, nil
}
