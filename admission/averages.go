package admission

// Averages with exponential forgetting.

import (
	"time"

	"ferryfront.example/ferryfront/admission/estimate"
)

// eventRate counts events with exponential forgetting.
type eventRate struct {
	count float64
	at    time.Duration // when count was computed
}

// add counts one event, with a time constant in seconds.
func (e *eventRate) add(now time.Duration, memory float64) {
	e.count, e.at = e.rate(now, memory)*memory+1, now
}

// rate returns the events per second, with a time constant in seconds.
func (e *eventRate) rate(now time.Duration, memory float64) float64 {
	return e.count * estimate.Decay(now-e.at, memory) / memory
}

// demandEstimate sums up how much was asked and for how long that was observed. Both sums decay with time.
type demandEstimate struct {
	demand   float64       // seconds in which the units asked would have fit: units over capacity
	observed float64       // seconds of observation
	at       time.Duration // when both were computed
}

// decay brings the sums up to the present, with a time constant in seconds.
func (e *demandEstimate) decay(now time.Duration, memory float64) {
	factor := estimate.Decay(now-e.at, memory)
	e.demand, e.observed, e.at = e.demand*factor, e.observed*factor, now
}

// mean returns the demand as a multiple of what fits. The prior counts like weight seconds of observation.
func (e *demandEstimate) mean(prior, weight float64) float64 {
	return (prior*weight + e.demand) / (weight + e.observed)
}
