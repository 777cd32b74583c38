package scale

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"ferryfront.example/ferryfront/internal/controlgroup"
)

// Times around an event.
const (
	steadyBefore = 2 * time.Second // of load before it, so that tenants are known
	measuredMost = usageWindow + 2*time.Second
	warningsKept = 5
)

// Play runs the event and returns its line. An error of the run itself is in the line.
func (r Run) Play() (Line, error) {
	began := time.Now()
	if err := r.fill(); err != nil {
		return Line{}, err
	}
	line := Line{Event: r.Event, Agreement: r.Agreement, Instances: r.Instances, Real: r.Real, Hollow: r.Instances - r.Real,
		Hosts: r.Hosts}
	i := slices.IndexFunc(disturbances(), func(d disturbance) bool { return d.name == r.Event })
	if i < 0 {
		names, _ := Events()
		return Line{}, fmt.Errorf("no event %q: need one of %s", r.Event, strings.Join(names, ", "))
	}
	d := disturbances()[i]
	if d.needsGroup && r.Agreement == Gossip {
		line.Note = "there is no control group: not run"
		return line, nil
	}
	if err := r.play(d, &line); err != nil {
		line.Error = err.Error()
	}
	line.Seconds = time.Since(began).Seconds()
	return line, nil
}

func (r Run) play(d disturbance, line *Line) error {
	f, err := newFleet(r)
	defer f.close()
	if err != nil {
		return err
	}
	meter := startMeter(f)
	t := &trial{fleet: f}
	failed := make(chan error, 1)
	go func() { failed <- t.run(d, meter, line) }()
	for running := true; running; {
		select {
		case err = <-failed:
			running = false
		case <-time.After(sampleEvery / 2):
			if err = meter.exceeded(); err != nil {
				running = false // the fleet is closed under the event
			}
		}
	}
	meter.close()
	line.use(meter)
	line.Warnings = f.timeline.warnings(warningsKept)
	line.Note = strings.Join(t.notes, "; ")
	return err
}

// run waits for the fleet, plays the event under load and judges it.
func (t *trial) run(d disturbance, meter *meter, line *Line) error {
	f := t.fleet
	if err := t.awaitStart(line); err != nil {
		return err
	}
	if err := f.trim(); err != nil {
		return err
	}
	load := f.begin()
	time.Sleep(steadyBefore)
	meter.measure()
	measured := time.Now()
	err := d.play(t)
	halvedFrom := t.realActAlone()
	if !f.run.Short {
		time.Sleep(time.Until(measured.Add(measuredMost)))
	}
	meter.finish()
	load.end()
	if err != nil {
		return err
	}
	t.result(line)
	v := f.judge(halvedFrom)
	line.Requests, line.Lost, line.Doubled, line.CeilingBreaks = v.requests, &v.lost, &v.doubled, &v.ceilingBreaks
	if v.lost+v.doubled+v.ceilingBreaks > 0 { // else they are of ingresses that were down
		line.Faults = v.faults
	}
	return nil
}

// awaitStart waits until all members have settled.
func (t *trial) awaitStart(line *Line) error {
	f, began := t.fleet, time.Now()
	missing := 0
	ok := await(began.Add(startMost), func() bool {
		missing = len(f.topology.members(func(m int) bool { return !f.timeline.settled(m) }))
		return missing == 0
	})
	if !ok {
		return fmt.Errorf("%d of %d members had not settled %v after the start", missing, f.topology.Instances, startMost)
	}
	ms := milliseconds(time.Since(began))
	line.StartSettledMS = &ms
	return nil
}

// realActAlone returns from when all real members acted on the change alone, zero: they did not, or there was none.
func (t *trial) realActAlone() (from time.Time) {
	if t.given.IsZero() {
		return from
	}
	for m := range t.fleet.topology.Real {
		at, ok := t.fleet.timeline.first(m, t.given, actsAlone(t.version))
		if !ok {
			return time.Time{}
		}
		if at.After(from) {
			from = at
		}
	}
	return from
}

// result fills in what the members have reported.
func (t *trial) result(line *Line) {
	if !t.given.IsZero() {
		times, missing := t.inForce()
		line.InForceP50MS, line.InForceMaxMS, line.NotInForce = times.at(50), times.at(100), &missing
	}
	if len(t.restarted) > 0 {
		times, missing := t.settling(time.Now())
		line.SettledP90MS = times.at(90)
		line.SettledOf = &[2]int{len(t.restarted) - missing, len(t.restarted)}
	}
	contradiction := milliseconds(t.fleet.timeline.contradiction(time.Now()))
	line.ContradictionMS = &contradiction
	if bound, err := t.fleet.run.contradictionBound(line.Event); err == nil {
		ms := milliseconds(bound)
		line.ContradictionBoundMS = &ms
	}
}

// contradictionBound is what the design states for an event. With a control group, ingresses that hold a lease never
// contradict each other. One that is cut off may, from the end of its lease until it reaches a replica again.
func (r Run) contradictionBound(event string) (time.Duration, error) {
	switch {
	case r.Agreement == Gossip:
		return gossipBound(r.Instances)
	case event == eventRegions:
		return regionCut + controlgroup.DefaultTiming.Settings, nil
	}
	return 0, nil
}

// use fills in what the meter has seen.
func (l *Line) use(m *meter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.Processes, l.MemoryMBTotal = m.processes, m.totalMB
	l.ControlCPUShareMax, l.ControlMemoryMBMax, l.ControlBytesPerSMax = largest(m.cpu), largest(m.memory), largest(m.traffic)
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1e3 }
