// Package estimate holds what is believed of hosts from few and old observations. It is free of I/O and
// decides nothing.
package estimate

import (
	"math"
	"time"
)

// Fade is what is left of a belief after some time in which nothing was seen, its memory in seconds.
func Fade(unseen time.Duration, memory float64) float64 {
	return math.Exp(-max(0, unseen).Seconds() / memory)
}

// Fading is an average that goes back to 0, what is taken for granted, while nothing is seen.
type Fading struct {
	V  float64
	At time.Duration // when V was the average
}

// Now is the average at a time, with a memory in seconds.
func (f Fading) Now(now time.Duration, memory float64) float64 { return f.V * Fade(now-f.At, memory) }

// Learn takes in what was seen, with the weight gain.
func (f *Fading) Learn(now time.Duration, memory, gain, seen float64) {
	v := f.Now(now, memory)
	f.V, f.At = v+gain*(seen-v), now
}

// Work is the usual seconds and units of a kind of request, averages.
type Work struct{ Took, Units float64 }

// Learn takes in one answer, with the weight gain; the first counts in full.
func (w *Work) Learn(took, units, gain float64) {
	if w.Took == 0 {
		w.Took, w.Units = took, units
	}
	w.Took += gain * (took - w.Took)
	w.Units += gain * (units - w.Units)
}

// Expect is how many seconds so many units may take, of which the part tell goes with the units; before
// anything was seen, the guess.
func (w Work) Expect(units, tell, guess float64) float64 {
	if w.Took == 0 {
		return guess
	}
	return w.Took * (1 - tell + tell*units/w.Units)
}

// Warmth is the part of its capacity that a host surely has, which started at boot (0: long ago) with the part
// from and comes up evenly in the time full, or faster. A full of 0 is no time.
func Warmth(now, boot, full time.Duration, from float64) float64 {
	if boot == 0 || full <= 0 || now-boot >= full {
		return 1
	}
	return from + (1-from)*max(0, (now-boot).Seconds())/full.Seconds()
}

// mostPower is the highest power given by Powers.
const mostPower = 16

// Powers gives for each item the power that a part is to be taken to, so that the part of the one with most at
// stake stays and the others' are less, each by its stake.
func Powers[T any](items []T, stake func(T) float64) []float64 {
	most, powers := 0.0, make([]float64, len(items))
	for _, t := range items {
		most = max(most, stake(t))
	}
	for i, t := range items {
		if powers[i] = 1; most > 0 {
			powers[i] = most / max(most/mostPower, stake(t))
		}
	}
	return powers
}
