// Package openapi is the front whose routes, classes and costs come from an OpenAPI
// description. Its streams are the core's like any other: same decisions, quotas and
// rules.
package openapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/front"
	"ferryfront.example/ferryfront/internal/front/routes"
	"ferryfront.example/ferryfront/internal/net/downstream"
	"ferryfront.example/ferryfront/internal/net/http1"
)

// Front serves the routes of one table, which may be swapped between turns.
type Front struct {
	streams  front.Streams
	settings admission.Settings
	file     File
	table    *routes.Table
	plans    map[string]int
	ready    func() bool
	log      *slog.Logger
	json     fastjson.Parser
}

// New returns a front with its first table.
func New(s front.Streams, set admission.Settings, f File, t *routes.Table, ready func() bool, log *slog.Logger) *Front {
	o := &Front{streams: s, file: f, table: t, ready: ready, log: log}
	o.Follow(set)
	return o
}

// Follow goes on under other settings. A route whose class has gone with them stays in the table, and is not served.
func (f *Front) Follow(set admission.Settings) {
	f.settings, f.plans = set, map[string]int{}
	for i, p := range set.Plans {
		if !p.IsRemoved {
			f.plans[p.Name] = i
		}
	}
}

// Swap puts another table in place. Streams that are open keep the class and cost they began with.
func (f *Front) Swap(t *routes.Table) { f.table = t }

// HandleRequest finds the route of a request and opens its stream, or answers it here.
func (f *Front) HandleRequest(c *downstream.Conn, r *http1.Request) {
	if r.Method == "GET" && r.Target == "/up" {
		if !f.ready() {
			problem(c, 502, nil, "not ready")
			return
		}
		c.Reply(200, nil, nil)
		return
	}
	path, query, _ := strings.Cut(r.Target, "?")
	m := f.table.Find(r.Method, path)
	if m.Route == nil {
		if len(m.Allowed) > 0 {
			problem(c, 405, http1.Headers{{Name: "Allow", Value: strings.Join(m.Allowed, ", ")}},
				"the path has no method "+r.Method)
			return
		}
		problem(c, 404, nil, "no such path")
		return
	}
	class := f.settings.Classes[m.Route.ClassIndex]
	if class.IsRemoved {
		problem(c, 404, nil, "class "+class.Name+" is not served any more")
		return
	}
	if r.IsStreamed && slices.ContainsFunc(m.Route.Required, func(q routes.Field) bool { return q.In == routes.InBody }) {
		problem(c, 413, nil, "a body whose fields are to be checked is too long")
		return
	}
	a, err := f.read(r, query, m)
	if err != nil {
		problem(c, 400, nil, err.Error())
		return
	}
	if r.Headers.Get("Request-Id") == "" { // the upstream hosts know requests by it
		r.Headers = append(r.Headers, http1.Header{Name: "Request-Id", Value: fmt.Sprintf("%016x", rand.Uint64())})
	}
	if !front.Open(f.streams, c, a, r, owner{c}) {
		problem(c, 409, nil, front.OpenAlready)
	}
}

// HandleClientGone tells the core that a client has gone.
func (f *Front) HandleClientGone(c *downstream.Conn) {
	f.streams.ClientDisconnected(c.Now(), c.StreamID)
}

// HandleBodyComplete tells the core that the body of an open request has come.
func (f *Front) HandleBodyComplete(c *downstream.Conn) {
	f.streams.RequestCompleted(c.Now(), c.StreamID)
}

// HandleMalformed answers what could not be read.
func (f *Front) HandleMalformed(c *downstream.Conn, status int, what string) {
	problem(c, status, front.RetryAdvice(status), what)
}

// read checks that the route's fields are there and takes what the decision needs.
func (f *Front) read(r *http1.Request, rawQuery string, m routes.Match) (admission.RequestArrived, error) {
	a := admission.RequestArrived{Class: m.Route.ClassIndex, Units: m.Route.Cost, Gateways: f.settings.Gateways,
		IsWrite: r.Method != "GET"}
	if err := front.Check(r); err != nil {
		return a, err
	}
	query, err := url.ParseQuery(rawQuery)
	if err != nil {
		return a, fmt.Errorf("the query is malformed")
	}
	if err := f.required(r, query, m); err != nil {
		return a, err
	}
	get := func(p Place) string {
		v := ""
		switch p.In {
		case routes.InHeader:
			v = r.Headers.Get(p.Name)
		case routes.InQuery:
			v = query.Get(p.Name)
		case routes.InPath:
			v = m.Params[p.Name]
		}
		if v == "" {
			v = p.Default
		}
		return v
	}
	customer, ok := get(f.file.Customer), false
	if f.file.Text {
		h := fnv.New64a()
		_, _ = h.Write([]byte(customer))
		a.Customer, ok = h.Sum64(), customer != ""
	} else {
		a.Customer, ok = front.Customer(customer)
	}
	if !ok {
		return a, fmt.Errorf("%s %s names no customer", f.file.Customer.In, f.file.Customer.Name)
	}
	if a.Plan, ok = f.plans[get(f.file.Plan)]; !ok {
		return a, fmt.Errorf("%s %s names no plan", f.file.Plan.In, f.file.Plan.Name)
	}
	a.ExpiresIn = f.settings.Classes[a.Class].Deadline
	if t := get(f.file.Deadline); t != "" {
		wait, ok := front.Timeout(t)
		if !ok || wait == 0 {
			return a, fmt.Errorf("%s %s is no time", f.file.Deadline.In, f.file.Deadline.Name)
		}
		if a.ExpiresIn == 0 || wait < a.ExpiresIn {
			a.ExpiresIn = wait
		}
	}
	if a.ExpiresIn == 0 {
		a.ExpiresIn = time.Minute
	}
	if doors := get(f.file.Doors); doors != "" {
		if err := front.Quota(doors, &f.settings, nil, &a.Gateways, &a.FirstGateway); err != nil {
			return a, err
		}
	}
	return a, nil
}

func (f *Front) required(r *http1.Request, query url.Values, m routes.Match) error {
	if m.Route.Body && len(r.Body) == 0 {
		return fmt.Errorf("the body is missing")
	}
	var body *fastjson.Value
	for _, q := range m.Route.Required {
		there := true
		switch q.In {
		case routes.InHeader:
			there = r.Headers.Get(q.Name) != ""
		case routes.InQuery:
			there = query.Has(q.Name)
		case routes.InBody:
			if body == nil {
				var err error
				if body, err = f.json.ParseBytes(r.Body); err != nil || body.Type() != fastjson.TypeObject {
					return fmt.Errorf("the body is no JSON object")
				}
			}
			there = body.Exists(q.Name)
		}
		if !there {
			return fmt.Errorf("%s %s is missing", q.In, q.Name)
		}
	}
	return nil
}

// owner answers one request.
type owner struct{ c *downstream.Conn }

// End turns the end of a stream into an answer.
func (o owner) End(e core.End) {
	switch e.Kind {
	case core.Served:
		front.Serve(o.c, e)
	case core.Refused:
		seconds := max(1, (e.RetryAfter+time.Second-1)/time.Second)
		problem(o.c, front.RefusalStatus(e), http1.Headers{{Name: "Retry-After",
			Value: strconv.Itoa(int(seconds))}}, "refused for now; to come again later does no harm")
	case core.Expired:
		problem(o.c, 504, nil, "no answer in time; it may have taken effect")
	default:
		problem(o.c, 502, nil, "failed; it may have taken effect")
	}
}

// problem answers in the form of RFC 9457.
func problem(c *downstream.Conn, status int, h http1.Headers, detail string) {
	var body bytes.Buffer
	err := json.NewEncoder(&body).Encode(struct {
		Type   string `json:"type"`
		Title  string `json:"title"`
		Status int    `json:"status"`
		Detail string `json:"detail"`
	}{"about:blank", http.StatusText(status), status, detail})
	if err != nil { // texts and a number always marshal
		panic(err)
	}
	c.Reply(status, append(h, http1.Header{Name: "Content-Type", Value: "application/problem+json"}), body.Bytes())
}
