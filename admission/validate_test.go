package admission

import "testing"

// Control replicas answer proposals of invalid settings with these texts, so rewording one changes what their
// clients see.
func TestValidationErrorTextsDoNotChange(t *testing.T) {
	for want, invalidate := range map[string]func(*Settings){
		"settings: number 2 of 2 gateways":                              func(s *Settings) { s.Index = 2 },
		"settings: a negative time":                                     func(s *Settings) { s.Tick = -1 },
		"settings: no classes, or a negative count":                     func(s *Settings) { s.Classes = nil },
		"settings: cold share, tip multiple or zone price out of range": func(s *Settings) { s.InitialCapacity = 2 },
		`settings: class "safe" has a negative time or worth`:           func(s *Settings) { s.Classes[0].LatencyTarget = -1 },
		`settings: plan "rate" has a quota out of range`:                func(s *Settings) { s.Plans[quotaPlan].Rate = -1 },
	} {
		s := testSettings()
		invalidate(&s)
		if err := s.validate(); err == nil || err.Error() != want {
			t.Errorf("got error %v, want %q", err, want)
		}
	}
}
