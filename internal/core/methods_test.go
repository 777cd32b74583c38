package core_test

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/net/flow"
	"ferryfront.example/ferryfront/internal/net/upstream"
)

// The core finds the methods Gone of a payload and CloseRead of an answer's remaining body by type assertions. If such a
// method is renamed in its own package, everything still compiles, but the core no longer finds it. So these tests use
// the real types.

// sendingModule sends every request once and records the ends of attempts.
type sendingModule struct{ ended []admission.AttemptEnded }

func (m *sendingModule) Handle(_ time.Duration, ev admission.Event) []admission.Action {
	switch ev := ev.(type) {
	case admission.RequestArrived:
		return []admission.Action{admission.Send{ID: ev.ID, Server: "h"}}
	case admission.AttemptEnded:
		m.ended = append(m.ended, ev)
	}
	return nil
}

// silentUpstreams accepts upstream requests and counts them, and never answers.
type silentUpstreams struct{ started int }

func (u *silentUpstreams) Start(core.Ref, string, core.Payload, time.Duration) { u.started++ }
func (*silentUpstreams) Cancel(core.Ref) bool                                  { return true }
func (*silentUpstreams) Withdraw(core.Ref) bool                                { return false }
func (*silentUpstreams) Probe(core.Ref, string, time.Duration)                 {}
func (*silentUpstreams) CloseIdle(string)                                      {}

func newSendingCore() (*core.Core, *sendingModule, *silentUpstreams) {
	module, upstreams := &sendingModule{}, &silentUpstreams{}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return core.New(core.Config{Decider: module, Upstreams: upstreams, Log: log}), module, upstreams
}

// The answer of a stream whose client has left is discarded: its sender must learn that nobody reads the rest.
func TestDiscardedAnswerIsClosed(t *testing.T) {
	c, _, _ := newSendingCore()
	id := c.StartStream(0, core.Request{RequestArrived: admission.RequestArrived{ExpiresIn: time.Second}})
	c.Turn(0)
	c.ClientDisconnected(0, id)
	body := flow.New(1<<10, -1)
	c.UpstreamEnded(0, core.Ref{Stream: id}, admission.OK, core.Answer{Rest: body})
	require.True(t, body.IsReadClosed())
}

// A message of whose body a part has been sent and not kept must not be sent, and the module must learn that it can't be
// sent again.
func TestConsumedMessageIsNotSent(t *testing.T) {
	for _, consumed := range []bool{false, true} {
		c, module, upstreams := newSendingCore()
		body := flow.New(1<<10, -1)
		body.Append([]byte("part"))
		if consumed {
			body.Consume(1)
		}
		c.StartStream(0, core.Request{RequestArrived: admission.RequestArrived{ExpiresIn: time.Second},
			Payload: &upstream.Message{BodyPipe: body}})
		c.Turn(0)
		c.Turn(0)
		if consumed {
			require.Zero(t, upstreams.started)
			require.Len(t, module.ended, 1)
			require.Equal(t, admission.NotSent, module.ended[0].Outcome)
			require.True(t, module.ended[0].NotReplayable)
		} else {
			require.Equal(t, 1, upstreams.started)
			require.Empty(t, module.ended)
		}
	}
}
