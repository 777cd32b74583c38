package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/admission"
)

// validSettings are minimal settings with a null, an unknown field and a time with a fraction of a microsecond.
const validSettings = `{"balancers":3,"me":1,"period":4.0,"discovery":"push","classes":[{"name":"stock","deadline":3000.0005,` +
	`"effect":"retryable"}],"tiersOfService":[{"name":"p","quotaRate":null}],"limits":{"maxAttempts":3},"rules":{},` +
	`"stats":{"names":["active","odd"]},"new":1}`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, 3, s.Gateways)
	require.Equal(t, 3*time.Second+time.Microsecond, s.Classes[0].Deadline, "rounded to microseconds")
	require.Equal(t, []string{"inflight", "odd"}, s.ReportNames)
	require.Zero(t, s.Plans[0].Rate, "null counts as absent")
}

func TestErrorsNameTheField(t *testing.T) {
	for wantError, change := range map[string][2]string{
		"params.me is missing":                     {`"me":1,`, ``},
		"params.me is no whole number":             {`"me":1`, `"me":1.5`},
		"params.balancers is 0, need at least 1":   {`"balancers":3`, `"balancers":0`},
		"params.me is 3, need 0 to 2":              {`"me":1`, `"me":3`},
		"params.me is -1, need 0 to 2":             {`"me":1`, `"me":-1`},
		"params.period is no number":               {`4.0`, `"4"`},
		"params.period is not a time":              {`4.0`, `1e300`},
		"params.limits is no object":               {`"limits":{"maxAttempts":3}`, `"limits":[]`},
		"params.limits.maxAttempts is no number":   {`"maxAttempts":3`, `"maxAttempts":true`},
		"params.classes is no list":                {`"classes":[`, `"classes":{},"x":[`},
		"params.classes[0].effect is not known":    {`retryable`, `odd`},
		"params.tiersOfService[0].name is no text": {`"name":"p"`, `"name":1`},
		"params.discovery is neither push nor ask": {`"push"`, `"guess"`},
		"params.stats.names holds what is no text": {`"odd"`, `1`},
		"params: ": {`}],"tiers`, `]`},
	} {
		_, err := Parse([]byte(strings.Replace(validSettings, change[0], change[1], 1)))
		require.ErrorContains(t, err, wantError)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Fuzz(func(t *testing.T, text string) {
		_, _ = Parse([]byte(text)) // must not panic
	})
}

// Classes and plans keep their index by name whatever the order in the file, because open streams and metrics refer to
// it.
func TestKeepIndexes(t *testing.T) {
	class := func(name string, ms int) admission.Class {
		return admission.Class{Name: name, Deadline: time.Duration(ms) * time.Millisecond}
	}
	start := admission.Settings{Classes: []admission.Class{class("a", 1), class("b", 2)}, Plans: []admission.Plan{{Name: "p"}}}
	next, err := KeepIndexes(start, admission.Settings{MaxAttempts: 2, Classes: []admission.Class{class("c", 3), class("b", 4)},
		Plans: []admission.Plan{{Name: "q"}}})
	require.NoError(t, err)
	gone := class("a", 1)
	gone.IsRemoved = true
	require.Equal(t, []admission.Class{gone, class("b", 4), class("c", 3)}, next.Classes)
	require.Equal(t, []admission.Plan{{Name: "p", IsRemoved: true}, {Name: "q"}}, next.Plans)
	require.Equal(t, 2, next.MaxAttempts)
	require.False(t, start.Classes[0].IsRemoved, "the previous settings must not be modified")
	restored, err := KeepIndexes(next, admission.Settings{Classes: []admission.Class{class("a", 5)}, Plans: []admission.Plan{{Name: "p"}}})
	require.NoError(t, err)
	require.Equal(t, class("a", 5), restored.Classes[0], "a class that returns gets its old index")

	_, err = KeepIndexes(start, admission.Settings{Classes: []admission.Class{class("a", 1), class("a", 2)}})
	require.ErrorContains(t, err, `settings.classes[1].name is there twice: "a"`)
	many := admission.Settings{}
	for i := range maxNames {
		many.Classes = append(many.Classes, class(strings.Repeat("x", i+1), 1))
	}
	_, err = KeepIndexes(start, many)
	require.ErrorContains(t, err, "more than 256 names")
}
