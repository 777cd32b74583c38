package admission

// Bookkeeping of requests, attempts, servers, customers, timers and actions. Nothing here decides.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Kinds of timers. A timer token is a request id, or 0, times timerKindCount plus the kind.
const (
	timerCounterWait = iota // a request has waited long enough for the counter
	timerRecheck            // held requests are tried again
	timerExpiry             // customers that send nothing are dropped
	timerKindCount
)

// emit adds an action to those that the present call returns.
func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

// setTimer asks for a timer of a kind for a request, or for the gateway if id is 0.
func (g *Gateway) setTimer(kind int, id uint64, at time.Duration) {
	g.emit(SetTimer{Token: id*timerKindCount + uint64(kind), At: at})
}

// log tells the operator of a change of state, unless the gateway has already written maxLines lines.
func (g *Gateway) log(maxLines int, format string, args ...any) {
	if g.logLines++; g.logLines <= maxLines {
		g.emit(Log{Text: fmt.Sprintf(format, args...)})
	}
}

// hasSpentAttempts reports whether a request has had all its attempts or can't be sent again. A limit of 0
// means no limit.
func (g *Gateway) hasSpentAttempts(r *request) bool {
	return r.notReplayable || g.settings.MaxAttempts > 0 && len(r.attempts) >= g.settings.MaxAttempts
}

// addRequest records a request that has arrived. If an attempt for its key may have run before, every attempt
// of it is a repeat.
func (g *Gateway) addRequest(ev RequestArrived) *request {
	r := &request{id: ev.ID, class: &g.settings.Classes[ev.Class], classIndex: ev.Class,
		units: math.Max(1, float64(ev.Units)), arrivedAt: g.now, deadline: g.now + ev.ExpiresIn,
		slowStartSample: g.rng.Float64()}
	r.due, r.isPartial = min(r.arrivedAt+r.class.LatencyTarget, r.deadline), ev.IsPartial
	if prior := ev.PriorAttempt; prior != nil {
		entry := ServerEntry{Name: prior.Server, Zone: prior.Zone, Cell: prior.Cell}
		r.priorServer, r.priorSentAt = &server{ServerEntry: entry}, prior.SentAt
	}
	g.requests[ev.ID] = r
	g.classMix.Learn(r.classIndex, classMixWeight)
	return r
}

// addServer adds a server that discovery names for the first time, at its place in the order of names.
func (g *Gateway) addServer(entry ServerEntry) *server {
	s := &server{relativeLatency: 1, startedAt: entry.Boot}
	g.servers[entry.Name] = s
	index, _ := slices.BinarySearchFunc(g.serversByName, entry.Name,
		func(s *server, name string) int { return strings.Compare(s.Name, name) })
	g.serversByName = slices.Insert(g.serversByName, index, s)
	return s
}

// updateServers takes over the entries of a list or of changes. A server that is gone is forgotten once it
// holds no open attempt.
func (g *Gateway) updateServers(ev ServerList) {
	if ev.Kind != ListChanges {
		for _, s := range g.serversByName {
			s.State = Gone
		}
	}
	for _, entry := range ev.Servers {
		s := g.servers[entry.Name]
		if s == nil {
			s = g.addServer(entry)
		} else if entry.Boot != s.Boot && entry.Boot != 0 {
			// It restarted and kept its name. The new start may be before the old one if its clock was set back.
			s.startedAt, s.relativeLatency, s.failures, s.connectionFailures, s.ejectedUntil = entry.Boot, 1, 0, 0, 0
		}
		s.ServerEntry = entry
	}
	g.serversByName = slices.DeleteFunc(g.serversByName, func(s *server) bool {
		if s.State != Gone || len(s.outstanding) > 0 {
			return false
		}
		delete(g.servers, s.Name)
		return true
	})
}

// expireCustomers drops customers without requests in flight that have sent nothing for customerTTL.
func (g *Gateway) expireCustomers() {
	for id, c := range g.customers {
		if g.now-c.lastSeen > customerTTL && c.inFlight == 0 {
			delete(g.customers, id)
		}
	}
}

// startAttempt records an attempt of a request at a server, sent now.
func (g *Gateway) startAttempt(r *request, s *server) {
	r.wasSent = true
	r.attempts = append(r.attempts, attempt{server: s, sentAt: g.now, isLive: true})
	r.liveAttempts++
	g.liveAttempts++
	if !r.isPartial { // with a partial request the server has nothing to run: its silence is no failure
		s.outstanding = append(s.outstanding, g.now)
	}
}

// ejectionTime returns for how long the server is ejected after its present number of failures.
func (s *server) ejectionTime() time.Duration {
	return min(maxEjection, minEjection<<max(0, min(s.failures-1, 8)))
}

// endAttempt records the end of an attempt and learns from it. It returns nil, and does nothing, if there is
// no such open attempt.
func (g *Gateway) endAttempt(r *request, ev AttemptEnded) *attempt {
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].isLive {
		return nil
	}
	ended := &r.attempts[ev.Attempt]
	ended.isLive = false
	r.liveAttempts--
	g.liveAttempts--
	r.notReplayable = ev.NotReplayable
	g.learnFromAttempt(ended, r, ev)
	return ended
}

// usefulSeconds returns for how many seconds after the arrival of a request of the class an answer is of use:
// the latency target or, if shorter, the deadline.
func (c *Class) usefulSeconds() float64 {
	return min(c.LatencyTarget, cmp.Or(c.Deadline, c.LatencyTarget)).Seconds()
}

// detachCalls stops waiting for the request's counter calls: their answers no longer decide on it.
func (r *request) detachCalls() {
	for _, call := range r.pendingCalls {
		call.request, call.requestDelta = nil, 0
	}
	r.pendingCalls = nil
}

// addCounted records that a counter holds these additional units for the request.
func (r *request) addCounted(counter *windowCounter, units float64) {
	if counter == &r.customer.quotaCounter {
		r.quotaCounted, r.quotaWindow = r.quotaCounted+units, counter.window
	} else if counter == &r.customer.inFlightCounter {
		r.inFlightCounted += units
		r.customer.inFlightCounted += units
	}
}
