// Package settings reads the settings of an instance from JSON into the decision module's own type, and combines the
// versions of them that are active together. The simulator's first message and the daemon's configuration hold the
// settings in the same form. The package translates names and units and makes no decisions. It has no state; a bad
// field is an error with the field's full name.
package settings

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/valyala/fastjson"

	"ferryfront.example/ferryfront/admission"
)

// maxMillis is the maximum time that a field may hold, in milliseconds: a hundred years, which a time.Duration can hold.
const maxMillis = 100 * 365 * 24 * 3600 * 1e3

var (
	// effects maps the values of a class's field effect.
	effects = map[string]admission.Effect{
		"retryable": admission.Safe, "dedup": admission.Keyed, "fragile": admission.Unsafe,
	}
	// scopes maps the values of a class's field dedupScope.
	scopes = map[string]admission.Scope{
		"all": admission.ScopeAll, "": admission.ScopeAll, "zone": admission.ScopeZone, "cell": admission.ScopeCell,
	}
	// reportNames maps the field names of load reports to the usual names, which the decision module expects. Other
	// names stay as they are.
	reportNames = map[string]string{
		"active": "inflight", "waiting": "queued", "cpu": "utilization", "avg_ms": "latency_ms",
		"rps": "rate", "err_rps": "errors",
	}
)

// Reader reads typed fields of a JSON object. An absent field or null reads as the zero value. A bad field records an
// error with the field's full name. Only the first error is kept, in common for an object and the objects inside it, so
// callers check Err once at the end and must not use the values before.
type Reader struct {
	value *fastjson.Value
	path  string
	err   *error
}

// NewReader returns a reader of the fields of v, an object that errors call path. It records an error if v is nil or not
// an object.
func NewReader(v *fastjson.Value, path string) Reader {
	r := Reader{value: v, path: path, err: new(error)}
	if v == nil || v.Type() != fastjson.TypeObject {
		r.fail("", "is missing or no object")
	}
	return r
}

// Err returns the first error.
func (r Reader) Err() error { return *r.err }

// FieldPath returns the full name of a field, from the root of the document, or that of the object if key is empty.
func (r Reader) FieldPath(key string) string {
	if key == "" || r.path == "" {
		return r.path + key
	}
	return r.path + "." + key
}

// fail records an error about a field unless there is one already.
func (r Reader) fail(key, format string, args ...any) {
	if *r.err == nil {
		*r.err = fmt.Errorf("%s %s", r.FieldPath(key), fmt.Sprintf(format, args...))
	}
}

// field returns a field's value, or nil if it is absent or null.
func (r Reader) field(key string) *fastjson.Value {
	if r.value == nil {
		return nil
	}
	if v := r.value.Get(key); v != nil && v.Type() != fastjson.TypeNull {
		return v
	}
	return nil
}

// Require records an error if one of the fields is absent or null.
func (r Reader) Require(keys ...string) {
	for _, k := range keys {
		if r.field(k) == nil {
			r.fail(k, "is missing")
		}
	}
}

// Has reports whether a field is present and not null.
func (r Reader) Has(key string) bool { return r.field(key) != nil }

// AllowOnly records an error if the object has a field that is not among keys.
func (r Reader) AllowOnly(keys ...string) {
	if r.value == nil || r.value.Type() != fastjson.TypeObject {
		return
	}
	r.value.GetObject().Visit(func(key []byte, _ *fastjson.Value) {
		if !slices.Contains(keys, string(key)) {
			r.fail(string(key), "is no field known here")
		}
	})
}

// Float returns a number, or 0 if it is absent.
func (r Reader) Float(key string) float64 {
	v := r.field(key)
	if v == nil {
		return 0
	}
	f, err := v.Float64()
	if err != nil || math.IsInf(f, 0) || math.IsNaN(f) {
		r.fail(key, "is no number")
	}
	return f
}

// Int returns a whole number from -2^53 to 2^53, or 0 if it is absent.
func (r Reader) Int(key string) int {
	f := r.Float(key)
	if f != math.Trunc(f) || math.Abs(f) > 1<<53 {
		r.fail(key, "is no whole number")
		return 0
	}
	return int(f)
}

// Millis returns a time that is given in milliseconds, rounded to microseconds, or 0 if it is absent.
func (r Reader) Millis(key string) time.Duration {
	f := r.Float(key)
	if math.Abs(f) > maxMillis {
		r.fail(key, "is not a time in milliseconds")
		return 0
	}
	return time.Duration(math.Round(f*1e3)) * time.Microsecond
}

// Bool returns a boolean, or false if it is absent.
func (r Reader) Bool(key string) bool {
	v := r.field(key)
	if v == nil {
		return false
	}
	b, err := v.Bool()
	if err != nil {
		r.fail(key, "is neither true nor false")
	}
	return b
}

// Text returns a string, or an empty one if it is absent.
func (r Reader) Text(key string) string {
	v := r.field(key)
	if v == nil {
		return ""
	}
	b, err := v.StringBytes()
	if err != nil {
		r.fail(key, "is no text")
	}
	return string(b)
}

// Object returns a reader of a nested object. If the object is absent, all its fields read as absent.
func (r Reader) Object(key string) Reader {
	v := r.field(key)
	if v != nil && v.Type() != fastjson.TypeObject {
		r.fail(key, "is no object")
		v = nil
	}
	return Reader{value: v, path: r.FieldPath(key), err: r.err}
}

// List returns a reader for each object of an array, or none if the array is absent.
func (r Reader) List(key string) []Reader {
	var list []Reader
	for i, v := range r.array(key) {
		e := Reader{value: v, path: fmt.Sprintf("%s[%d]", r.FieldPath(key), i), err: r.err}
		if v.Type() != fastjson.TypeObject {
			e.fail("", "is no object")
			e.value = nil
		}
		list = append(list, e)
	}
	return list
}

// Texts returns the strings of an array, or none if it is absent.
func (r Reader) Texts(key string) []string {
	var list []string
	for _, v := range r.array(key) {
		b, err := v.StringBytes()
		if err != nil {
			r.fail(key, "holds what is no text")
		}
		list = append(list, string(b))
	}
	return list
}

// array returns the elements of an array, or none if it is absent.
func (r Reader) array(key string) []*fastjson.Value {
	v := r.field(key)
	if v == nil {
		return nil
	}
	a, err := v.Array()
	if err != nil {
		r.fail(key, "is no list")
	}
	return a
}

// Parse reads settings from their JSON text. Errors name the field from the root "params".
func Parse(raw []byte) (admission.Settings, error) {
	v, err := fastjson.ParseBytes(raw)
	if err != nil {
		return admission.Settings{}, fmt.Errorf("params: %w", err)
	}
	return Read(NewReader(v, "params"))
}

// Read reads settings from an object of a larger document. It returns the first error that the reader has recorded,
// possibly before this call.
func Read(p Reader) (admission.Settings, error) {
	p.Require("balancers", "me", "period", "limits", "rules")
	limits, rules, extra, stats := p.Object("limits"), p.Object("rules"), p.Object("extra"), p.Object("stats")
	discovery := p.Text("discovery")
	if discovery != "push" && discovery != "ask" {
		p.fail("discovery", "is neither push nor ask: %q", discovery)
	}
	s := admission.Settings{
		Gateways: p.Int("balancers"), Index: p.Int("me"), Zone: p.Text("zone"), Tick: p.Millis("period"),
		MustSubscribe: discovery == "ask", HasCounter: extra.Bool("hasCounter"), HasBilledUnits: extra.Bool("settles"),
		CounterTimeout: extra.Millis("counterTimeout"), MaxUnits: extra.Int("maxUnits"),
		MaxAttempts: limits.Int("maxAttempts"), LateRetryAfter: limits.Millis("maxRetryAfter"),
		CanSendRetryAfter: limits.Bool("retryAfter"), CanCancel: limits.Bool("cancelling"),
		CanProbe: limits.Bool("probes"), CanMessagePeers: limits.Bool("mayTell"),
		CanHedge: limits.Bool("parallelTries"), DialTimeout: limits.Millis("dialTimeout"),
		HasAnswerReports: stats.Text("how") == "answers", AnswerSlack: rules.Millis("answerSlack"),
		AskWithin: rules.Millis("askWithin"), DrainGrace: rules.Millis("drainGrace"),
		WarmUpTime: rules.Millis("cold"), InitialCapacity: rules.Float("coldFrom"),
		ColdOverloadFactor: rules.Float("tipMultiple"), ColdOverloadTime: rules.Millis("fall"),
		CrossZoneCost: p.Object("prices").Float("crossZone"),
	}
	if s.Gateways < 1 {
		p.fail("balancers", "is %d, need at least 1", s.Gateways)
	}
	if s.Index < 0 || s.Index >= s.Gateways {
		p.fail("me", "is %d, need 0 to %d", s.Index, s.Gateways-1)
	}
	for _, name := range stats.Texts("names") {
		s.ReportNames = append(s.ReportNames, cmp.Or(reportNames[name], name))
	}
	for _, c := range p.List("classes") {
		effect, ok := effects[c.Text("effect")]
		if !ok {
			c.fail("effect", "is not known: %q", c.Text("effect"))
		}
		scope, ok := scopes[c.Text("dedupScope")]
		if !ok {
			c.fail("dedupScope", "is not known: %q", c.Text("dedupScope"))
		}
		s.Classes = append(s.Classes, admission.Class{Name: c.Text("name"), LatencyTarget: c.Millis("onTime"),
			Deadline: c.Millis("deadline"), Worth: c.Float("value"), LateWorth: c.Float("lateShare"),
			Effect: effect, Scope: scope, RepeatWindow: c.Millis("repeatWindow"), IsStream: c.Bool("stream")})
	}
	for _, plan := range p.List("tiersOfService") {
		s.Plans = append(s.Plans, admission.Plan{Name: plan.Text("name"), Rate: plan.Float("quotaRate"),
			Burst: plan.Float("storeSize"), MaxInFlight: plan.Int("atOnce"), WorthFactor: plan.Float("valueFactor"),
			OverQuotaWorth: plan.Float("overWorth"), OverQuotaCost: plan.Float("overrunCost"), CeilingRate: plan.Float("hardRate"),
			CeilingBurst: plan.Float("neverOverDepth"), CeilingSlack: plan.Float("hardSlack")})
	}
	if err := p.Err(); err != nil {
		return admission.Settings{}, err
	}
	return s, nil
}
