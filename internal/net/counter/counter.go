// Package counter is the client of the shared quota counter, an HTTP service that adds amounts to named totals. It
// distributes its calls over several connections and pipelines them on each. The goroutine of the event loop owns a Client
// and calls its Sink. The package never repeats a call and takes no decision on a quota.
package counter

import (
	"hash/fnv"
	"log/slog"
	"math"
	"slices"
	"strconv"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// Sink receives one result for each call. The results of calls with the same name arrive in the order of the calls.
type Sink interface {
	CounterCallEnded(admission.CounterAnswered)
}

// Client sends calls to the counter. All calls of one name use the same connection, so that responses keep the order of
// calls. There are many connections, so that a slow part of the counter delays few calls to its other parts.
type Client struct {
	loop   *loop.Loop
	bounds limits.Limits
	log    *slog.Logger
	addr   string
	sink   Sink
	conns  []*conn // a connection is chosen by the hash of the counter's name
	// retired holds connections that take no new calls and still have some unanswered: connections to a previous address,
	// and those above the number after Resize.
	retired      []*conn
	unreported   map[string][]*addCall // by counter name, in the order of calls
	lastResponse time.Duration         // time of the last response on any connection, 0: never
	debugEnabled bool
	lossReported bool          // a loss was logged, and no call has succeeded since
	lossLoggedAt time.Duration // 0: never

	onDrained func() // called once no connection is open; nil unless Drain is in progress
}

// New returns a client of the counter at addr, a TCP address. It connects on the first call. SetSink must be called before
// that.
func New(l *loop.Loop, bounds limits.Limits, log *slog.Logger, addr string) *Client {
	c := &Client{loop: l, bounds: bounds, log: log, addr: addr, unreported: map[string][]*addCall{},
		debugEnabled: core.DebugEnabled(log)}
	c.conns = make([]*conn, bounds.CounterConns)
	c.replaceConns()
	l.After(sweepInterval, c.sweep)
	return c
}

// replaceConns sets up as many new connections as there were, at least one. They connect on their first calls.
func (c *Client) replaceConns() {
	c.conns = make([]*conn, max(len(c.conns), 1))
	for i := range c.conns {
		c.conns[i] = &conn{client: c}
	}
}

// SetAddr sends new calls to another address. Calls in flight complete on their old connections, which are kept for at most
// CounterMoveTimeout.
func (c *Client) SetAddr(addr string) {
	if addr == c.addr {
		return
	}
	c.addr = addr
	for _, cn := range c.conns {
		c.retire(cn)
	}
	c.replaceConns()
}

// retire closes a connection once its calls in flight are answered, at the latest after CounterMoveTimeout. Each
// connection has its own timer, so that the deadline of one move does not end connections that another move has retired.
func (c *Client) retire(cn *conn) {
	if len(cn.calls) == 0 {
		cn.close()
		return
	}
	c.retired = append(c.retired, cn)
	cn.retireTimer = c.loop.After(c.bounds.CounterMoveTimeout, func() {
		cn.fail("connection retired, its calls were not answered in time")
	})
}

// SetSink sets the receiver of results.
func (c *Client) SetSink(s Sink) { c.sink = s }

// lossLogInterval is the minimum time between two warnings of a lost connection.
const lossLogInterval = 10 * time.Second

const (
	sweepInterval = 500 * time.Millisecond // between checks for idle and silent connections
	drainInterval = 2 * time.Millisecond   // between attempts to close connections during Drain
)

// sweep closes idle, silent and stuck connections. Retired ones have a deadline of their own.
func (c *Client) sweep() {
	c.loop.After(sweepInterval, c.sweep)
	now := c.loop.Now()
	for _, cn := range c.conns {
		switch {
		case cn.source == nil:
		case len(cn.calls) == 0 && now-cn.lastResponse > c.bounds.CounterIdleTimeout:
			// Closed before the counter closes it: a call sent while the counter closes may or may not have been added.
			cn.close()
		case len(cn.calls) > 0 && now-max(cn.lastResponse, cn.calls[0].startedAt) > c.bounds.CounterSilenceTimeout:
			cn.fail("silent")
		default:
			cn.closeIfStuck()
		}
	}
}

// Add asks the counter to add an amount, which may be negative, to the named total and to keep that total for expiry, sent
// in milliseconds, rounded up. The result goes to the Sink, possibly before Add returns. The outcome TimedOut means that
// the amount may have been added; with Unreachable, Full and Errored it was not.
func (c *Client) Add(name string, amount float64, expiry time.Duration) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	c.conns[h.Sum32()%uint32(len(c.conns))].add(name, amount, expiry)
}

// finish records the result of a call and reports the results that are next in their name's order. A call can finish
// before earlier ones of its name: when it is refused because too many are unanswered, or when it went to a new address.
// Its result waits for theirs, since the decision module matches results to calls by their order.
func (c *Client) finish(call *addCall, outcome admission.Outcome, total float64) {
	if call.isDone {
		return
	}
	call.isDone = true
	call.timer.Stop()
	if outcome == admission.OK && c.lossReported {
		c.lossReported = false
		c.log.Info("counter answers again")
	}
	call.result = admission.CounterAnswered{Name: call.name, Total: total, Took: c.loop.Now() - call.startedAt, Outcome: outcome}
	queue := c.unreported[call.name]
	for len(queue) > 0 && queue[0].isDone {
		c.sink.CounterCallEnded(queue[0].result)
		queue = queue[1:]
	}
	if len(queue) == 0 {
		delete(c.unreported, call.name)
		return
	}
	c.unreported[call.name] = queue
}

// addCall is one call of Add. After a timeout its result is reported, but it stays in its connection's queue, because the
// counter's response to it still precedes the response to the next call.
type addCall struct {
	name      string
	startedAt time.Duration
	endOffset int // bytes of the connection's output up to the end of this request
	isDone    bool
	result    admission.CounterAnswered // valid once isDone
	timer     *loop.Timer               // runs out after CounterCallTimeout
}

// conn is one connection to the counter. It is opened on its first call, and again on the first call after it was closed.
type conn struct {
	client                    *Client
	source                    *loop.Source // nil while closed
	parser                    *http1.ResponseParser
	isConnected               bool
	unsent                    []byte
	queuedBytes, writtenBytes int           // since the connection was opened
	calls                     []*addCall    // without a response, in the order of their requests
	lastResponse              time.Duration // time of the last response, or of the dial before the first one
	dialTimer                 *loop.Timer
	retireTimer               *loop.Timer // nil unless retired
	backoff                   time.Duration
	nextDialAt                time.Duration // no dial before this time
}

// add queues the request of a call, or finishes it as Unreachable without sending it.
func (cn *conn) add(name string, amount float64, expiry time.Duration) {
	now := cn.client.loop.Now()
	call := &addCall{name: name, startedAt: now}
	cn.client.unreported[name] = append(cn.client.unreported[name], call)
	// Bounds the requests queued for a counter that does not respond. The amount of a call that is not queued is not added.
	if len(cn.calls) >= cn.client.bounds.MaxPendingCounterCalls || !cn.ensureOpen() {
		cn.client.finish(call, admission.Unreachable, 0)
		return
	}
	target := append(make([]byte, 0, 96), "/counters/"...)
	target = append(target, name...)
	target = append(target, "?by="...)
	target = strconv.AppendFloat(target, amount, 'f', -1, 64)
	target = append(target, "&expire_ms="...)
	target = strconv.AppendInt(target, max(1, int64((expiry+time.Millisecond-1)/time.Millisecond)), 10)
	before := len(cn.unsent)
	cn.unsent = http1.AppendRequest(cn.unsent, "POST", string(target), "counter", nil, nil)
	cn.queuedBytes += len(cn.unsent) - before
	call.endOffset = cn.queuedBytes
	cn.calls = append(cn.calls, call)
	call.timer = cn.client.loop.After(cn.client.bounds.CounterCallTimeout, func() {
		cn.client.finish(call, admission.TimedOut, 0)
		cn.closeIfStuck()
	})
	if cn.isConnected && before == 0 {
		cn.flush()
	}
}

// closeIfStuck fails a connection that has had calls unanswered and no response for CounterStuckTimeout while another
// connection got a response. The counter then works, and this connection waits for the rest of a response that never
// comes, such as one with a body shorter than its Content-Length. Each call behind it would time out in turn, and the
// decision module takes many timeouts in a row for an outage of the counter. When the counter as a whole is slow or
// silent, no connection gets a response, and all are kept for CounterSilenceTimeout.
func (cn *conn) closeIfStuck() {
	if cn.source == nil || len(cn.calls) == 0 {
		return
	}
	since := max(cn.lastResponse, cn.calls[0].startedAt)
	if cn.client.loop.Now()-since > cn.client.bounds.CounterStuckTimeout && cn.client.lastResponse > since {
		cn.fail("stuck behind an answer that can't be read")
	}
}

// ensureOpen starts to connect if the connection is closed. It returns false during the backoff after a failure, and if
// the dial fails at once.
func (cn *conn) ensureOpen() bool {
	now := cn.client.loop.Now()
	if cn.source != nil {
		return true
	}
	if now < cn.nextDialAt {
		return false
	}
	fd, err := loop.Dial(cn.client.addr)
	if err == nil {
		if cn.source, err = cn.client.loop.Watch(fd, loop.Out|loop.Hangup, cn); err != nil {
			loop.CloseFD(fd)
		}
	}
	if err != nil {
		cn.recordFailure(err.Error())
		return false
	}
	cn.parser = http1.NewResponseParser(cn.client.bounds.MaxHeaderBytes, cn.client.bounds.MaxBufferedBodyBytes, 0)
	cn.isConnected, cn.unsent, cn.queuedBytes, cn.writtenBytes, cn.lastResponse = false, cn.unsent[:0], 0, 0, now
	cn.dialTimer = cn.client.loop.After(cn.client.bounds.DialTimeout, func() { cn.fail("connect timeout") })
	return true
}

// Ready handles the connection's events: the end of the dial, readable data, room to write.
func (cn *conn) Ready(events uint32) {
	if !cn.isConnected {
		if err := loop.DialResult(cn.source.FD()); err != nil {
			cn.fail(err.Error())
			return
		}
		cn.isConnected, cn.backoff = true, 0
		cn.dialTimer.Stop()
		cn.flush()
		return
	}
	if events&(loop.In|loop.Hangup) != 0 {
		cn.read()
	}
	if events&loop.Out != 0 && cn.source != nil && len(cn.unsent) > 0 {
		cn.flush()
	}
}

// flush writes queued requests as far as the socket takes them.
func (cn *conn) flush() {
	n, err := loop.Write(cn.source.FD(), cn.unsent)
	cn.writtenBytes += n
	cn.unsent = cn.unsent[:copy(cn.unsent, cn.unsent[n:])]
	if err != nil {
		cn.fail(err.Error())
		return
	}
	if len(cn.unsent) > 0 {
		cn.source.SetEvents(loop.In | loop.Out | loop.Hangup)
		return
	}
	cn.source.SetEvents(loop.In | loop.Hangup)
}

// read reads once from the socket and finishes the calls whose responses are complete.
func (cn *conn) read() {
	buf := cn.client.loop.ReadBuffer()
	n, err := loop.Read(cn.source.FD(), buf)
	if err == loop.ErrAgain {
		return
	}
	if err != nil {
		if len(cn.calls) == 0 { // the counter may close an idle connection: not a failure
			cn.close()
			return
		}
		cn.fail(err.Error())
		return
	}
	cn.parser.Feed(buf[:n])
	for {
		response, err := cn.parser.Next()
		if err != nil {
			cn.fail(err.Error())
			return
		}
		if response == nil {
			return
		}
		if len(cn.calls) == 0 {
			cn.fail("unsolicited response")
			return
		}
		call := cn.calls[0]
		cn.calls = cn.calls[1:]
		cn.lastResponse, cn.client.lastResponse = cn.client.loop.Now(), cn.client.loop.Now()
		outcome, total := parseResponse(response)
		cn.client.finish(call, outcome, total)
		// Bytes that follow a malformed response may belong to it.
		if response.Close || outcome == admission.TimedOut {
			cn.fail("response is malformed or closes the connection")
			return
		}
	}
}

// parseResponse returns the outcome of a call, and the new total if that is OK. A malformed response counts as TimedOut,
// since the amount may have been added.
func parseResponse(r *http1.Response) (admission.Outcome, float64) {
	switch r.Status {
	case 200:
		total, err := strconv.ParseFloat(string(r.Body), 64)
		if err != nil || math.IsNaN(total) || math.IsInf(total, 0) {
			return admission.TimedOut, 0
		}
		return admission.OK, total
	case 503:
		return admission.Full, 0
	case 400, 404:
		return admission.Errored, 0
	}
	return admission.TimedOut, 0
}

// fail closes the connection and finishes its calls: as Unreachable if the request was not wholly written, so that the
// amount was not added; else as TimedOut, since the amount may have been added or may still be. It starts a backoff unless
// the connection was established and had no calls.
func (cn *conn) fail(cause string) {
	if cn.client.debugEnabled {
		cn.client.log.Debug("counter connection closed", "cause", cause, "calls", len(cn.calls), "up", cn.isConnected)
	}
	calls, writtenBytes := cn.calls, cn.writtenBytes
	cn.close()
	if len(calls) > 0 || !cn.isConnected {
		cn.recordFailure(cause)
	}
	for _, call := range calls {
		if call.endOffset > writtenBytes {
			cn.client.finish(call, admission.Unreachable, 0)
		} else {
			cn.client.finish(call, admission.TimedOut, 0)
		}
	}
}

// recordFailure doubles the backoff, from InitialBackoff up to MaxBackoff, and logs the loss at most once per
// lossLogInterval.
func (cn *conn) recordFailure(cause string) {
	cn.backoff = min(max(2*cn.backoff, cn.client.bounds.InitialBackoff), cn.client.bounds.MaxBackoff)
	cn.nextDialAt = cn.client.loop.Now() + cn.backoff
	if now := cn.client.loop.Now(); !cn.client.lossReported &&
		(cn.client.lossLoggedAt == 0 || now-cn.client.lossLoggedAt > lossLogInterval) {
		cn.client.lossReported, cn.client.lossLoggedAt = true, now
		cn.client.log.Warn("counter connection lost", "cause", cause)
	}
}

// close closes the connection and forgets its calls: fail finishes them. A retired connection leaves the list.
func (cn *conn) close() {
	cn.dialTimer.Stop()
	cn.retireTimer.Stop()
	cn.source.Close()
	cn.source, cn.calls, cn.unsent = nil, nil, nil
	if i := slices.Index(cn.client.retired, cn); i >= 0 {
		cn.client.retired = slices.Delete(cn.client.retired, i, i+1)
	}
}
