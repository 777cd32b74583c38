package controlserver

import "time"

// Bounds of what is sent to one member: at most paceBurst + 10 s x paceRate = 204 KB in any 10 s, within the budget of
// 21 KB a second as an average over 10 s. The burst holds the longest version, so that a change is not held up.
const (
	paceBurst = 74_000 // bytes
	paceRate  = 13_000 // bytes a second
)

// pacer is a token bucket of bytes, owned by one goroutine. Its level may fall below zero by what must not wait.
type pacer struct {
	level float64
	last  time.Time
}

func newPacer(now time.Time) *pacer { return &pacer{paceBurst, now} }

// wait tells how long to wait before so many bytes may be sent; what is more than a burst may be sent at a full level.
func (p *pacer) wait(bytes int, now time.Time) time.Duration {
	p.level = min(paceBurst, p.level+paceRate*now.Sub(p.last).Seconds())
	p.last = now
	missing := min(float64(bytes), paceBurst) - p.level
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / paceRate * float64(time.Second))
}

// take counts bytes that are sent.
func (p *pacer) take(bytes int) { p.level -= float64(bytes) }
