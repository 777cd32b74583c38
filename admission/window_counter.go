package admission

// Fixed windows on the shared counter, as one gateway sees them.

import (
	"math"
	"strconv"
	"time"
)

// windowCounter is one count of a customer (quota units, requests in flight or demand) on the shared counter,
// under a name of its own for each window. A query adds a request's units to the present window and returns the
// total of all gateways.
type windowCounter struct {
	prefix      string
	length      time.Duration
	phase       time.Duration // by how much its windows start before multiples of length
	window      int64         // number of the present window
	lastTotal   float64       // last total read in this window
	lastTotalAt time.Duration // when it was read, or the start of the window
	pending     float64       // corrections and returned units to be added with the next call
}

// newWindowCounter returns a counter whose windows start phase (a fraction of the length, 0 to 1) before
// multiples of the length. With a phase for each customer the windows of many do not change at one moment.
func newWindowCounter(prefix string, length time.Duration, phase float64) windowCounter {
	return windowCounter{prefix: prefix, length: length, phase: seconds(length.Seconds() * phase)}
}

// windowAt returns the number of the window at a time.
func (c *windowCounter) windowAt(now time.Duration) int64 { return int64((now + c.phase) / c.length) }

// elapsed returns the time since the start of the present window.
func (c *windowCounter) elapsed(now time.Duration) time.Duration { return (now + c.phase) % c.length }

// name returns the name of a window on the shared counter.
func (c *windowCounter) name(window int64) string { return c.prefix + strconv.FormatInt(window, 36) }

// counterCall is a call to the shared counter that is not answered.
type counterCall struct {
	request      *request // the request that waits for it; nil if it is decided, or none waits
	customer     *customer
	counter      *windowCounter
	window       int64
	delta        float64 // what the call adds
	requestDelta float64 // the waiting request's part of delta, not yet deducted from the local tokens
}

// counterKey returns the customer's part of the names on the shared counter.
func (c *customer) counterKey() string { return strconv.FormatUint(c.id, 36) }

// hashFraction maps an id to a fixed point in [0,1), evenly spread (Fibonacci hashing).
func hashFraction(id uint64) float64 { return float64(id*0x9e3779b97f4a7c15>>32) / (1 << 32) }

// seconds converts seconds to a duration, at most 1e9 of them.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 1e9) * float64(time.Second))
}
