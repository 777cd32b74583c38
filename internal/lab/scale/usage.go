package scale

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of a run on one machine, checked all the time.
const (
	processesMost = 200
	memoryMostMB  = 12_000
)

// usageWindow is over which figures of use are averaged: budgets are read so.
const usageWindow = 10 * time.Second

// Times between samples: of processes, which is cheap, and of traffic, which each member is asked for.
const (
	sampleEvery  = time.Second
	trafficEvery = 5 * time.Second
)

// ticksPerSecond is the unit of processor time in /proc, see proc(5): USER_HZ is 100 on all that Linux runs on.
const ticksPerSecond = 100

// processUse is what a process has used and holds.
type processUse struct {
	cpu      time.Duration
	memoryMB float64 // resident
}

// readProcess reads a process's use from /proc.
func readProcess(pid int) (u processUse, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	// The name in brackets may hold anything; fields are counted from behind it, where the third one is.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const first, user, system, resident = 3, 14, 15, 24
	if len(fields) <= resident-first {
		return u, fmt.Errorf("/proc/%d/stat has %d fields", pid, len(fields)+first-1)
	}
	var numbers [3]int64
	for i, field := range []int{user, system, resident} {
		if numbers[i], err = strconv.ParseInt(fields[field-first], 10, 64); err != nil {
			return u, fmt.Errorf("/proc/%d/stat: %w", pid, err)
		}
	}
	u.cpu = time.Duration(numbers[0]+numbers[1]) * time.Second / ticksPerSecond
	u.memoryMB = float64(numbers[2]*int64(os.Getpagesize())) / (1 << 20)
	return u, nil
}

// sampled is one reading of a figure.
type sampled struct {
	at    time.Time
	value float64
}

// series is a figure over time, of which the largest average over a window counts.
type series struct {
	samples []sampled
	largest float64
	whole   bool // a whole window has been seen
}

// add takes a reading of a figure that grows, and keeps the largest growth per second over a window.
func (s *series) add(at time.Time, value float64) {
	s.samples = append(s.samples, sampled{at, value})
	for len(s.samples) > 1 && at.Sub(s.samples[1].at) >= usageWindow {
		s.samples = s.samples[1:]
	}
	if first := s.samples[0]; at.Sub(first.at) >= usageWindow {
		s.whole = true
		s.largest = max(s.largest, (value-first.value)/at.Sub(first.at).Seconds())
	}
}

// level takes a reading of a figure that stands for itself, and keeps the largest average over a window.
func (s *series) level(at time.Time, value float64) {
	s.samples = append(s.samples, sampled{at, value})
	for len(s.samples) > 1 && at.Sub(s.samples[1].at) >= usageWindow {
		s.samples = s.samples[1:]
	}
	if at.Sub(s.samples[0].at) < usageWindow {
		return
	}
	sum := 0.0
	for _, x := range s.samples {
		sum += x.value
	}
	s.whole = true
	s.largest = max(s.largest, sum/float64(len(s.samples)))
}

// meter samples what the fleet uses, and ends a run that goes over its bounds.
type meter struct {
	fleet *fleet
	stop  chan struct{}
	done  sync.WaitGroup

	mu        sync.Mutex
	measuring bool
	cpu       map[int]*series // by process of hollow members, divided by their number
	memory    map[int]*series
	traffic   map[int]*series // by member: messages, discovery and the control group
	messages  map[int]*restarting
	totalMB   float64 // most at any time
	processes int     // most at any time
	over      error
}

// startMeter begins to check the bounds; figures of use count from measure on.
func startMeter(f *fleet) *meter {
	m := &meter{fleet: f, stop: make(chan struct{}), cpu: map[int]*series{}, memory: map[int]*series{}, traffic: map[int]*series{},
		messages: map[int]*restarting{}}
	m.done.Go(func() { m.every(sampleEvery, m.sampleProcesses) })
	m.done.Go(func() { m.every(trafficEvery, m.sampleTraffic) })
	return m
}

func (m *meter) every(period time.Duration, sample func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			sample()
		case <-m.stop:
			return
		}
	}
}

// measure has figures of use count from now on.
func (m *meter) measure() {
	m.mu.Lock()
	m.measuring = true
	m.mu.Unlock()
	m.sampleProcesses()
	m.sampleTraffic()
}

// finish takes the last sample.
func (m *meter) finish() {
	m.sampleProcesses()
	m.sampleTraffic()
}

// close ends the checks.
func (m *meter) close() {
	close(m.stop)
	m.done.Wait()
}

// exceeded tells why the run must end, nil: it need not.
func (m *meter) exceeded() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.over
}

func (m *meter) sampleProcesses() {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	totalMB, processes := 0.0, 0
	for _, pid := range append([]int{os.Getpid()}, m.fleet.otherProcesses()...) {
		if u, err := readProcess(pid); err == nil { // one that has ended holds nothing
			totalMB += u.memoryMB
			processes++
		}
	}
	for i, c := range m.fleet.hollow {
		u, err := readProcess(c.command.Process.Pid)
		if err != nil {
			continue
		}
		totalMB += u.memoryMB
		processes++
		if m.measuring {
			n := float64(len(c.members))
			seriesOf(m.cpu, i).add(now, u.cpu.Seconds()/n)
			seriesOf(m.memory, i).level(now, u.memoryMB/n)
		}
	}
	m.totalMB, m.processes = max(m.totalMB, totalMB), max(m.processes, processes)
	if memoryMost := m.fleet.run.memoryMost(); m.over == nil && totalMB > memoryMost {
		m.over = fmt.Errorf("the run holds %.0f MB, at most %.0f are allowed", totalMB, memoryMost)
	}
	if m.over == nil && processes > processesMost {
		m.over = fmt.Errorf("the run has %d processes, at most %d are allowed", processes, processesMost)
	}
}

func (m *meter) sampleTraffic() {
	m.mu.Lock()
	measuring := m.measuring
	m.mu.Unlock()
	if !measuring {
		return
	}
	messages, err := m.fleet.traffic()
	now := time.Now()
	if err != nil {
		m.fleet.run.Setup.Say("traffic not read: %v", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for member, sent := range messages {
		if m.messages[member] == nil {
			m.messages[member] = &restarting{}
		}
		lists := m.fleet.discovery.Sent(m.fleet.config.Discovery[member])
		total := float64(m.messages[member].total(sent)) + float64(lists)
		if m.fleet.relays != nil {
			total += float64(m.fleet.relays.Bytes(member))
		}
		seriesOf(m.traffic, member).add(now, total)
	}
}

// restarting is a count that begins at 0 with each process of a member.
type restarting struct{ before, last uint64 }

// total is the count of all processes, of which the last stands at count.
func (r *restarting) total(count uint64) uint64 {
	if count < r.last {
		r.before += r.last
	}
	r.last = count
	return r.before + count
}

func seriesOf(all map[int]*series, key int) *series {
	if all[key] == nil {
		all[key] = &series{}
	}
	return all[key]
}

// largest is the largest average over a window of any of the series, nil where none has a whole window.
func largest(all map[int]*series) (most *float64) {
	for _, s := range all {
		if s.whole && (most == nil || s.largest > *most) {
			most = &s.largest
		}
	}
	return most
}

// otherProcesses are those of real ingresses, and of the control group.
func (f *fleet) otherProcesses() []int {
	f.processes.Lock()
	defer f.processes.Unlock()
	return slices.AppendSeq(slices.Clone(f.groupPIDs), maps.Values(f.realPIDs))
}
