package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/admission"
)

// A client leaves while its request waits for a connection: it is taken back, whatever the module makes of attempts that
// are out. One that is written stays out.
func TestAClientLeavesBeforeItsRequestIsWritten(t *testing.T) {
	for _, unwritten := range []bool{true, false} {
		c, s, w, _ := setUp(sends)
		w.unwritten = unwritten
		id := c.StartStream(0, w.request(100*ms))
		c.Turn(0)
		c.ClientDisconnected(5*ms, id)
		c.Turn(5 * ms)
		require.Contains(t, s.seen, admission.Event(admission.ClientLeft{ID: id}))
		ended := admission.AttemptEnded{ID: id, Server: "h", Outcome: admission.NotSent, Took: 5 * ms, Done: true}
		if unwritten {
			require.Equal(t, admission.Event(ended), s.seen[len(s.seen)-1])
			require.Empty(t, c.streams)
		} else {
			require.NotContains(t, s.seen, admission.Event(ended))
			require.Len(t, c.streams, 1)
		}
	}
}

// What runs out of time, or is called off, before it was wholly written has surely not run.
func TestWhatWasNotWrittenHasNotRun(t *testing.T) {
	for _, unwritten := range []bool{true, false} {
		c, s, w, _ := setUp(func(ev admission.Event) []admission.Action {
			if r, ok := ev.(admission.RequestArrived); ok {
				return []admission.Action{admission.Send{ID: r.ID, Server: "h", Wait: 20 * ms}}
			}
			if ev, ok := ev.(admission.AttemptEnded); ok && ev.Attempt == 0 {
				return []admission.Action{admission.Send{ID: ev.ID, Server: "i"}}
			}
			return nil
		})
		w.unwritten = unwritten
		id := c.StartStream(0, w.request(100*ms))
		c.Turn(0)
		c.Turn(20 * ms)
		c.Turn(20 * ms)
		c.Execute([]admission.Action{admission.Cancel{ID: id, Attempt: 1}})
		c.Turn(20 * ms)
		var outcomes []admission.Outcome
		for _, ev := range s.seen {
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

// A repeat of a key that still waits for its connection as the key's window ends is taken back: hosts would run it anew.
// One that is written stays out, and a first attempt has all the time that there is.
func TestARepeatIsNotBegunAfterItsWindow(t *testing.T) {
	for _, unwritten := range []bool{true, false} {
		c, s, w, _ := setUp(func(ev admission.Event) []admission.Action {
			if ev, ok := ev.(admission.AttemptEnded); ok && ev.Attempt == 0 {
				return []admission.Action{admission.Send{ID: ev.ID, Server: "i"}}
			}
			return sends(ev)
		})
		c.orders.windows = []time.Duration{100 * ms}
		w.unwritten = unwritten
		r := w.request(time.Second)
		r.IdempotencyKey = "k"
		id := c.StartStream(0, r)
		c.Turn(0)
		c.UpstreamEnded(40*ms, Ref{id, 0}, admission.Broken, Answer{})
		require.Equal(t, 100*ms-margin, c.Turn(40*ms), "from the first")
		c.Turn(100*ms - margin)
		c.Turn(100*ms - margin)
		want := admission.AttemptEnded{ID: id, Attempt: 1, Server: "i", Outcome: admission.NotSent, Took: 60*ms - margin}
		if unwritten {
			require.Equal(t, admission.Event(want), s.seen[len(s.seen)-1])
		}
		require.Equal(t, unwritten, c.streams[id].live == 0)
	}
}

// A client leaves and comes again with its key within one turn: what is out of the first is called off before the second
// is judged, and the second goes where the first may have run. While the first is still waited for the second is not taken.
func TestAKeyComesAgainAsItsClientLeaves(t *testing.T) {
	for _, left := range []bool{true, false} {
		c, s, w, _ := setUp(func(ev admission.Event) []admission.Action {
			if ev, ok := ev.(admission.ClientLeft); ok {
				return []admission.Action{admission.Cancel{ID: ev.ID}}
			}
			return sends(ev)
		})
		c.orders.windows = []time.Duration{time.Second}
		r := w.request(time.Second)
		r.IdempotencyKey = "k"
		id := c.StartStream(0, r)
		c.Turn(0)
		c.Turn(0)
		if left {
			c.ClientDisconnected(5*ms, id)
		}
		require.Equal(t, left, c.StartStream(5*ms, r) != 0)
		c.Turn(5 * ms)
		if left {
			require.Equal(t, []string{"start h", "cancel", "start h"}, w.told)
			again, ok := s.seen[len(s.seen)-1].(admission.RequestArrived)
			require.True(t, ok)
			require.Equal(t, "h", again.PriorAttempt.Server)
		}
	}
}

// again is a client whose end leads to another's leaving, and to that one's key coming again.
type again struct {
	*world
	c     *Core
	first uint64
	next  Request
	id    uint64
}

func (a *again) End(e End) {
	a.world.End(e)
	a.c.ClientDisconnected(a.c.now, a.first)
	a.id = a.c.StartStream(a.c.now, a.next)
}

// The same while a turn's actions are carried out: none of them is lost by it, and the key is open as before.
func TestAKeyComesAgainAmongActions(t *testing.T) {
	c, _, w, _ := setUp(func(ev admission.Event) []admission.Action {
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
	c.orders.windows = []time.Duration{time.Second}
	r := w.request(time.Second)
	r.IdempotencyKey = "k"
	owner := &again{world: w, c: c, first: c.StartStream(0, r), next: r}
	second := w.request(time.Second)
	second.Owner = owner
	c.StartStream(0, second)
	c.Turn(0)
	c.Enqueue(admission.TimerFired{})
	c.Turn(5 * ms)
	require.Zero(t, owner.id)
	c.Turn(5 * ms)
	require.Equal(t, []string{"start h", "add a", "add b", "cancel", "add after"}, w.told)
}

// Whatever the module orders for a stream whose client has left, nothing more is started: neither while an attempt is still
// out, as a timer fires, nor when that attempt ends, nor by what it ordered before it heard of the end.
func TestNothingIsStartedForAClientThatLeft(t *testing.T) {
	for _, left := range []bool{false, true} {
		c, _, w, _ := setUp(func(ev admission.Event) []admission.Action {
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
		id := c.StartStream(0, w.request(100*ms))
		c.Turn(0)
		if left {
			c.ClientDisconnected(5*ms, id)
		}
		c.Turn(5 * ms)
		c.Turn(20 * ms)
		c.UpstreamEnded(30*ms, Ref{id, 0}, admission.Errored, Answer{})
		c.Turn(30 * ms)
		c.Turn(30 * ms)
		if want := []string{"start first", "start second", "start third"}; left {
			require.Equal(t, want[:1], w.told)
			require.Empty(t, c.streams)
		} else {
			require.Equal(t, want, w.told)
		}
	}
}

// A client leaves in the turn in which the module, by an event that came before, sends its request on: the send is not
// carried out, and has its answer, as each send has.
func TestASendCrossesItsClientsLeaving(t *testing.T) {
	c, s, w, _ := setUp(func(ev admission.Event) []admission.Action {
		if k, ok := ev.(admission.CounterAnswered); ok {
			return []admission.Action{admission.Send{ID: 1, Server: k.Name}}
		}
		return nil
	})
	id := c.StartStream(0, w.request(100*ms))
	c.Turn(0)
	c.CounterCallEnded(admission.CounterAnswered{Name: "h"})
	c.ClientDisconnected(ms, id)
	require.Zero(t, c.OpenStreams())
	c.Turn(ms)
	c.Turn(ms)
	require.Empty(t, w.told, "nothing was begun")
	last := s.seen[len(s.seen)-1]
	require.Equal(t, admission.AttemptEnded{ID: id, Server: "h", Outcome: admission.NotSent, Done: true}, last)
	require.Zero(t, c.TrackedStreams())
}

// What is answered as actions are carried out brings the next request of its connection, with the key of one whose client
// has left: the module is given no event before all actions are carried out, since it reuses their slice.
func TestActionsAreCarriedOutBeforeTheModuleIsAskedAgain(t *testing.T) {
	c, s, w, _ := setUp(func(ev admission.Event) []admission.Action {
		if r, ok := ev.(admission.RequestArrived); ok && r.ID == 1 {
			return []admission.Action{admission.Send{ID: r.ID, Server: "h"}}
		}
		return nil
	})
	c.orders.windows = []time.Duration{time.Second}
	r := w.request(100 * ms)
	r.IdempotencyKey = "k"
	left := c.StartStream(0, r)
	next := w.request(100 * ms)
	next.Owner = onEnd(func() { c.StartStream(0, r) })
	other := c.StartStream(0, next)
	c.Turn(0)
	seen := len(s.seen)
	c.ClientDisconnected(0, left)
	c.Execute([]admission.Action{admission.Refuse{ID: other}, admission.CounterAdd{Name: "a"}})
	require.Len(t, s.seen, seen, "the module was asked within its own actions")
}

// onEnd is an owner that does something when its stream ends.
type onEnd func()

// End does it.
func (f onEnd) End(End) { f() }
