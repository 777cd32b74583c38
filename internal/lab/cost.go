package lab

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"ferryfront.example/ferryfront/internal/standin"
)

// CostReport compares the CPU that two builds of the ingress use for a request, in one run.
type CostReport struct {
	Scenario  string    `json:"scenario"`
	Rounds    int       `json:"rounds"`
	Requests  int       `json:"requests"` // of each
	CPU       []float64 `json:"cpu_us"`   // a request, of this build and of the other
	Ratio     float64   `json:"ratio"`    // of the first to the second
	Lost      int       `json:"lost"`
	ClockTick float64   `json:"clock_tick_ms"` // what the kernel counts in
}

// Cost plays the same load on both in turns, so that what else the machine does falls on both alike. It compares
// time in user and system mode as the kernel counts it for the processes.
func Cost(s Setup, other string, rate float64, rounds int, each time.Duration) (CostReport, error) {
	r := CostReport{Scenario: "cost", Rounds: rounds, CPU: make([]float64, 2), ClockTick: 1e3 / ticks}
	shape := standin.Shape{Hosts: 4, Work: 5 * time.Millisecond, Bare: true}
	var benches []*harness
	for _, binary := range []string{s.Ferryfront, other} {
		s.Ferryfront = binary
		b, err := newHarness(s, shape)
		if err != nil {
			return r, err
		}
		defer b.close()
		benches = append(benches, b)
	}
	used, asked := [2]float64{}, [2]int{}
	for round := range rounds {
		for i, b := range benches {
			before, answers := cpu(b.ingress.Cmd.Process.Pid), len(b.world.Record.Answers())
			ctx, cancel := context.WithTimeout(context.Background(), each)
			standin.Load{Rate: rate, Customers: 200, Plan: "boutique", Prefix: fmt.Sprint("r", round, "-"), Orders: 0.15,
				Seed: uint64(round)}.Run(ctx, b.clients)
			cancel()
			used[i] += cpu(b.ingress.Cmd.Process.Pid) - before
			asked[i] += len(b.world.Record.Answers()) - answers
		}
	}
	for i, b := range benches {
		r.Lost += b.verdict().Lost
		r.CPU[i] = used[i] / float64(max(1, asked[i]))
	}
	r.Requests = asked[0]
	if r.CPU[1] > 0 {
		r.Ratio = r.CPU[0] / r.CPU[1]
	}
	return r, nil
}

// ticks is the unit of the kernel's count, a second's worth; it is the same on every Linux that Go runs on.
const ticks = 100

// cpu is what a process has used, in µs, 0 where it can't be read.
func cpu(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The name, in brackets, may hold anything.
	text := string(raw)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) < 13 {
		return 0
	}
	var user, system float64
	if _, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system); err != nil {
		return 0
	}
	return (user + system) * 1e6 / ticks
}
