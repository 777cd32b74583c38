package core

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/admission"
)

const ms = time.Millisecond

// script is a module that answers each event as it was told to.
type script struct {
	seen   []admission.Event
	answer func(admission.Event) []admission.Action
}

func (s *script) Handle(_ time.Duration, ev admission.Event) []admission.Action {
	s.seen = append(s.seen, ev)
	return s.answer(ev)
}

// world stands for hosts, counter, cluster and client, and writes down what it is told.
type world struct {
	told    []string
	waits   []time.Duration
	ends    []End
	payload []Payload

	unwritten bool // what is out waits for its connection
}

func (w *world) Start(_ Ref, host string, p Payload, wait time.Duration) {
	w.told, w.waits, w.payload = append(w.told, "start "+host), append(w.waits, wait), append(w.payload, p)
}
func (w *world) Withdraw(Ref) bool                           { return w.unwritten }
func (w *world) Probe(Ref, string, time.Duration)            { w.told = append(w.told, "probe") }
func (w *world) CloseIdle(h string)                          { w.told = append(w.told, "close "+h) }
func (w *world) Add(name string, _ float64, _ time.Duration) { w.told = append(w.told, "add "+name) }
func (w *world) Refetch()                                    { w.told = append(w.told, "refetch") }
func (w *world) Cancel(Ref) bool {
	w.told = append(w.told, "cancel")
	return !w.unwritten
}
func (w *world) End(e End) { w.ends = append(w.ends, e) }

const margin = 8 * ms

func setUp(answer func(admission.Event) []admission.Action) (*Core, *script, *world, *bytes.Buffer) {
	s, w, log := &script{answer: answer}, &world{}, &bytes.Buffer{}
	return New(Config{Decider: s, Upstreams: w, Counter: w, Cluster: w, Log: slog.New(slog.NewTextHandler(log, nil)),
		DeadlineMargin: margin}), s, w, log
}

func (w *world) request(expires time.Duration) Request {
	return Request{RequestArrived: admission.RequestArrived{ID: 99, ExpiresIn: expires}, Payload: "as it came", Owner: w}
}

// sends answers every arrival with one upstream request.
func sends(ev admission.Event) []admission.Action {
	if r, ok := ev.(admission.RequestArrived); ok {
		return []admission.Action{admission.Send{ID: r.ID, Server: "h"}}
	}
	return nil
}

func TestFirstGoodAnswerIsTheStreams(t *testing.T) {
	c, s, w, _ := setUp(sends)
	id := c.StartStream(10*ms, w.request(100*ms))
	require.NotEqual(t, uint64(99), id, "ids are the core's own")
	c.Turn(10 * ms)
	require.Equal(t, []Payload{"as it came"}, w.payload)
	c.UpstreamEnded(30*ms, Ref{id, 0}, admission.OK, Answer{Body: []byte("yes")})
	c.Turn(30 * ms)
	require.Equal(t, []End{{Kind: Served, Answer: Answer{Body: []byte("yes")}, HasAttempts: true}}, w.ends)
	require.Equal(t, admission.AttemptEnded{ID: id, Server: "h", Outcome: admission.OK, Took: 20 * ms, Done: true},
		s.seen[1])
	require.Zero(t, c.OpenStreams())
	require.Empty(t, c.streams)
}

// The true units that an upstream host charged reach the module with the attempt's end.
func TestTheTrueUnitsReachTheModule(t *testing.T) {
	c, s, w, _ := setUp(sends)
	id := c.StartStream(10*ms, w.request(100*ms))
	c.Turn(10 * ms)
	c.UpstreamEnded(30*ms, Ref{id, 0}, admission.OK, Answer{Body: []byte("yes"), Billed: 5})
	c.Turn(30 * ms)
	require.Equal(t, 5, s.seen[1].(admission.AttemptEnded).Billed)
}

// Deadlines of streams that have ended do not wake the loop.
func TestAnEndedStreamNeedsNoTurn(t *testing.T) {
	c, _, w, _ := setUp(sends)
	id := c.StartStream(0, w.request(100*ms))
	require.Equal(t, 100*ms-margin, c.Turn(0))
	c.UpstreamEnded(5*ms, Ref{id, 0}, admission.OK, Answer{})
	require.Zero(t, c.Turn(5*ms))
}

// The events of a turn are handed over before any action is carried out.
func TestATurnIsHandedOverInOneGo(t *testing.T) {
	var w *world
	c, s, world, _ := setUp(func(ev admission.Event) []admission.Action {
		require.Empty(t, w.told)
		return []admission.Action{admission.CounterAdd{Name: "n"}}
	})
	w = world
	c.StartStream(0, w.request(100*ms))
	c.CounterCallEnded(admission.CounterAnswered{})
	c.ServerListReceived(admission.ServerList{})
	c.Turn(0)
	require.Len(t, s.seen, 3)
	require.Equal(t, []string{"add n", "add n", "add n"}, w.told)
}

// An upstream request that is out at the deadline ends there: its connection is closed before the module
// hears of it, so that no further one is ever a second copy.
func TestDeadlineEndsUpstreamRequests(t *testing.T) {
	c, s, w, _ := setUp(func(ev admission.Event) []admission.Action {
		if e, ok := ev.(admission.AttemptEnded); ok {
			require.Equal(t, admission.TimedOut, e.Outcome)
			require.False(t, e.Done)
			return []admission.Action{admission.Fail{ID: e.ID}}
		}
		return sends(ev)
	})
	c.StartStream(0, w.request(100*ms))
	next := c.Turn(0)
	require.Equal(t, 100*ms-margin, next)
	require.Equal(t, []time.Duration{100*ms - margin}, w.waits)
	c.Turn(next)
	require.Equal(t, []string{"start h", "cancel"}, w.told)
	require.Equal(t, []End{{Kind: Expired, HasAttempts: true}}, w.ends)
	require.Len(t, s.seen, 2)
}

func TestTimeOutOfOneUpstreamRequest(t *testing.T) {
	c, s, w, _ := setUp(func(ev admission.Event) []admission.Action {
		if r, ok := ev.(admission.RequestArrived); ok {
			return []admission.Action{admission.Send{ID: r.ID, Server: "a", Wait: 20 * ms}}
		}
		if e, ok := ev.(admission.AttemptEnded); ok && e.Server == "a" {
			return []admission.Action{admission.Send{ID: e.ID, Server: "b"}}
		}
		return nil
	})
	id := c.StartStream(0, w.request(100*ms))
	c.Turn(20 * ms)
	c.Turn(40 * ms)
	require.Equal(t, []string{"start a", "cancel", "start b"}, w.told)
	c.UpstreamEnded(50*ms, Ref{id, 0}, admission.OK, Answer{}) // too late: that one is over
	require.Empty(t, w.ends)
	c.UpstreamEnded(50*ms, Ref{id, 1}, admission.OK, Answer{})
	require.Len(t, w.ends, 1)
	c.Turn(50 * ms)
	require.Equal(t, 1, s.seen[2].(admission.AttemptEnded).Attempt)
}

// Whatever the module does, a stream gets one answer before its client's deadline, and no refusal.
func TestAStreamIsAnsweredThoughTheModuleIsNot(t *testing.T) {
	c, s, w, log := setUp(func(ev admission.Event) []admission.Action {
		if _, ok := ev.(admission.RequestArrived); ok {
			panic("a fault")
		}
		return nil
	})
	id := c.StartStream(0, w.request(100*ms))
	c.Turn(0)
	require.Contains(t, log.String(), "a fault")
	for now := time.Duration(0); now < 100*ms; now += ms {
		c.Turn(now)
	}
	require.Equal(t, []End{{Kind: Expired}}, w.ends)
	require.Equal(t, admission.ClientLeft{ID: id}, s.seen[len(s.seen)-1])
}

func TestOneEndIsEnough(t *testing.T) {
	c, _, w, _ := setUp(func(ev admission.Event) []admission.Action {
		r, ok := ev.(admission.RequestArrived)
		if !ok {
			return nil
		}
		return []admission.Action{admission.Refuse{ID: r.ID, RetryAfter: 3 * ms}, admission.Fail{ID: r.ID},
			admission.Send{ID: r.ID, Server: "h"}}
	})
	c.StartStream(0, w.request(100*ms))
	c.Turn(0)
	require.Equal(t, []End{{Kind: Refused, RetryAfter: 3 * ms}}, w.ends)
	require.Empty(t, w.told, "nothing is sent for a stream that has ended")
}

func TestClientThatLeft(t *testing.T) {
	c, s, w, _ := setUp(func(ev admission.Event) []admission.Action {
		if l, ok := ev.(admission.ClientLeft); ok {
			return []admission.Action{admission.Cancel{ID: l.ID}}
		}
		return sends(ev)
	})
	id := c.StartStream(0, w.request(100*ms))
	c.Turn(0)
	c.ClientDisconnected(5*ms, id)
	c.Turn(5 * ms)
	c.Turn(5 * ms)
	require.Empty(t, w.ends)
	require.Equal(t, []string{"start h", "cancel"}, w.told)
	require.Equal(t, admission.AttemptEnded{ID: id, Server: "h", Outcome: admission.Cancelled, Took: 5 * ms, Done: true},
		s.seen[2])
	require.Empty(t, c.streams)
}

func TestTimersAndTheRest(t *testing.T) {
	first := true
	c, s, w, _ := setUp(func(ev admission.Event) []admission.Action {
		if !first {
			return nil
		}
		first = false
		return []admission.Action{admission.SetTimer{Token: 7, At: 30 * ms}, admission.CloseIdle{Server: "h"},
			admission.FetchList{}, admission.Probe{Server: "h"}, admission.Log{Text: "a line"}}
	})
	c.ServerListReceived(admission.ServerList{})
	require.Equal(t, 30*ms, c.Turn(0))
	c.Turn(29 * ms)
	require.Len(t, s.seen, 1)
	c.Turn(30 * ms)
	require.Equal(t, admission.TimerFired{Token: 7}, s.seen[1])
	c.Turn(probeLimit)
	require.Equal(t, admission.ProbeEnded{Server: "h", Took: probeLimit, Outcome: admission.TimedOut}, s.seen[2])
	require.Equal(t, []string{"close h", "refetch", "probe", "cancel"}, w.told)
}

// Upstream hosts know requests by their keys: while anything of a stream is out, no other has its key.
func TestAKeyIsOpenOnce(t *testing.T) {
	c, _, w, _ := setUp(sends)
	r := w.request(100 * ms)
	r.RequestID = "k"
	id := c.StartStream(0, r)
	c.Turn(0)
	require.Zero(t, c.StartStream(0, r))
	c.ClientDisconnected(0, id)
	require.Zero(t, c.StartStream(0, r), "its upstream request is still out")
	c.UpstreamEnded(0, Ref{id, 0}, admission.OK, Answer{})
	require.NotZero(t, c.StartStream(0, r))
}

// When the process must end, what is still open is answered, once, and not as a refusal.
func TestAbandon(t *testing.T) {
	c, _, w, _ := setUp(sends)
	c.StartStream(0, w.request(100*ms))
	c.Turn(0)
	c.ExpireStreams(50 * ms)
	c.Turn(50 * ms)
	require.Equal(t, []End{{Kind: Expired, HasAttempts: true}}, w.ends)
	require.Zero(t, c.OpenStreams())
	c.Turn(200 * ms)
	require.Len(t, w.ends, 1)
}

// Keys are remembered for their window and no longer, whatever becomes of their streams.
func TestKeysOfOrders(t *testing.T) {
	o := orders{windows: []time.Duration{time.Second}, byKey: map[string]*order{}, places: map[string]place{"h": {"a", 3}}}
	o.begin("k", 1)
	require.True(t, o.open("k"))
	require.Nil(t, o.earlier("k", 0))
	o.sent("k", "h", 10, time.Second)
	o.unran("k", "h", 10)
	require.Nil(t, o.earlier("k", 20), "what was turned away has not run")
	o.sent("k", "h", 30, time.Second)
	o.sent("k", "other", 40, time.Second)
	require.Equal(t, &admission.PriorAttempt{Server: "h", Zone: "a", Cell: 3, SentAt: 30}, o.earlier("k", 50), "the first counts")
	o.end("k", 2)
	require.True(t, o.open("k"), "another's end is not this one's")
	o.end("k", 1)
	require.False(t, o.open("k"))
	require.NotNil(t, o.earlier("k", time.Second))
	o.expire(30 + time.Second)
	require.Empty(t, o.byKey)
	require.Empty(t, o.ending)
	o.begin("k", 3)
	o.end("k", 3)
	require.Empty(t, o.byKey, "one that was never sent is forgotten at once")
}

// What must hold for all of a turn comes before requests that wait from the last one.
func TestAnEventGoesFirst(t *testing.T) {
	c, s, w, _ := setUp(func(admission.Event) []admission.Action { return nil })
	c.StartStream(10*ms, w.request(100*ms))
	c.Enqueue(admission.TimerFired{})
	c.EnqueueFirst(admission.FleetChanged{IsUncertain: true})
	c.Turn(10 * ms)
	require.Len(t, s.seen, 3)
	require.Equal(t, admission.FleetChanged{IsUncertain: true}, s.seen[0])
	require.IsType(t, admission.RequestArrived{}, s.seen[1])
}
