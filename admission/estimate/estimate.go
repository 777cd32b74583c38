// Package estimate holds averages and models of hosts and requests that are learned from few and old
// observations. Their owner passes the time and serialises the calls. The package does no input or output and
// decides nothing.
package estimate

import (
	"math"
	"time"
)

// Decay returns the factor by which a value has decayed after some time, with a time constant in seconds. A
// negative time counts as none.
func Decay(elapsed time.Duration, timeConstant float64) float64 {
	return math.Exp(-max(0, elapsed).Seconds() / timeConstant)
}

// FadingAverage is an exponentially weighted average that decays to 0 while nothing is observed: 0 is what its
// owner assumes without observations.
type FadingAverage struct {
	Value float64
	At    time.Duration // when Value was the average
}

// Now returns the average at a time, with a time constant in seconds.
func (f FadingAverage) Now(now time.Duration, timeConstant float64) float64 {
	return f.Value * Decay(now-f.At, timeConstant)
}

// LearnBool adds an observation, 1 for true and 0 for false, with its weight, 0 to 1.
func (f *FadingAverage) LearnBool(now time.Duration, timeConstant, weight float64, isTrue bool) {
	observed := 0.0
	if isTrue {
		observed = 1
	}
	f.Learn(now, timeConstant, weight, observed)
}

// Learn adds an observation with its weight, 0 to 1.
func (f *FadingAverage) Learn(now time.Duration, timeConstant, weight, observed float64) {
	value := f.Now(now, timeConstant)
	f.Value, f.At = value+weight*(observed-value), now
}

// LatencyModel is the mean latency and size of one kind of request, as exponentially weighted averages. Its zero
// value has no observations.
type LatencyModel struct {
	Latency   float64       // seconds; 0: none observed
	Units     float64       // mean units of the requests observed
	DoubtedAt time.Duration // time of the last decay by Doubt; 0: never
}

// maxDoubtTime bounds the time for which one call of Doubt decays the latency. Before the call there may have
// been no request of the kind for long, and time without requests is no ground for doubt.
const maxDoubtTime = time.Second

// Doubt lets the latency decay if the expected latency is above the largest useful one, all in seconds. A kind
// of request that is not sent because of its latency brings no answer that could show an improvement.
func (m *LatencyModel) Doubt(now time.Duration, timeConstant, expected, maxUseful float64) {
	if expected > maxUseful {
		m.Latency *= Decay(min(now-m.DoubtedAt, maxDoubtTime), timeConstant)
		m.DoubtedAt = now
	}
}

// Learn adds the latency in seconds and the units of one answer, with its weight, 0 to 1. The first answer counts
// in full.
func (m *LatencyModel) Learn(latency, units, weight float64) {
	if m.Latency == 0 {
		m.Latency, m.Units = latency, units
	}
	m.Latency += weight * (latency - m.Latency)
	m.Units += weight * (units - m.Units)
}

// Expect returns the expected latency in seconds of a request with these units. The share unitsShare of the
// mean latency is taken to be proportional to the units. Without observations it returns initial.
func (m LatencyModel) Expect(units, unitsShare, initial float64) float64 {
	if m.Latency == 0 {
		return initial
	}
	return m.Latency * (1 - unitsShare + unitsShare*units/m.Units)
}

// WarmUpShare returns the share of its full capacity that a host surely has. The host started at boot (0: long
// ago) with the share initial, which rises to 1 evenly in the time warmUp, or faster. A warmUp of 0 means that
// it starts with its full capacity.
func WarmUpShare(now, boot, warmUp time.Duration, initial float64) float64 {
	if boot == 0 || warmUp <= 0 || now-boot >= warmUp {
		return 1
	}
	return initial + (1-initial)*max(0, (now-boot).Seconds())/warmUp.Seconds()
}

// maxExponent is the largest exponent that [Exponents] returns.
const maxExponent = 16

// Exponents returns an exponent for each item, to be applied to a share between 0 and 1: 1 for the items of the
// highest cost, which keep the whole share, and up to maxExponent for the others, in inverse proportion to
// their costs. If no cost is above 0, all are 1.
func Exponents[T any](items []T, cost func(T) float64) []float64 {
	maxCost, exponents := 0.0, make([]float64, len(items))
	for _, item := range items {
		maxCost = max(maxCost, cost(item))
	}
	for i, item := range items {
		if exponents[i] = 1; maxCost > 0 {
			exponents[i] = maxCost / max(maxCost/maxExponent, cost(item))
		}
	}
	return exponents
}

// Mix is how often each kind of request has come recently, as decaying counts.
type Mix []float64

// Learn counts one more request of a kind, after all counts have lost the share weight, 0 to 1.
func (m Mix) Learn(kind int, weight float64) {
	for i := range m {
		m[i] -= weight * m[i]
	}
	m[kind]++
}

// bisectionSteps is how often Level halves the interval that it searches.
const bisectionSteps = 24

// Level returns the level, 0 to 1, at which the given share of all requests is admitted. Of each kind the share
// that is admitted is the level to the power of the kind's exponent. A share of 1 or more gives 1.
func (m Mix) Level(exponents []float64, share float64) float64 {
	if share >= 1 {
		return 1
	}
	all := 0.0
	for _, count := range m {
		all += count
	}
	low, high := 0.0, 1.0
	for range bisectionSteps {
		level, sum := (low+high)/2, 0.0
		for i, count := range m {
			sum += count * math.Pow(level, exponents[i])
		}
		if sum < share*all {
			low = level
		} else {
			high = level
		}
	}
	return high
}
