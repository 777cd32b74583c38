package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"ferryfront.example/ferryfront/admission"
)

// localKeys are the fields of the settings that differ between ingresses. They are not part of a version.
var localKeys = []string{"me", "zone"}

// Shared returns the part of the settings that all ingresses have in common, as JSON with sorted keys and without white
// space: its hash must not depend on how raw is laid out. Numbers stay as they are written. It returns an error if raw is
// not a JSON object.
func Shared(raw []byte) ([]byte, error) {
	fields, err := parseObject(raw)
	if err != nil {
		return nil, err
	}
	for _, key := range localKeys {
		delete(fields, key)
	}
	return json.Marshal(fields)
}

// Localize returns the shared part of settings, completed by the localKeys fields of own, the settings of this ingress.
// It returns an error if either is not a JSON object.
func Localize(shared, own []byte) ([]byte, error) {
	combined, err := parseObject(shared)
	if err != nil {
		return nil, err
	}
	ownFields, err := parseObject(own)
	if err != nil {
		return nil, err
	}
	for _, key := range localKeys {
		if v, ok := ownFields[key]; ok {
			combined[key] = v
		}
	}
	return json.Marshal(combined)
}

// parseObject parses a JSON object.
func parseObject(raw []byte) (map[string]any, error) {
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber() // keeps numbers as they were written
	if err := decoder.Decode(&fields); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if fields == nil {
		return nil, fmt.Errorf("settings are no object")
	}
	return fields, nil
}

// minLimit returns the lower of two limits, where 0 means no limit.
func minLimit[T int | float64 | time.Duration](a, b T) T {
	switch {
	case a == 0:
		return b
	case b == 0:
		return a
	}
	return min(a, b)
}

// Stricter returns settings that allow nothing that either of the two forbids: the lower of each limit, what is
// permitted only if both permit it, and for each class the effect and the scope that allow fewer repeats. Gateways,
// MaxUnits and WarmUpTime take the higher value: a larger fleet, larger requests and a longer warm-up are the stricter
// assumptions. What is not a limit is taken from newer. Classes and plans that only one of the two has are included.
func Stricter(older, newer admission.Settings) admission.Settings {
	s := newer
	s.Gateways = max(older.Gateways, newer.Gateways)
	s.MaxUnits = max(older.MaxUnits, newer.MaxUnits)
	s.MaxAttempts = minLimit(older.MaxAttempts, newer.MaxAttempts)
	s.CanHedge = older.CanHedge && newer.CanHedge
	s.CanProbe = older.CanProbe && newer.CanProbe
	s.CanMessagePeers = older.CanMessagePeers && newer.CanMessagePeers
	s.DrainGrace = minLimit(older.DrainGrace, newer.DrainGrace)
	s.WarmUpTime = max(older.WarmUpTime, newer.WarmUpTime)
	s.InitialCapacity = min(older.InitialCapacity, newer.InitialCapacity)
	s.ColdOverloadFactor = minLimit(older.ColdOverloadFactor, newer.ColdOverloadFactor)
	s.Classes = slices.Clone(newer.Classes)
	for _, o := range older.Classes {
		i := slices.IndexFunc(s.Classes, func(c admission.Class) bool { return c.Name == o.Name })
		if i < 0 {
			s.Classes = append(s.Classes, o)
			continue
		}
		c := &s.Classes[i]
		if c.Effect == admission.Keyed && o.Effect == admission.Keyed {
			c.RepeatWindow = minLimit(c.RepeatWindow, o.RepeatWindow)
		} else if o.Effect > c.Effect {
			c.RepeatWindow = o.RepeatWindow
		}
		c.Effect, c.Scope = max(c.Effect, o.Effect), max(c.Scope, o.Scope)
		c.Deadline = minLimit(c.Deadline, o.Deadline)
	}
	s.Plans = slices.Clone(newer.Plans)
	for _, o := range older.Plans {
		i := slices.IndexFunc(s.Plans, func(p admission.Plan) bool { return p.Name == o.Name })
		if i < 0 {
			s.Plans = append(s.Plans, o)
			continue
		}
		p := &s.Plans[i]
		p.Rate, p.Burst = minLimit(p.Rate, o.Rate), minLimit(p.Burst, o.Burst)
		p.MaxInFlight = minLimit(p.MaxInFlight, o.MaxInFlight)
		if o.CeilingRate > 0 && p.CeilingRate > 0 {
			p.CeilingSlack = min(p.CeilingSlack, o.CeilingSlack)
		} else if o.CeilingRate > 0 {
			p.CeilingSlack = o.CeilingSlack
		}
		p.CeilingRate, p.CeilingBurst = minLimit(p.CeilingRate, o.CeilingRate), minLimit(p.CeilingBurst, o.CeilingBurst)
	}
	return s
}
