// Package platform is the front for the platform's own protocol.
package platform

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/front"
	"ferryfront.example/ferryfront/internal/net/downstream"
	"ferryfront.example/ferryfront/internal/net/http1"
)

// Front translates the platform's requests.
type Front struct {
	streams  front.Streams
	settings admission.Settings
	classes  map[string]int
	plans    map[string]int
	ready    func() bool
}

// New returns a front. ready tells whether the daemon may be sent requests.
func New(s front.Streams, set admission.Settings, ready func() bool) *Front {
	f := &Front{streams: s, ready: ready}
	f.Follow(set)
	return f
}

// Follow goes on under other settings. What has gone with them is known no more.
func (f *Front) Follow(set admission.Settings) {
	f.settings, f.classes, f.plans = set, map[string]int{}, map[string]int{}
	for i, c := range set.Classes {
		if !c.IsRemoved {
			f.classes[c.Name] = i
		}
	}
	for i, p := range set.Plans {
		if !p.IsRemoved {
			f.plans[p.Name] = i
		}
	}
}

// HandleRequest answers what is no stream, and opens one for what is.
func (f *Front) HandleRequest(c *downstream.Conn, r *http1.Request) {
	path := r.Path()
	switch {
	case path == "/up":
		status := 200
		if !f.ready() {
			status = 503
		}
		c.Reply(status, nil, nil)
		return
	case !strings.HasPrefix(path, "/api/"):
		local(c, 404, "no such path")
		return
	case r.Method != "GET" && r.Method != "POST":
		notAllowed(c, "GET, POST")
		return
	}
	a, err := f.read(r, path)
	if err != nil {
		local(c, 400, err.Error())
		return
	}
	// The class fixes the method. A write that passed for safe would be repeated.
	if safe := f.settings.Classes[a.Class].Effect == admission.Safe; safe && a.IsWrite {
		notAllowed(c, "GET")
		return
	} else if !safe && !a.IsWrite {
		notAllowed(c, "POST")
		return
	}
	if !front.Open(f.streams, c, a, r, owner{c}) {
		local(c, 409, front.OpenAlready)
	}
}

func notAllowed(c *downstream.Conn, allow string) {
	c.Reply(405, http1.Headers{{Name: "Allow", Value: allow}}, nil)
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
func (f *Front) HandleMalformed(c *downstream.Conn, status int, what string) { local(c, status, what) }

func local(c *downstream.Conn, status int, what string) {
	h := append(front.RetryAdvice(status), http1.Header{Name: "Content-Type", Value: "text/plain"})
	c.Reply(status, h, append([]byte(what), '\n'))
}

// read takes from the headers what the decision needs.
func (f *Front) read(r *http1.Request, path string) (admission.RequestArrived, error) {
	var a admission.RequestArrived
	var ok bool
	if err := front.Check(r); err != nil {
		return a, err
	}
	if r.Headers.Get("Request-Id") == "" {
		return a, fmt.Errorf("Request-Id is missing")
	}
	if a.Class, ok = f.classes[r.Headers.Get("Request-Class")]; !ok {
		return a, fmt.Errorf("Request-Class %q is not known", r.Headers.Get("Request-Class"))
	}
	class := &f.settings.Classes[a.Class]
	a.IsWrite = r.Method == "POST"
	if class.Effect == admission.Keyed && r.Headers.Get("Idempotency-Key") == "" {
		return a, fmt.Errorf("Idempotency-Key is missing")
	}
	if a.Plan, ok = f.plans[r.Headers.Get("X-Plan")]; !ok && len(f.plans) == 0 {
		a.Plan = -1 // a deployment without plans
	} else if !ok {
		return a, fmt.Errorf("X-Plan %q is not known", r.Headers.Get("X-Plan"))
	}
	if a.Customer, ok = front.Customer(path[strings.LastIndexByte(path, '/')+1:]); !ok {
		return a, fmt.Errorf("the path names no customer")
	}
	a.ExpiresIn = class.Deadline
	if t := r.Headers.Get("Request-Timeout"); t != "" {
		wait, ok := front.Timeout(t)
		if !ok {
			return a, fmt.Errorf("Request-Timeout %q is no time", t)
		}
		if a.ExpiresIn == 0 || wait < a.ExpiresIn { // a stream must end some day, whatever its client says
			a.ExpiresIn = wait
		}
	}
	if a.ExpiresIn == 0 {
		a.ExpiresIn = time.Minute
	}
	a.Units, a.Gateways, a.FirstGateway = 1, f.settings.Gateways, 0
	if err := front.Quota(r.Headers.Get("X-Quota"), &f.settings, &a.Units, &a.Gateways, &a.FirstGateway); err != nil {
		return a, fmt.Errorf("X-Quota: %w", err)
	}
	a.IsRetry = r.Headers.Get("Client-Retry") == "1"
	return a, nil
}

// owner answers one request.
type owner struct{ c *downstream.Conn }

// End turns the end of a stream into the platform's answer.
func (o owner) End(e core.End) {
	switch e.Kind {
	case core.Served:
		front.Serve(o.c, e)
	case core.Refused:
		o.c.Reply(front.RefusalStatus(e), http1.Headers{{Name: "Retry-After", Value: retryAfter(e.RetryAfter)}}, nil)
	case core.Expired:
		o.c.Reply(504, nil, nil)
	default:
		o.c.Reply(502, nil, nil)
	}
}

// retryAfter is in decimal seconds, up to the millisecond.
func retryAfter(d time.Duration) string {
	ms := max(1, (d+time.Millisecond-1)/time.Millisecond)
	return strconv.FormatFloat(float64(ms)/1e3, 'f', -1, 64)
}
