// Package estimate holds what is believed of hosts from few and old observations. It is free of I/O and
// decides nothing.
package estimate

import (
	"math"
	"time"
)

// Decay is what is left of a belief after some time in which nothing was seen, its memory in seconds.
func Decay(unseen time.Duration, memory float64) float64 {
	return math.Exp(-max(0, unseen).Seconds() / memory)
}

// FadingAverage is an average that goes back to 0, what is taken for granted, while nothing is seen.
type FadingAverage struct {
	Value float64
	At    time.Duration // when V was the average
}

// Now is the average at a time, with a memory in seconds.
func (f FadingAverage) Now(now time.Duration, memory float64) float64 {
	return f.Value * Decay(now-f.At, memory)
}

// LearnBool takes in whether something was so, with the weight gain.
func (f *FadingAverage) LearnBool(now time.Duration, memory, gain float64, so bool) {
	seen := 0.0
	if so {
		seen = 1
	}
	f.Learn(now, memory, gain, seen)
}

// Learn takes in what was seen, with the weight gain.
func (f *FadingAverage) Learn(now time.Duration, memory, gain, seen float64) {
	v := f.Now(now, memory)
	f.Value, f.At = v+gain*(seen-v), now
}

// LatencyModel is the usual seconds and units of a kind of request, averages.
type LatencyModel struct {
	Latency, Units float64
	DoubtedAt      time.Duration // when it was last doubted, 0: never
}

// maxDoubtTime is the time that one doubt may stand for: before that none of its kind came.
const maxDoubtTime = time.Second

// Doubt fades what is expected where it is over the most that is of use: a kind of request that is kept out for it
// brings no answer that could tell otherwise.
func (w *LatencyModel) Doubt(now time.Duration, memory, expected, most float64) {
	if expected > most {
		w.Latency *= Decay(min(now-w.DoubtedAt, maxDoubtTime), memory)
		w.DoubtedAt = now
	}
}

// Learn takes in one answer, with the weight gain; the first counts in full.
func (w *LatencyModel) Learn(took, units, gain float64) {
	if w.Latency == 0 {
		w.Latency, w.Units = took, units
	}
	w.Latency += gain * (took - w.Latency)
	w.Units += gain * (units - w.Units)
}

// Expect is how many seconds so many units may take, of which the part tell goes with the units; before
// anything was seen, the guess.
func (w LatencyModel) Expect(units, tell, guess float64) float64 {
	if w.Latency == 0 {
		return guess
	}
	return w.Latency * (1 - tell + tell*units/w.Units)
}

// WarmUpShare is the part of its capacity that a host surely has, which started at boot (0: long ago) with the part
// from and comes up evenly in the time full, or faster. A full of 0 is no time.
func WarmUpShare(now, boot, full time.Duration, from float64) float64 {
	if boot == 0 || full <= 0 || now-boot >= full {
		return 1
	}
	return from + (1-from)*max(0, (now-boot).Seconds())/full.Seconds()
}

// maxExponent is the highest power given by Powers.
const maxExponent = 16

// Exponents gives for each item the power that a part is to be taken to, so that the part of the one with most at
// stake stays and the others' are less, each by its stake.
func Exponents[T any](items []T, stake func(T) float64) []float64 {
	most, powers := 0.0, make([]float64, len(items))
	for _, t := range items {
		most = max(most, stake(t))
	}
	for i, t := range items {
		if powers[i] = 1; most > 0 {
			powers[i] = most / max(most/maxExponent, stake(t))
		}
	}
	return powers
}

// Mix is how often each kind has come of late, counts that fade.
type Mix []float64

// Learn takes in one more of a kind, with the weight gain.
func (m Mix) Learn(kind int, gain float64) {
	for i := range m {
		m[i] -= gain * m[i]
	}
	m[kind]++
}

// bisectionSteps halve the interval that a level is looked for in.
const bisectionSteps = 24

// Level is the x at which the kinds' parts, each x to the power given, add up to a part of the whole.
func (m Mix) Level(powers []float64, part float64) float64 {
	if part >= 1 {
		return 1
	}
	all := 0.0
	for _, n := range m {
		all += n
	}
	low, high := 0.0, 1.0
	for range bisectionSteps {
		x, sum := (low+high)/2, 0.0
		for i, n := range m {
			sum += n * math.Pow(x, powers[i])
		}
		if sum < part*all {
			low = x
		} else {
			high = x
		}
	}
	return high
}
