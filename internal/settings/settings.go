// Package settings reads the settings of an instance, as the simulator's first
// message and the daemon's configuration both hold them, into the decision
// module's own type. It translates names and units and decides nothing.
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

// longest is the largest time a field may hold, in milliseconds: a hundred years.
const longest = 100 * 365 * 24 * 3600 * 1e3

var (
	effects = map[string]admission.Effect{
		"retryable": admission.Safe, "dedup": admission.Keyed, "fragile": admission.Unsafe,
	}
	groups = map[string]admission.Scope{
		"all": admission.ScopeAll, "": admission.ScopeAll, "zone": admission.ScopeZone, "cell": admission.ScopeCell,
	}
	// reports gives the fields of a load report their usual names.
	reports = map[string]string{
		"active": "inflight", "waiting": "queued", "cpu": "utilization", "avg_ms": "latency_ms",
		"rps": "rate", "err_rps": "errors",
	}
)

// Reader takes typed fields out of a JSON object and keeps the first thing that is
// wrong, with the field's full name.
type Reader struct {
	v    *fastjson.Value
	path string
	err  *error
}

// NewReader reads the fields of v, an object that messages call path.
func NewReader(v *fastjson.Value, path string) Reader {
	r := Reader{v: v, path: path, err: new(error)}
	if v == nil || v.Type() != fastjson.TypeObject {
		r.fail("", "is missing or no object")
	}
	return r
}

// Err is the first thing that was wrong.
func (r Reader) Err() error { return *r.err }

// FieldPath is a field's full name.
func (r Reader) FieldPath(key string) string {
	if key == "" || r.path == "" {
		return r.path + key
	}
	return r.path + "." + key
}

func (r Reader) fail(key, format string, args ...any) {
	if *r.err == nil {
		*r.err = fmt.Errorf("%s %s", r.FieldPath(key), fmt.Sprintf(format, args...))
	}
}

// get returns a field, nil where it is absent or null.
func (r Reader) get(key string) *fastjson.Value {
	if r.v == nil {
		return nil
	}
	if v := r.v.Get(key); v != nil && v.Type() != fastjson.TypeNull {
		return v
	}
	return nil
}

// Require notes it as an error if one of the fields is absent.
func (r Reader) Require(keys ...string) {
	for _, k := range keys {
		if r.get(k) == nil {
			r.fail(k, "is missing")
		}
	}
}

// Has tells whether a field is there.
func (r Reader) Has(key string) bool { return r.get(key) != nil }

// AllowOnly notes it as an error if the object has a field of another name.
func (r Reader) AllowOnly(keys ...string) {
	if r.v == nil || r.v.Type() != fastjson.TypeObject {
		return
	}
	r.v.GetObject().Visit(func(key []byte, _ *fastjson.Value) {
		if !slices.Contains(keys, string(key)) {
			r.fail(string(key), "is no field known here")
		}
	})
}

// Float reads a number; absent is 0.
func (r Reader) Float(key string) float64 {
	v := r.get(key)
	if v == nil {
		return 0
	}
	f, err := v.Float64()
	if err != nil || math.IsInf(f, 0) || math.IsNaN(f) {
		r.fail(key, "is no number")
	}
	return f
}

// Int reads a whole number; absent is 0.
func (r Reader) Int(key string) int {
	f := r.Float(key)
	if f != math.Trunc(f) || math.Abs(f) > 1<<53 {
		r.fail(key, "is no whole number")
		return 0
	}
	return int(f)
}

// Millis reads a time in milliseconds, to the microsecond; absent is 0.
func (r Reader) Millis(key string) time.Duration {
	f := r.Float(key)
	if math.Abs(f) > longest {
		r.fail(key, "is not a time in milliseconds")
		return 0
	}
	return time.Duration(math.Round(f*1e3)) * time.Microsecond
}

// Bool reads a flag; absent is false.
func (r Reader) Bool(key string) bool {
	v := r.get(key)
	if v == nil {
		return false
	}
	b, err := v.Bool()
	if err != nil {
		r.fail(key, "is neither true nor false")
	}
	return b
}

// Text reads a string; absent is empty.
func (r Reader) Text(key string) string {
	v := r.get(key)
	if v == nil {
		return ""
	}
	b, err := v.StringBytes()
	if err != nil {
		r.fail(key, "is no text")
	}
	return string(b)
}

// Object reads the fields of an object; those of an absent one are all absent.
func (r Reader) Object(key string) Reader {
	v := r.get(key)
	if v != nil && v.Type() != fastjson.TypeObject {
		r.fail(key, "is no object")
		v = nil
	}
	return Reader{v: v, path: r.FieldPath(key), err: r.err}
}

// List reads the objects of an array; absent is empty.
func (r Reader) List(key string) []Reader {
	var list []Reader
	for i, v := range r.array(key) {
		e := Reader{v: v, path: fmt.Sprintf("%s[%d]", r.FieldPath(key), i), err: r.err}
		if v.Type() != fastjson.TypeObject {
			e.fail("", "is no object")
			e.v = nil
		}
		list = append(list, e)
	}
	return list
}

// Texts reads an array of strings; absent is empty.
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

func (r Reader) array(key string) []*fastjson.Value {
	v := r.get(key)
	if v == nil {
		return nil
	}
	a, err := v.Array()
	if err != nil {
		r.fail(key, "is no list")
	}
	return a
}

// Parse reads settings from their JSON text.
func Parse(raw []byte) (admission.Settings, error) {
	v, err := fastjson.ParseBytes(raw)
	if err != nil {
		return admission.Settings{}, fmt.Errorf("params: %w", err)
	}
	return Read(NewReader(v, "params"))
}

// Read reads settings from an object of a larger document.
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
		MaxAttempts: limits.Int("maxAttempts"), MaxRetryAfter: limits.Millis("maxRetryAfter"),
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
		s.ReportNames = append(s.ReportNames, cmp.Or(reports[name], name))
	}
	for _, c := range p.List("classes") {
		effect, ok := effects[c.Text("effect")]
		if !ok {
			c.fail("effect", "is not known: %q", c.Text("effect"))
		}
		group, ok := groups[c.Text("dedupScope")]
		if !ok {
			c.fail("dedupScope", "is not known: %q", c.Text("dedupScope"))
		}
		s.Classes = append(s.Classes, admission.Class{Name: c.Text("name"), LatencyTarget: c.Millis("onTime"),
			Deadline: c.Millis("deadline"), Worth: c.Float("value"), LateWorth: c.Float("lateShare"),
			Effect: effect, Scope: group, RepeatWindow: c.Millis("repeatWindow"), IsStream: c.Bool("stream")})
	}
	for _, t := range p.List("tiersOfService") {
		s.Plans = append(s.Plans, admission.Plan{Name: t.Text("name"), Rate: t.Float("quotaRate"),
			Burst: t.Float("storeSize"), MaxInFlight: t.Int("atOnce"), WorthFactor: t.Float("valueFactor"),
			OverQuotaWorth: t.Float("overWorth"), OverQuotaCost: t.Float("overrunCost"), CeilingRate: t.Float("hardRate"),
			CeilingBurst: t.Float("neverOverDepth"), CeilingSlack: t.Float("hardSlack")})
	}
	if err := p.Err(); err != nil {
		return admission.Settings{}, err
	}
	return s, nil
}
