package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"ferryfront.example/ferryfront/admission"
)

// own are the fields of settings that differ from one ingress to the next. They are no part of a version.
var own = []string{"me", "zone"}

// Shared returns the part of settings that all ingresses have in common, in one form however it was written: JSON
// with its keys sorted.
func Shared(raw []byte) ([]byte, error) {
	o, err := object(raw)
	if err != nil {
		return nil, err
	}
	for _, key := range own {
		delete(o, key)
	}
	return json.Marshal(o)
}

// Localize puts the ingress's own fields, of its own settings, into the shared part of others.
func Localize(shared, mine []byte) ([]byte, error) {
	to, err := object(shared)
	if err != nil {
		return nil, err
	}
	from, err := object(mine)
	if err != nil {
		return nil, err
	}
	for _, key := range own {
		if v, ok := from[key]; ok {
			to[key] = v
		}
	}
	return json.Marshal(to)
}

func object(raw []byte) (map[string]any, error) {
	var o map[string]any
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber() // as they were written
	if err := d.Decode(&o); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if o == nil {
		return nil, fmt.Errorf("settings are no object")
	}
	return o, nil
}

// least is the smaller of two bounds, of which 0 is none.
func least[T int | float64 | time.Duration](a, b T) T {
	switch {
	case a == 0:
		return b
	case b == 0:
		return a
	}
	return min(a, b)
}

// Stricter returns settings under which nothing is done that either forbids: of each limit the lower, of each class
// the effect that may be repeated less. What is no limit is as the newer ones say. Classes and plans that only one
// has are there.
func Stricter(older, newer admission.Settings) admission.Settings {
	s := newer
	s.Gateways = max(older.Gateways, newer.Gateways)
	s.MaxUnits = max(older.MaxUnits, newer.MaxUnits)
	s.MaxAttempts = least(older.MaxAttempts, newer.MaxAttempts)
	s.CanHedge = older.CanHedge && newer.CanHedge
	s.CanProbe = older.CanProbe && newer.CanProbe
	s.CanMessagePeers = older.CanMessagePeers && newer.CanMessagePeers
	s.DrainGrace = least(older.DrainGrace, newer.DrainGrace)
	s.WarmUpTime = max(older.WarmUpTime, newer.WarmUpTime)
	s.InitialCapacity = min(older.InitialCapacity, newer.InitialCapacity)
	s.ColdOverloadFactor = least(older.ColdOverloadFactor, newer.ColdOverloadFactor)
	s.Classes = slices.Clone(newer.Classes)
	for _, o := range older.Classes {
		i := slices.IndexFunc(s.Classes, func(c admission.Class) bool { return c.Name == o.Name })
		if i < 0 {
			s.Classes = append(s.Classes, o)
			continue
		}
		c := &s.Classes[i]
		if c.Effect == admission.Keyed && o.Effect == admission.Keyed {
			c.RepeatWindow = least(c.RepeatWindow, o.RepeatWindow)
		} else if o.Effect > c.Effect {
			c.RepeatWindow = o.RepeatWindow
		}
		c.Effect, c.Scope = max(c.Effect, o.Effect), max(c.Scope, o.Scope)
		c.Deadline = least(c.Deadline, o.Deadline)
	}
	s.Plans = slices.Clone(newer.Plans)
	for _, o := range older.Plans {
		i := slices.IndexFunc(s.Plans, func(p admission.Plan) bool { return p.Name == o.Name })
		if i < 0 {
			s.Plans = append(s.Plans, o)
			continue
		}
		p := &s.Plans[i]
		p.Rate, p.Burst = least(p.Rate, o.Rate), least(p.Burst, o.Burst)
		p.MaxInFlight = least(p.MaxInFlight, o.MaxInFlight)
		if o.CeilingRate > 0 && p.CeilingRate > 0 {
			p.CeilingSlack = min(p.CeilingSlack, o.CeilingSlack)
		} else if o.CeilingRate > 0 {
			p.CeilingSlack = o.CeilingSlack
		}
		p.CeilingRate, p.CeilingBurst = least(p.CeilingRate, o.CeilingRate), least(p.CeilingBurst, o.CeilingBurst)
	}
	return s
}
