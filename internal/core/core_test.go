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

// scriptedModule is a decision module that returns the actions of a function and records the events.
type scriptedModule struct {
	events  []admission.Event
	respond func(admission.Event) []admission.Action
}

func (m *scriptedModule) Handle(_ time.Duration, ev admission.Event) []admission.Action {
	m.events = append(m.events, ev)
	return m.respond(ev)
}

// fakeEnvironment stands for the upstream hosts, the counter, the cluster and the client. It records their calls.
type fakeEnvironment struct {
	calls    []string
	timeouts []time.Duration
	ends     []End
	payloads []Payload

	isUnwritten bool // pending requests still wait for their connection
}

func (env *fakeEnvironment) Start(_ Ref, host string, p Payload, timeout time.Duration) {
	env.calls, env.timeouts, env.payloads = append(env.calls, "start "+host), append(env.timeouts, timeout),
		append(env.payloads, p)
}
func (env *fakeEnvironment) Withdraw(Ref) bool                { return env.isUnwritten }
func (env *fakeEnvironment) Probe(Ref, string, time.Duration) { env.calls = append(env.calls, "probe") }
func (env *fakeEnvironment) CloseIdle(h string)               { env.calls = append(env.calls, "close "+h) }
func (env *fakeEnvironment) Add(name string, _ float64, _ time.Duration) {
	env.calls = append(env.calls, "add "+name)
}
func (env *fakeEnvironment) Refetch() { env.calls = append(env.calls, "refetch") }
func (env *fakeEnvironment) Cancel(Ref) bool {
	env.calls = append(env.calls, "cancel")
	return !env.isUnwritten
}
func (env *fakeEnvironment) End(e End) { env.ends = append(env.ends, e) }

const testMargin = 8 * ms

// newTestCore returns a core with its fakes. The log of the core is written to the buffer.
func newTestCore(respond func(admission.Event) []admission.Action) (*Core, *scriptedModule, *fakeEnvironment,
	*bytes.Buffer) {
	module, env, log := &scriptedModule{respond: respond}, &fakeEnvironment{}, &bytes.Buffer{}
	return New(Config{Decider: module, Upstreams: env, Counter: env, Cluster: env, Log: slog.New(slog.NewTextHandler(log, nil)),
		DeadlineMargin: testMargin}), module, env, log
}

// request returns a request that the environment owns and whose deadline is after timeout.
func (env *fakeEnvironment) request(timeout time.Duration) Request {
	return Request{RequestArrived: admission.RequestArrived{ID: 99, ExpiresIn: timeout}, Payload: "payload", Owner: env}
}

// sendToHost sends every arriving request to the host h once.
func sendToHost(ev admission.Event) []admission.Action {
	if r, ok := ev.(admission.RequestArrived); ok {
		return []admission.Action{admission.Send{ID: r.ID, Server: "h"}}
	}
	return nil
}

func TestFirstGoodAnswerEndsTheStream(t *testing.T) {
	c, module, env, _ := newTestCore(sendToHost)
	id := c.StartStream(10*ms, env.request(100*ms))
	require.NotEqual(t, uint64(99), id, "the core assigns the id")
	c.Turn(10 * ms)
	require.Equal(t, []Payload{"payload"}, env.payloads)
	c.UpstreamEnded(30*ms, Ref{id, 0}, admission.OK, Answer{Body: []byte("yes")})
	c.Turn(30 * ms)
	require.Equal(t, []End{{Kind: Served, Answer: Answer{Body: []byte("yes")}, HasAttempts: true}}, env.ends)
	require.Equal(t, admission.AttemptEnded{ID: id, Server: "h", Outcome: admission.OK, Took: 20 * ms, Done: true},
		module.events[1])
	require.Zero(t, c.OpenStreams())
	require.Empty(t, c.streams)
}

// The module settles quotas by the units that a host has charged; they come with the attempt's end.
func TestBilledUnitsReachTheModule(t *testing.T) {
	c, module, env, _ := newTestCore(sendToHost)
	id := c.StartStream(10*ms, env.request(100*ms))
	c.Turn(10 * ms)
	c.UpstreamEnded(30*ms, Ref{id, 0}, admission.OK, Answer{Body: []byte("yes"), Billed: 5})
	c.Turn(30 * ms)
	require.Equal(t, 5, module.events[1].(admission.AttemptEnded).Billed)
}

// The timers of a stream's deadline must not wake the event loop after the stream has ended.
func TestEndedStreamNeedsNoTurn(t *testing.T) {
	c, _, env, _ := newTestCore(sendToHost)
	id := c.StartStream(0, env.request(100*ms))
	require.Equal(t, 100*ms-testMargin, c.Turn(0))
	c.UpstreamEnded(5*ms, Ref{id, 0}, admission.OK, Answer{})
	require.Zero(t, c.Turn(5*ms))
}

// The module gets all events of a turn before the first action is carried out.
func TestEventsAreHandledBeforeActionsAreExecuted(t *testing.T) {
	var env *fakeEnvironment
	c, module, fake, _ := newTestCore(func(ev admission.Event) []admission.Action {
		require.Empty(t, env.calls)
		return []admission.Action{admission.CounterAdd{Name: "n"}}
	})
	env = fake
	c.StartStream(0, env.request(100*ms))
	c.CounterCallEnded(admission.CounterAnswered{})
	c.ServerListReceived(admission.ServerList{})
	c.Turn(0)
	require.Len(t, module.events, 3)
	require.Equal(t, []string{"add n", "add n", "add n"}, env.calls)
}

// An upstream request that is pending at the deadline is cancelled. If its connection were closed only after the module
// learns of the end, a further attempt could run beside it as a second copy.
func TestDeadlineCancelsUpstreamRequests(t *testing.T) {
	c, module, env, _ := newTestCore(func(ev admission.Event) []admission.Action {
		if e, ok := ev.(admission.AttemptEnded); ok {
			require.Equal(t, admission.TimedOut, e.Outcome)
			require.False(t, e.Done)
			return []admission.Action{admission.Fail{ID: e.ID}}
		}
		return sendToHost(ev)
	})
	c.StartStream(0, env.request(100*ms))
	next := c.Turn(0)
	require.Equal(t, 100*ms-testMargin, next)
	require.Equal(t, []time.Duration{100*ms - testMargin}, env.timeouts)
	c.Turn(next)
	require.Equal(t, []string{"start h", "cancel"}, env.calls)
	require.Equal(t, []End{{Kind: Expired, HasAttempts: true}}, env.ends)
	require.Len(t, module.events, 2)
}

func TestUpstreamRequestTimesOut(t *testing.T) {
	c, module, env, _ := newTestCore(func(ev admission.Event) []admission.Action {
		if r, ok := ev.(admission.RequestArrived); ok {
			return []admission.Action{admission.Send{ID: r.ID, Server: "a", Wait: 20 * ms}}
		}
		if e, ok := ev.(admission.AttemptEnded); ok && e.Server == "a" {
			return []admission.Action{admission.Send{ID: e.ID, Server: "b"}}
		}
		return nil
	})
	id := c.StartStream(0, env.request(100*ms))
	c.Turn(20 * ms)
	c.Turn(40 * ms)
	require.Equal(t, []string{"start a", "cancel", "start b"}, env.calls)
	c.UpstreamEnded(50*ms, Ref{id, 0}, admission.OK, Answer{}) // ignored: that attempt has ended
	require.Empty(t, env.ends)
	c.UpstreamEnded(50*ms, Ref{id, 1}, admission.OK, Answer{})
	require.Len(t, env.ends, 1)
	c.Turn(50 * ms)
	require.Equal(t, 1, module.events[2].(admission.AttemptEnded).Attempt)
}

// A panic in the module loses the actions for a request. The client must still get one answer before its deadline, which
// is not a refusal.
func TestStreamIsAnsweredWhenTheModulePanics(t *testing.T) {
	c, module, env, log := newTestCore(func(ev admission.Event) []admission.Action {
		if _, ok := ev.(admission.RequestArrived); ok {
			panic("a fault")
		}
		return nil
	})
	id := c.StartStream(0, env.request(100*ms))
	c.Turn(0)
	require.Contains(t, log.String(), "a fault")
	for now := time.Duration(0); now < 100*ms; now += ms {
		c.Turn(now)
	}
	require.Equal(t, []End{{Kind: Expired}}, env.ends)
	require.Equal(t, admission.ClientLeft{ID: id}, module.events[len(module.events)-1])
}

func TestStreamEndsOnce(t *testing.T) {
	c, _, env, _ := newTestCore(func(ev admission.Event) []admission.Action {
		r, ok := ev.(admission.RequestArrived)
		if !ok {
			return nil
		}
		return []admission.Action{admission.Refuse{ID: r.ID, RetryAfter: 3 * ms}, admission.Fail{ID: r.ID},
			admission.Send{ID: r.ID, Server: "h"}}
	})
	c.StartStream(0, env.request(100*ms))
	c.Turn(0)
	require.Equal(t, []End{{Kind: Refused, RetryAfter: 3 * ms}}, env.ends)
	require.Empty(t, env.calls, "nothing is sent for a stream that has ended")
}

func TestClientDisconnects(t *testing.T) {
	c, module, env, _ := newTestCore(func(ev admission.Event) []admission.Action {
		if l, ok := ev.(admission.ClientLeft); ok {
			return []admission.Action{admission.Cancel{ID: l.ID}}
		}
		return sendToHost(ev)
	})
	id := c.StartStream(0, env.request(100*ms))
	c.Turn(0)
	c.ClientDisconnected(5*ms, id)
	c.Turn(5 * ms)
	c.Turn(5 * ms)
	require.Empty(t, env.ends)
	require.Equal(t, []string{"start h", "cancel"}, env.calls)
	require.Equal(t, admission.AttemptEnded{ID: id, Server: "h", Outcome: admission.Cancelled, Took: 5 * ms, Done: true},
		module.events[2])
	require.Empty(t, c.streams)
}

func TestTimersProbesAndOtherActions(t *testing.T) {
	first := true
	c, module, env, _ := newTestCore(func(ev admission.Event) []admission.Action {
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
	require.Len(t, module.events, 1)
	c.Turn(30 * ms)
	require.Equal(t, admission.TimerFired{Token: 7}, module.events[1])
	c.Turn(probeTimeout)
	require.Equal(t, admission.ProbeEnded{Server: "h", Took: probeTimeout, Outcome: admission.TimedOut}, module.events[2])
	require.Equal(t, []string{"close h", "refetch", "probe", "cancel"}, env.calls)
}

// Upstream hosts identify requests by their id. While an upstream request of a stream is pending, even after its client
// has left, no other stream may use the id.
func TestRequestIDIsOpenOnce(t *testing.T) {
	c, _, env, _ := newTestCore(sendToHost)
	r := env.request(100 * ms)
	r.RequestID = "k"
	id := c.StartStream(0, r)
	c.Turn(0)
	require.Zero(t, c.StartStream(0, r))
	c.ClientDisconnected(0, id)
	require.Zero(t, c.StartStream(0, r), "its upstream request is still pending")
	c.UpstreamEnded(0, Ref{id, 0}, admission.OK, Answer{})
	require.NotZero(t, c.StartStream(0, r))
}

// Streams that are open when the process must exit are answered once, and not with a refusal.
func TestCloseEndsOpenStreams(t *testing.T) {
	c, _, env, _ := newTestCore(sendToHost)
	c.StartStream(0, env.request(100*ms))
	c.Turn(0)
	c.Close(50 * ms)
	c.Turn(50 * ms)
	require.Equal(t, []End{{Kind: Expired, HasAttempts: true}}, env.ends)
	require.Zero(t, c.OpenStreams())
	c.Turn(200 * ms)
	require.Len(t, env.ends, 1)
}

// Guards against a request that is sent upstream and gets no answer: one that was read in the last 50 ms of a planned end.
// It is refused unless its order may have run before, and the module does not learn of it.
func TestStreamsThatStartAfterCloseAreAnsweredAtOnce(t *testing.T) {
	c, module, env, _ := newTestCore(sendToHost)
	c.idempotencyKeys.repeatWindows = []time.Duration{time.Second}
	order := env.request(100 * ms)
	order.IdempotencyKey = "k"
	id := c.StartStream(0, order)
	c.Turn(0)
	c.UpstreamEnded(0, Ref{id, 0}, admission.Broken, Answer{})
	c.Close(10 * ms)
	c.Turn(10 * ms)
	calls, known := len(env.calls), len(module.events)
	env.ends = nil

	require.NotZero(t, c.StartStream(20*ms, env.request(100*ms)))
	require.NotZero(t, c.StartStream(20*ms, order))
	left := c.StartStream(20*ms, env.request(100*ms))
	c.ClientDisconnected(20*ms, left)
	c.Turn(20 * ms)
	require.Equal(t, []End{{Kind: Refused}, {Kind: Expired}}, env.ends)
	require.Len(t, env.calls, calls)
	require.Len(t, module.events, known)
	require.Zero(t, c.OpenStreams())
	require.Zero(t, c.TrackedStreams())
}

// An idempotency key is remembered to the end of its window and no longer. It is forgotten at once if no request with it
// can have run.
func TestIdempotencyKeysAreRememberedForTheirWindow(t *testing.T) {
	table := keyTable{repeatWindows: []time.Duration{time.Second}, entries: map[string]*keyEntry{},
		hostLocations: map[string]location{"h": {"a", 3}}}
	table.acquire("k", 1)
	require.True(t, table.isInUse("k"))
	require.Nil(t, table.priorAttempt("k", 0))
	table.recordAttempt("k", "h", 10, time.Second)
	table.clearAttempt("k", "h", 10)
	require.Nil(t, table.priorAttempt("k", 20), "a rejected request has not run")
	table.recordAttempt("k", "h", 30, time.Second)
	table.recordAttempt("k", "other", 40, time.Second)
	require.Equal(t, &admission.PriorAttempt{Server: "h", Zone: "a", Cell: 3, SentAt: 30},
		table.priorAttempt("k", 50), "the first attempt counts")
	table.release("k", 2)
	require.True(t, table.isInUse("k"), "another stream has ended")
	table.release("k", 1)
	require.False(t, table.isInUse("k"))
	require.NotNil(t, table.priorAttempt("k", time.Second))
	table.removeExpired(30 + time.Second)
	require.Empty(t, table.entries)
	require.Empty(t, table.expirations)
	table.acquire("k", 3)
	table.release("k", 3)
	require.Empty(t, table.entries, "a key that was never sent is forgotten at once")
}

// keyRelay passes what a successor's core reports of its keys to its predecessor's core.
type keyRelay struct {
	predecessor *Core
	isSent      func() bool // a request has been sent to a host
	wasSent     []bool      // isSent at each KeySent
}

func (r *keyRelay) KeySent(k KeyState) {
	r.wasSent = append(r.wasSent, r.isSent())
	r.predecessor.SuccessorKeySent(k)
}
func (r *keyRelay) KeyNotRun(k KeyState) { r.predecessor.SuccessorKeyNotRun(k) }

// A predecessor knows the keys that its successor sends, before they are sent, and forgets those of attempts that did not
// run. It must not be informed of attempts of its own.
func TestPredecessorKnowsKeysOfSuccessor(t *testing.T) {
	predecessor, _, _, _ := newTestCore(sendToHost)
	successor, _, env, _ := newTestCore(sendToHost)
	successor.idempotencyKeys.repeatWindows = []time.Duration{time.Second}
	successor.ServerListReceived(admission.ServerList{Servers: []admission.ServerEntry{{Name: "h", Zone: "a", Cell: 3}}})
	relay := &keyRelay{predecessor: predecessor, isSent: func() bool { return len(env.calls) > 0 }}
	successor.ObserveKeys(relay)
	r := env.request(time.Minute)
	r.IdempotencyKey = "k"
	id := successor.StartStream(10*ms, r)
	successor.Turn(10 * ms)
	require.Equal(t, []string{"start h"}, env.calls)
	require.Equal(t, []bool{false}, relay.wasSent)
	keys := &predecessor.idempotencyKeys
	require.Equal(t, &admission.PriorAttempt{Server: "h", Zone: "a", Cell: 3, SentAt: 10 * ms}, keys.priorAttempt("k", 20*ms))
	require.False(t, keys.isInUse("k"), "its stream has ended with the successor")
	successor.UpstreamEnded(20*ms, Ref{id, 0}, admission.Full, Answer{})
	require.Empty(t, keys.entries)
	successor.predecessorStreams[7] = StreamState{ID: 7, IdempotencyKey: "own"}
	successor.idempotencyKeys.acquire("own", 7)
	successor.PredecessorAttemptStarted(7, "h", 20*ms)
	successor.PredecessorAttemptEnded(7, "h", 20*ms, admission.Full)
	require.Len(t, relay.wasSent, 1)
	predecessor.SuccessorKeySent(KeyState{Key: "k", Host: "h", StartedAt: 30 * ms, ExpiresAt: 2 * time.Second})
	keys.removeExpired(2 * time.Second)
	require.Empty(t, keys.entries)
}

// An event that restricts the module must be handled before requests that are left over from the last turn.
func TestEnqueueFirst(t *testing.T) {
	c, module, env, _ := newTestCore(func(admission.Event) []admission.Action { return nil })
	c.StartStream(10*ms, env.request(100*ms))
	c.Enqueue(admission.TimerFired{})
	c.EnqueueFirst(admission.FleetChanged{IsUncertain: true})
	c.Turn(10 * ms)
	require.Len(t, module.events, 3)
	require.Equal(t, admission.FleetChanged{IsUncertain: true}, module.events[0])
	require.IsType(t, admission.RequestArrived{}, module.events[1])
}

// A turn comes so late that a stream's deadline and the time at which the core answers by itself have both passed. The
// module learns of the deadline first and gives the answer.
func TestModuleAnswersInLateTurn(t *testing.T) {
	core, _, env, log := newTestCore(func(ev admission.Event) []admission.Action {
		if ev, ok := ev.(admission.AttemptEnded); ok {
			return []admission.Action{admission.Fail{ID: ev.ID}}
		}
		return sendToHost(ev)
	})
	core.StartStream(0, env.request(100*ms))
	core.Turn(0)
	next := core.Turn(200 * ms)
	for next > 0 && len(env.ends) == 0 {
		next = core.Turn(next)
	}
	require.Len(t, env.ends, 1)
	require.Equal(t, Expired, env.ends[0].Kind)
	require.NotContains(t, log.String(), "unanswered at its deadline")
}

// However many keys are sent, no more than the bound are remembered. A request with a further one is refused and not sent,
// and served again once there is room.
func TestKeysInMemoryAreBounded(t *testing.T) {
	module, env, log := &scriptedModule{respond: sendToHost}, &fakeEnvironment{}, &bytes.Buffer{}
	core := New(Config{Decider: module, Upstreams: env, Counter: env, Cluster: env, Log: slog.New(slog.NewTextHandler(log, nil)),
		RepeatWindows: []time.Duration{time.Second}, MaxKeys: 2})
	start := func(now time.Duration, key string) {
		r := env.request(100 * ms)
		r.IdempotencyKey = key
		id := core.StartStream(now, r)
		core.Turn(now)
		core.UpstreamEnded(now, Ref{Stream: id}, admission.OK, Answer{})
		core.Turn(now)
	}
	for _, key := range []string{"a", "b", "c", "a"} {
		start(0, key)
	}
	start(2*time.Second, "c")
	var kinds []EndKind
	for _, end := range env.ends {
		kinds = append(kinds, end.Kind)
	}
	require.Equal(t, []EndKind{Served, Served, Refused, Served, Served}, kinds)
	require.LessOrEqual(t, len(core.idempotencyKeys.entries), 2)
}

// A long request was written whole long before its host has read it. Its own time runs from then, that of its attempt from when
// the host has it.
func TestAttemptTimeoutRunsFromWhenHostHasRequest(t *testing.T) {
	core, _, env, _ := newTestCore(func(ev admission.Event) []admission.Action {
		if ev, ok := ev.(admission.RequestArrived); ok {
			return []admission.Action{admission.Send{ID: ev.ID, Server: "h", Wait: 100 * ms}}
		}
		return nil
	})
	r := env.request(time.Second)
	r.IsPartial, r.LastIncomplete = true, func() time.Duration { return 0 }
	id := core.StartStream(0, r)
	core.Turn(0)
	core.RequestCompleted(500*ms, id)
	require.Equal(t, 600*ms, core.Turn(500*ms))
	require.NotContains(t, env.calls, "cancel")
	require.Equal(t, time.Second-testMargin, core.streams[id].deadline)
}
