package admission

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// playRandomEvents passes random events, within the host contract, to a gateway and checks the rules for its
// actions: one final answer in time, and no repeat, refusal or attempt that is not allowed. It returns all
// actions as text.
func playRandomEvents(t *testing.T, seed uint64, steps int) []string {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := testSettings()
	s.HasCounter = rng.IntN(4) > 0
	s.CanSendRetryAfter = rng.IntN(2) > 0
	d := newDriver(t, s, "s1", "s2", "s3")
	type clientRequest struct {
		class        int
		due          time.Duration         // its deadline
		isAnswered   bool                  // it has its final answer, or its client has left
		openAttempts map[int]string        // servers, by attempt number
		sends        int                   // attempts so far
		mayHaveRun   bool                  // an attempt has ended so that it may have run
		mayHaveRunAt time.Duration         // send time of the first such attempt
		sentAt       map[int]time.Duration // send times, by attempt number
	}
	requests := map[uint64]*clientRequest{}
	var openRequests []uint64
	var openCalls []string
	var timers []SetTimer
	var log []string
	serverStates := map[string]ServerState{}
	nextID := uint64(1)
	checkActions := func() {
		for _, a := range d.takeActions() {
			log = append(log, fmt.Sprintf("%d %T%+v", d.now, a, a))
			switch a := a.(type) {
			case Send:
				r := requests[a.ID]
				switch {
				case r == nil || r.isAnswered:
					t.Fatalf("seed %d: a finished request is sent", seed)
				case len(r.openAttempts) > 0:
					t.Fatalf("seed %d: two open attempts", seed)
				case serverStates[a.Server] != Up:
					t.Fatalf("seed %d: sent to a server that is draining or gone", seed)
				case r.mayHaveRun && s.Classes[r.class].Effect == Unsafe:
					t.Fatalf("seed %d: an unsafe request that may have run is sent again", seed)
				case r.mayHaveRun && s.Classes[r.class].Effect == Keyed &&
					d.now > r.mayHaveRunAt+s.Classes[r.class].RepeatWindow:
					t.Fatalf("seed %d: a keyed request is repeated after its window", seed)
				case r.sends >= s.MaxAttempts:
					t.Fatalf("seed %d: too many attempts", seed)
				}
				r.openAttempts[r.sends], r.sentAt[r.sends] = a.Server, d.now
				r.sends++
			case Refuse:
				r := requests[a.ID]
				if r == nil || r.isAnswered {
					t.Fatalf("seed %d: a finished request is refused", seed)
				}
				c := s.Classes[r.class]
				if r.mayHaveRun && (c.Effect == Unsafe || c.Effect == Keyed && c.Scope != ScopeAll) {
					t.Fatalf("seed %d: a request that may have run is refused", seed)
				}
				r.isAnswered = true
			case Fail:
				if r := requests[a.ID]; r == nil || r.isAnswered {
					t.Fatalf("seed %d: a finished request is failed", seed)
				}
				requests[a.ID].isAnswered = true
			case CounterAdd:
				if !s.HasCounter {
					t.Fatalf("seed %d: a counter call without a counter", seed)
				}
				openCalls = append(openCalls, a.Name)
			case SetTimer:
				timers = append(timers, a)
			}
		}
	}
	endAttempts := func(id uint64, outcome Outcome) {
		r := requests[id]
		for n, server := range r.openAttempts {
			delete(r.openAttempts, n)
			if outcome != OK && outcome != Full && outcome != Unreachable && !r.mayHaveRun {
				r.mayHaveRun, r.mayHaveRunAt = true, r.sentAt[n]
			}
			done := outcome == OK || r.isAnswered
			if outcome == OK {
				r.isAnswered = true
			}
			d.handle(AttemptEnded{ID: id, Attempt: n, Server: server, Outcome: outcome, Done: done,
				Took: d.now - r.sentAt[n], Billed: 1 + rng.IntN(8)})
			checkActions()
		}
	}
	for range steps {
		d.advance(time.Duration(rng.IntN(8)) * ms)
		for i := 0; i < len(timers); i++ { // due timers, in the order they were set
			if timers[i].At <= d.now {
				token := timers[i].Token
				timers = append(timers[:i], timers[i+1:]...)
				i--
				d.handle(TimerFired{Token: token})
				checkActions()
			}
		}
		stillOpen := openRequests[:0]
		for _, id := range openRequests { // the host ends attempts at the deadline
			r := requests[id]
			if d.now >= r.due && !r.isAnswered {
				if len(r.openAttempts) > 0 {
					endAttempts(id, TimedOut)
				}
				if !r.isAnswered && d.now > r.due+s.AnswerSlack {
					t.Fatalf("seed %d: request %d of class %d has no answer after its deadline", seed, id, r.class)
				}
			}
			if !r.isAnswered || len(r.openAttempts) > 0 {
				stillOpen = append(stillOpen, id)
			}
		}
		openRequests = stillOpen
		switch choice := rng.IntN(20); {
		case choice < 7:
			class := rng.IntN(len(s.Classes))
			r := &clientRequest{class: class, openAttempts: map[int]string{}, sentAt: map[int]time.Duration{}}
			expires := time.Duration(rng.IntN(2000)) * ms
			r.due = d.now + expires
			requests[nextID] = r
			openRequests = append(openRequests, nextID)
			d.handle(RequestArrived{ID: nextID, Class: class, Plan: rng.IntN(len(s.Plans)+1) - 1,
				Customer: uint64(rng.IntN(4)), ExpiresIn: expires, Units: rng.IntN(9), Gateways: rng.IntN(3)})
			nextID++
		case choice < 13 && len(openRequests) > 0:
			endAttempts(openRequests[rng.IntN(len(openRequests))], Outcome(rng.IntN(int(NotSent))))
		case choice < 17 && len(openCalls) > 0:
			name := openCalls[0]
			openCalls = openCalls[1:]
			d.handle(CounterAnswered{Name: name, Total: float64(rng.IntN(20)), Took: ms,
				Outcome: []Outcome{OK, OK, OK, Full, TimedOut, Unreachable}[rng.IntN(6)]})
		case choice == 17 && len(openRequests) > 0:
			id := openRequests[rng.IntN(len(openRequests))]
			requests[id].isAnswered = true
			d.handle(ClientLeft{ID: id})
		case choice == 18:
			e := ServerEntry{Name: fmt.Sprintf("s%d", 1+rng.IntN(4)), Zone: "a", State: ServerState(rng.IntN(3))}
			if rng.IntN(2) == 0 {
				e.State = Up
				e.Boot = d.now
			}
			serverStates[e.Name] = e.State
			d.handle(ServerList{Kind: ListChanges, Servers: []ServerEntry{e}})
		}
		checkActions()
	}
	return log
}

func FuzzInvariantsUnderRandomEvents(f *testing.F) {
	for seed := range uint64(40) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) { playRandomEvents(t, seed, 1500) })
}

func TestEqualEventsGiveEqualActions(t *testing.T) {
	for seed := range uint64(5) {
		if a, b := playRandomEvents(t, seed, 2000), playRandomEvents(t, seed, 2000); !reflect.DeepEqual(a, b) {
			t.Fatalf("seed %d: equal events give different actions", seed)
		}
	}
}
