package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/admission"
)

// A client leaves while its upstream request waits for a connection. The request is withdrawn, whatever the module does
// with pending attempts. A request that is already written stays pending.
func TestUnwrittenRequestIsWithdrawnWhenItsClientLeaves(t *testing.T) {
	for _, unwritten := range []bool{true, false} {
		c, module, env, _ := newTestCore(sendToHost)
		env.isUnwritten = unwritten
		id := c.StartStream(0, env.request(100*ms))
		c.Turn(0)
		c.ClientDisconnected(5*ms, id)
		c.Turn(5 * ms)
		require.Contains(t, module.events, admission.Event(admission.ClientLeft{ID: id}))
		ended := admission.AttemptEnded{ID: id, Server: "h", Outcome: admission.NotSent, Took: 5 * ms, Done: true}
		if unwritten {
			require.Equal(t, admission.Event(ended), module.events[len(module.events)-1])
			require.Empty(t, c.streams)
		} else {
			require.NotContains(t, module.events, admission.Event(ended))
			require.Len(t, c.streams, 1)
		}
	}
}

// An upstream request that times out or is cancelled before it is fully written can't have run, and its outcome must say
// so: the module may then send it again.
func TestUnwrittenRequestCountsAsNotRun(t *testing.T) {
	for _, unwritten := range []bool{true, false} {
		c, module, env, _ := newTestCore(func(ev admission.Event) []admission.Action {
			if r, ok := ev.(admission.RequestArrived); ok {
				return []admission.Action{admission.Send{ID: r.ID, Server: "h", Wait: 20 * ms}}
			}
			if ev, ok := ev.(admission.AttemptEnded); ok && ev.Attempt == 0 {
				return []admission.Action{admission.Send{ID: ev.ID, Server: "i"}}
			}
			return nil
		})
		env.isUnwritten = unwritten
		id := c.StartStream(0, env.request(100*ms))
		c.Turn(0)
		c.Turn(20 * ms)
		c.Turn(20 * ms)
		c.Execute([]admission.Action{admission.Cancel{ID: id, Attempt: 1}})
		c.Turn(20 * ms)
		var outcomes []admission.Outcome
		for _, ev := range module.events {
			if ev, ok := ev.(admission.AttemptEnded); ok {
				outcomes = append(outcomes, ev.Outcome)
			}
		}
		if unwritten {
			require.Equal(t, []admission.Outcome{admission.Unreachable, admission.NotSent}, outcomes)
		} else {
			require.Equal(t, []admission.Outcome{admission.TimedOut, admission.Cancelled}, outcomes)
		}
	}
}

// A repeat of an idempotency key that still waits for its connection at the end of the key's window is withdrawn, as the
// hosts would run it again. A repeat that is written stays pending, and a first attempt has no such limit.
func TestRepeatIsWithdrawnAtTheEndOfItsWindow(t *testing.T) {
	for _, unwritten := range []bool{true, false} {
		c, module, env, _ := newTestCore(func(ev admission.Event) []admission.Action {
			if ev, ok := ev.(admission.AttemptEnded); ok && ev.Attempt == 0 {
				return []admission.Action{admission.Send{ID: ev.ID, Server: "i"}}
			}
			return sendToHost(ev)
		})
		c.idempotencyKeys.repeatWindows = []time.Duration{100 * ms}
		env.isUnwritten = unwritten
		r := env.request(time.Second)
		r.IdempotencyKey = "k"
		id := c.StartStream(0, r)
		c.Turn(0)
		c.UpstreamEnded(40*ms, Ref{id, 0}, admission.Broken, Answer{})
		require.Equal(t, 100*ms-testMargin, c.Turn(40*ms), "the window starts with the first attempt")
		c.Turn(100*ms - testMargin)
		c.Turn(100*ms - testMargin)
		want := admission.AttemptEnded{ID: id, Attempt: 1, Server: "i", Outcome: admission.NotSent, Took: 60*ms - testMargin}
		if unwritten {
			require.Equal(t, admission.Event(want), module.events[len(module.events)-1])
		}
		require.Equal(t, unwritten, c.streams[id].pendingAttempts == 0)
	}
}

// A client leaves and sends the same idempotency key again within one turn. The attempts of the first stream are
// cancelled before the module gets the second request, which is sent to the host where the first may have run. While
// the client of the first stream still waits, the second request is rejected.
func TestKeyIsReusedInTheTurnInWhichItsClientLeaves(t *testing.T) {
	for _, clientLeft := range []bool{true, false} {
		c, module, env, _ := newTestCore(func(ev admission.Event) []admission.Action {
			if ev, ok := ev.(admission.ClientLeft); ok {
				return []admission.Action{admission.Cancel{ID: ev.ID}}
			}
			return sendToHost(ev)
		})
		c.idempotencyKeys.repeatWindows = []time.Duration{time.Second}
		r := env.request(time.Second)
		r.IdempotencyKey = "k"
		id := c.StartStream(0, r)
		c.Turn(0)
		c.Turn(0)
		if clientLeft {
			c.ClientDisconnected(5*ms, id)
		}
		require.Equal(t, clientLeft, c.StartStream(5*ms, r) != 0)
		c.Turn(5 * ms)
		if clientLeft {
			require.Equal(t, []string{"start h", "cancel", "start h"}, env.calls)
			again, ok := module.events[len(module.events)-1].(admission.RequestArrived)
			require.True(t, ok)
			require.Equal(t, "h", again.PriorAttempt.Server)
		}
	}
}

// reconnectingOwner is the owner of a stream. When that stream ends, the client of another stream leaves and sends its
// request again.
type reconnectingOwner struct {
	*fakeEnvironment
	core      *Core
	leavingID uint64
	retry     Request
	retryID   uint64
}

func (o *reconnectingOwner) End(e End) {
	o.fakeEnvironment.End(e)
	o.core.ClientDisconnected(o.core.now, o.leavingID)
	o.retryID = o.core.StartStream(o.core.now, o.retry)
}

// A client leaves and sends its idempotency key again while actions are being executed. No turn may run then, as it would
// lose the remaining actions. So the key is still in use and the new request is rejected.
func TestKeyIsReusedWhileActionsAreExecuted(t *testing.T) {
	c, _, env, _ := newTestCore(func(ev admission.Event) []admission.Action {
		switch ev := ev.(type) {
		case admission.ClientLeft:
			return []admission.Action{admission.Cancel{ID: ev.ID}, admission.CounterAdd{Name: "after"}}
		case admission.TimerFired:
			return []admission.Action{admission.Refuse{ID: 2}, admission.CounterAdd{Name: "a"}, admission.CounterAdd{Name: "b"}}
		case admission.RequestArrived:
			if ev.ID == 1 {
				return []admission.Action{admission.Send{ID: 1, Server: "h"}}
			}
		}
		return nil
	})
	c.idempotencyKeys.repeatWindows = []time.Duration{time.Second}
	r := env.request(time.Second)
	r.IdempotencyKey = "k"
	owner := &reconnectingOwner{fakeEnvironment: env, core: c, leavingID: c.StartStream(0, r), retry: r}
	second := env.request(time.Second)
	second.Owner = owner
	c.StartStream(0, second)
	c.Turn(0)
	c.Enqueue(admission.TimerFired{})
	c.Turn(5 * ms)
	require.Zero(t, owner.retryID)
	c.Turn(5 * ms)
	require.Equal(t, []string{"start h", "add a", "add b", "cancel", "add after"}, env.calls)
}

// Nothing is started for a stream whose client has left, whatever the module orders: neither on a timer while an attempt
// is pending, nor when that attempt ends, nor by an action from before the module was told that the client has left.
func TestNothingIsStartedAfterTheClientLeft(t *testing.T) {
	for _, clientLeft := range []bool{false, true} {
		c, _, env, _ := newTestCore(func(ev admission.Event) []admission.Action {
			switch ev := ev.(type) {
			case admission.RequestArrived:
				return []admission.Action{admission.Send{ID: ev.ID, Server: "first"}, admission.SetTimer{At: 20 * ms}}
			case admission.TimerFired:
				return []admission.Action{admission.Send{ID: 1, Server: "second"}}
			case admission.AttemptEnded:
				if ev.Attempt == 0 {
					return []admission.Action{admission.Send{ID: ev.ID, Server: "third"}}
				}
			}
			return nil
		})
		id := c.StartStream(0, env.request(100*ms))
		c.Turn(0)
		if clientLeft {
			c.ClientDisconnected(5*ms, id)
		}
		c.Turn(5 * ms)
		c.Turn(20 * ms)
		c.UpstreamEnded(30*ms, Ref{id, 0}, admission.Errored, Answer{})
		c.Turn(30 * ms)
		c.Turn(30 * ms)
		if want := []string{"start first", "start second", "start third"}; clientLeft {
			require.Equal(t, want[:1], env.calls)
			require.Empty(t, c.streams)
		} else {
			require.Equal(t, want, env.calls)
		}
	}
}

// A client leaves in the same turn in which the module sends its request because of an earlier event. The request is not
// sent, but the module still gets AttemptEnded, as for every Send.
func TestSendInTheTurnInWhichTheClientLeaves(t *testing.T) {
	c, module, env, _ := newTestCore(func(ev admission.Event) []admission.Action {
		if answered, ok := ev.(admission.CounterAnswered); ok {
			return []admission.Action{admission.Send{ID: 1, Server: answered.Name}}
		}
		return nil
	})
	id := c.StartStream(0, env.request(100*ms))
	c.Turn(0)
	c.CounterCallEnded(admission.CounterAnswered{Name: "h"})
	c.ClientDisconnected(ms, id)
	require.Zero(t, c.OpenStreams())
	c.Turn(ms)
	c.Turn(ms)
	require.Empty(t, env.calls, "nothing was started")
	last := module.events[len(module.events)-1]
	require.Equal(t, admission.AttemptEnded{ID: id, Server: "h", Outcome: admission.NotSent, Done: true}, last)
	require.Zero(t, c.TrackedStreams())
}

// An answer that is sent while actions are executed brings the next request of its connection, with the key of a stream
// whose client has left. The module must get no event before all actions are executed, since it reuses their slice.
func TestActionsAreExecutedBeforeTheModuleGetsTheNextEvent(t *testing.T) {
	c, module, env, _ := newTestCore(func(ev admission.Event) []admission.Action {
		if r, ok := ev.(admission.RequestArrived); ok && r.ID == 1 {
			return []admission.Action{admission.Send{ID: r.ID, Server: "h"}}
		}
		return nil
	})
	c.idempotencyKeys.repeatWindows = []time.Duration{time.Second}
	r := env.request(100 * ms)
	r.IdempotencyKey = "k"
	leavingID := c.StartStream(0, r)
	next := env.request(100 * ms)
	next.Owner = ownerFunc(func() { c.StartStream(0, r) })
	otherID := c.StartStream(0, next)
	c.Turn(0)
	seen := len(module.events)
	c.ClientDisconnected(0, leavingID)
	c.Execute([]admission.Action{admission.Refuse{ID: otherID}, admission.CounterAdd{Name: "a"}})
	require.Len(t, module.events, seen, "the module got an event while its actions were executed")
}

// ownerFunc is an owner that calls a function when its stream ends.
type ownerFunc func()

// End calls f.
func (f ownerFunc) End(End) { f() }
