package admission

import (
	"testing"
	"time"
)

func TestUnsafeRequestThatMayHaveRunFails(t *testing.T) {
	for _, outcome := range []Outcome{Errored, TimedOut, Broken, Cancelled} {
		d := newDriver(t, testSettings(), "s1", "s2")
		d.arrive(1, 2, unlimitedPlan, 1)
		send := onlyAction[Send](d)
		if send.Wait != 0 {
			t.Fatal("the attempt of an unsafe request has a time limit before the deadline")
		}
		d.advance(20 * ms)
		d.endAttempt(1, 0, send.Server, outcome)
		requireNone[Send](d)
		requireNone[Refuse](d)
		onlyAction[Fail](d)
	}
	for _, outcome := range []Outcome{Full, Unreachable} { // it did not run
		d := newDriver(t, testSettings(), "s1", "s2")
		d.arrive(1, 2, unlimitedPlan, 1)
		send := onlyAction[Send](d)
		d.endAttempt(1, 0, send.Server, outcome)
		onlyAction[Send](d)
	}
}

func TestKeyedRequestIsRepeatedOnlyInWindowAndScope(t *testing.T) {
	d := newDriver(t, testSettings(), "s1", "s2")
	d.arrive(1, 1, unlimitedPlan, 1)
	send := onlyAction[Send](d)
	d.advance(100 * ms)
	d.endAttempt(1, 0, send.Server, Broken)
	onlyAction[Send](d)

	d = newDriver(t, testSettings(), "s1", "s2")
	d.arrive(1, 1, unlimitedPlan, 1)
	send = onlyAction[Send](d)
	d.advance(299 * ms) // the window of 300 ms ends before a repeat would arrive
	d.endAttempt(1, 0, send.Server, Broken)
	requireNone[Send](d)

	d = newDriver(t, testSettings(), "s1")
	d.arrive(1, 3, unlimitedPlan, 1)
	send = onlyAction[Send](d)
	d.handle(ServerList{Kind: ListFull, Servers: []ServerEntry{{Name: "s2", Zone: "b"}}})
	d.endAttempt(1, 0, send.Server, Broken)
	for len(actionsOf[Fail](d.actions)) == 0 {
		requireNone[Send](d) // servers of another zone do not recognise the key
		requireNone[Refuse](d)
		timers := actionsOf[SetTimer](d.takeActions())
		if len(timers) == 0 {
			t.Fatal("the request has no answer and no timer")
		}
		d.now = timers[0].At
		d.handle(TimerFired{Token: timers[0].Token})
	}
}

func TestRequestHasOneFinalAnswer(t *testing.T) {
	d := newDriver(t, testSettings(), "s1", "s2")
	d.arrive(1, 0, unlimitedPlan, 1)
	send := onlyAction[Send](d)
	d.handle(ClientLeft{ID: 1})
	d.endAttempt(1, 0, send.Server, Unreachable) // the late end of an attempt of a finished request
	if len(d.gateway.requests) != 0 {
		t.Fatal("the request is kept after its last attempt")
	}
	d.handle(ClientLeft{ID: 1})
	requireNone[Send](d)
	requireNone[Refuse](d)
	requireNone[Fail](d)
	if len(d.gateway.requests) != 0 {
		t.Fatal("the finished request is back")
	}

	d.arrive(2, 0, quotaPlan, 1) // its client leaves before the counter answers
	add := onlyAction[CounterAdd](d)
	d.handle(ClientLeft{ID: 2})
	d.handle(CounterAnswered{Name: add.Name, Total: 1, Took: ms, Outcome: OK})
	requireNone[Send](d)
	requireNone[Refuse](d)
	d.arrive(3, 0, quotaPlan, 1)
	if next := onlyAction[CounterAdd](d); next.Delta != 0 { // the unit of request 2 is taken back
		t.Fatalf("the next call adds %v, want 0", next.Delta)
	}
}

// A deadline shorter than any wait, for the counter or for a server, still gets an answer in time.
func TestShortDeadlineIsAnsweredInTime(t *testing.T) {
	for _, timeLeft := range []time.Duration{0, ms, 3 * ms, 8 * ms} {
		settings := testSettings()
		settings.AnswerSlack = 4 * ms
		d := newDriver(t, settings) // no servers, and the counter does not answer
		d.handle(RequestArrived{ID: 1, Class: 0, Plan: quotaPlan, Customer: 5, ExpiresIn: timeLeft, Units: 1, Gateways: 2})
		due := d.now + timeLeft + d.gateway.settings.AnswerSlack
		for n := 0; len(actionsOf[Refuse](d.actions)) == 0; n++ {
			timers := actionsOf[SetTimer](d.takeActions())
			if len(timers) == 0 || n > 10 {
				t.Fatalf("%v left: no answer and no timer", timeLeft)
			}
			d.now = max(d.now+d.gateway.settings.Tick, timers[0].At)
			if d.now > due {
				t.Fatalf("%v left: answered too late", timeLeft)
			}
			d.handle(TimerFired{Token: timers[0].Token})
		}
	}
}

func TestHeldRequestsAreAnsweredInTime(t *testing.T) {
	d := newDriver(t, testSettings())
	d.arrive(1, 0, unlimitedPlan, 1)
	due := d.now + 500*ms
	for len(actionsOf[Refuse](d.actions)) == 0 {
		timers := actionsOf[SetTimer](d.takeActions())
		if len(timers) == 0 || d.now > due {
			t.Fatal("the request is held past its latency target")
		}
		d.now = timers[0].At
		d.handle(TimerFired{Token: timers[0].Token})
	}
}
