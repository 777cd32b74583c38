package faulttest

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shortSeeds are the seeds of the short form.
var shortSeeds = []uint64{1, 2, 3, 4}

// seedsVariable names the environment variable that selects other seeds, "from-to".
const seedsVariable = "FERRYFRONT_FAULT_SEEDS"

// seedsOf returns the seeds that an environment variable selects, or those of the short form.
func seedsOf(t *testing.T, variable string, short []uint64) []uint64 {
	text := os.Getenv(variable)
	if text == "" {
		return short
	}
	low, high, _ := strings.Cut(text, "-")
	from, err := strconv.ParseUint(low, 10, 64)
	require.NoError(t, err)
	to := from
	if high != "" {
		to, err = strconv.ParseUint(high, 10, 64)
		require.NoError(t, err)
	}
	var list []uint64
	for seed := from; seed <= to; seed++ {
		list = append(list, seed)
	}
	return list
}

// drawInjectedFaults draws which system calls fail in a process of a combination.
func drawInjectedFaults(rng *rand.Rand) string {
	text := fmt.Sprintf("seed=%d,from=1s,until=%s", rng.Uint32(), []string{"2s", "4s", "1h"}[rng.IntN(3)])
	for _, kind := range []string{"accept", "socket", "connect", "interrupt", "short"} {
		if rng.IntN(3) == 0 {
			text += fmt.Sprintf(",%s=%.2f", kind, 0.05+0.3*rng.Float64())
		}
	}
	if rng.IntN(3) == 0 {
		text += fmt.Sprintf(",broken=%.3f", 0.02*rng.Float64())
	}
	if rng.IntN(2) == 0 {
		text += ",step=" + []string{"3s", "-3s", "1h", "-1h"}[rng.IntN(4)]
	}
	return text
}

// Several processes under load while faults come one after the other and beside each other, drawn by a seed.
func TestCombinations(t *testing.T) {
	const (
		ingresses = 3
		chains    = 2 // steps that go on beside each other
		length    = 6 * time.Second
		rate      = 250
	)
	for _, seed := range seedsOf(t, seedsVariable, shortSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			var texts []string
			for range ingresses {
				texts = append(texts, drawInjectedFaults(rng))
			}
			t.Logf("seed %d, injected: %q", seed, texts)
			w := newWorld(t, ingresses, func(me int) string { return texts[me] })
			w.run(length, rate, seed, func() {
				var both sync.WaitGroup
				for chain := range chains {
					chainRNG := rand.New(rand.NewPCG(seed, uint64(10+chain)))
					both.Go(func() { w.chain(chainRNG, length-2*time.Second) })
				}
				both.Wait()
			})
		})
	}
}

// chain takes random steps until a time is over.
func (w *world) chain(rng *rand.Rand, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		s := steps[rng.IntN(len(steps))]
		w.t.Logf("%v: %s", time.Since(w.began).Round(time.Millisecond), s.name)
		s.take(w, rng)
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
}
