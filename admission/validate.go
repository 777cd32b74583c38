package admission

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// validate returns an error for the first setting that a gateway can't work with. Control replicas answer
// proposals of such settings with its text.
func (s *Settings) validate() error {
	hasInvalid := func(values ...float64) bool {
		return slices.ContainsFunc(values, func(v float64) bool { return math.IsNaN(v) || math.IsInf(v, 0) || v < 0 })
	}
	switch {
	case s.Gateways < 1 || s.Index < 0 || s.Index >= s.Gateways:
		return fmt.Errorf("settings: number %d of %d gateways", s.Index, s.Gateways)
	case min(s.Tick, s.CounterTimeout, s.WarmUpTime, s.ColdOverloadTime, s.DrainGrace) < 0:
		return errors.New("settings: a negative time")
	case len(s.Classes) == 0 || s.MaxAttempts < 0 || s.MaxUnits < 0:
		return errors.New("settings: no classes, or a negative count")
	case hasInvalid(s.InitialCapacity, 1-s.InitialCapacity, s.ColdOverloadFactor, s.CrossZoneCost):
		return errors.New("settings: cold share, tip multiple or zone price out of range")
	}
	for _, c := range s.Classes {
		if min(c.LatencyTarget, c.Deadline, c.RepeatWindow) < 0 || hasInvalid(c.Worth) {
			return fmt.Errorf("settings: class %q has a negative time or worth", c.Name)
		}
	}
	for _, p := range s.Plans {
		if hasInvalid(p.Rate, p.Burst, float64(p.MaxInFlight), p.CeilingRate, p.CeilingBurst, p.CeilingSlack) ||
			p.Rate > 0 && p.Burst == 0 {
			return fmt.Errorf("settings: plan %q has a quota out of range", p.Name)
		}
	}
	return nil
}
