package lab

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/daemon"
	"ferryfront.example/ferryfront/internal/standin"
)

// Times of these tests. The settings lease is the default's; the share lease is short, since some wait for its end.
const (
	shareLease = 4 * time.Second
	// inForceMost bounds a change, in force everywhere but at ingresses without a lease: an election, a lease, and half
	// as much again for a machine that runs other tests.
	inForceMost = 4500 * time.Millisecond
	// furtherElection is what each further election may add: on a machine that is overloaded replicas stand still for
	// longer than a leader may be silent.
	furtherElection = 2 * time.Second
)

// inForceBound is the bound of a change that was begun at a time.
func (s *fleet) inForceBound(began time.Time) time.Duration {
	elections := 0
	for _, line := range strings.Split(s.group.Logs(), "\n") {
		at, err := time.Parse(time.RFC3339Nano, value(line, "time"))
		if err == nil && at.After(began) && strings.Contains(line, `msg="granting leases"`) {
			elections++
		}
	}
	return inForceMost + time.Duration(max(0, elections-1))*furtherElection
}

// controlled is a fleet of three ingresses that agree on version 1 by three replicas, with a little load on it.
func controlled(t *testing.T, change ...func(*fleet, *standin.Shape)) *fleet {
	t.Parallel()
	s := &fleet{Setup: setup(t), n: 3}
	t.Cleanup(func() {
		s.close()
		if t.Failed() {
			t.Log(s.group.Logs())
			if s.world == nil {
				return
			}
			for _, in := range s.world.Ingresses {
				raw, _ := os.ReadFile(in.Log)
				t.Logf("== %s\n%s", in.Name, raw)
			}
		}
	})
	dir := t.TempDir()
	var err error
	s.group, err = standin.NewControlGroup(dir, filepath.Join(bin, "ferrycontrol"), 3, "--share-lease", shareLease.String())
	require.NoError(t, err)
	s.relays, err = standin.NewRelays(s.n, s.group.Addrs())
	require.NoError(t, err)
	shape := standin.Shape{Version: 1, Replicas: s.relays.Addrs}
	for _, c := range change {
		c(s, &shape)
	}
	require.NoError(t, s.start(dir, shape))
	s.allSettled(t)
	end := s.load(60)
	t.Cleanup(end)
	return s
}

// control is what an ingress tells of the control group.
func (s *fleet) control(t *testing.T, member int) daemon.ControlGroupStatus {
	t.Helper()
	var status daemon.Status
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, daemon.SendCommand(ctx, s.world.Ingresses[member].Control, daemon.Command{Name: "status"},
		func(line []byte) error { return json.Unmarshal(line, &status) }))
	require.NotNil(t, status.ControlGroup)
	return *status.ControlGroup
}

// allSettled waits until each ingress holds both leases.
func (s *fleet) allSettled(t *testing.T) {
	t.Helper()
	for i := range s.n {
		require.NoError(t, until("both leases are held", func() bool {
			c := s.control(t, i)
			return c.SettingsLease == "held" && c.HoldsShareLease
		}), "%d: %+v", i, s.control(t, i))
	}
}

// rollout gives a member the next version and returns how long it took until some act on it alone.
func (s *fleet) rollout(t *testing.T, member int, version uint64, others ...int) time.Duration {
	t.Helper()
	began := time.Now()
	s.roll(member)
	return s.inForce(t, began, version, others...)
}

func (s *fleet) inForce(t *testing.T, began time.Time, version uint64, members ...int) time.Duration {
	t.Helper()
	s.act(t, []uint64{version}, members...)
	took := time.Since(began)
	t.Logf("version %d in force at %v in %v", version, members, took.Round(time.Millisecond))
	require.Less(t, took, s.inForceBound(began))
	return took
}

// kept tells that no rule was broken, that requests were answered throughout by ingresses that ran, and that no two
// ingresses with a lease ever acted on versions of which neither knew the other's.
func (s *fleet) kept(t *testing.T) {
	t.Helper()
	require.NoError(t, until("enough requests are answered", func() bool { return len(s.world.Record.Answers()) > 300 }))
	var r ChaosReport
	s.account(&r)
	require.Zero(t, r.Lost+r.Doubled+r.CeilingBreaks+r.OverrunHosts+r.LateSends, "%+v", r)
	require.Greater(t, r.ServedShare, 0.8, "of what is within its quota: all are answered, some refused on a busy machine")
	require.Zero(t, s.leasedContradiction(t))
}

// leasedContradiction is the longest time for which two ingresses that held a lease had no version in common.
func (s *fleet) leasedContradiction(t *testing.T) (longest time.Duration) {
	t.Helper()
	var all [][]acts
	for i := range s.n {
		all = append(all, s.leasedActs(t, i))
	}
	for i, a := range all {
		for _, b := range all[:i] {
			longest = max(longest, apart(a, b, time.Now()))
		}
	}
	return longest
}

// leasedActs reads from a log what an ingress acted on while it held its settings lease.
func (s *fleet) leasedActs(t *testing.T, member int) (list []acts) {
	t.Helper()
	var acting []string
	held := false
	note := func(at time.Time) {
		if held {
			list = append(list, acts{at, acting})
		} else {
			list = append(list, acts{at, nil})
		}
	}
	var last time.Time
	for _, line := range s.lines(t, member) {
		at, _ := time.Parse(time.RFC3339Nano, value(line, "time"))
		if s.fell(member, last, at) { // what a process before this one held
			held = false
		}
		last = at
		switch {
		case strings.Contains(line, `msg="settings version" `):
			acting = strings.Split(value(line, "acting"), ",")
			note(at)
		case strings.Contains(line, `msg="control lease"`):
			held = value(line, "state") == "held"
			note(at)
		case strings.Contains(line, "msg=serving "): // a process that begins anew
			held = false
			note(at)
		}
	}
	for _, p := range s.spells { // what was killed or stopped does not serve
		if p.member == member {
			list = append(list, acts{p.from, nil})
		}
	}
	slices.SortStableFunc(list, func(a, b acts) int { return a.at.Compare(b.at) })
	return list
}

// fell tells whether an ingress was killed or stopped between two times.
func (s *fleet) fell(member int, from, to time.Time) bool {
	return slices.ContainsFunc(s.spells, func(p spell) bool {
		return p.member == member && p.from.After(from) && !p.from.After(to)
	})
}

func (s *fleet) lines(t *testing.T, member int) (lines []string) {
	t.Helper()
	f, err := os.Open(s.world.Ingresses[member].Log)
	require.NoError(t, err)
	defer f.Close()
	for scan := bufio.NewScanner(f); scan.Scan(); {
		lines = append(lines, scan.Text())
	}
	return lines
}

// after are the lines of a log from a time on that have all of some parts, with their times.
func (s *fleet) after(t *testing.T, member int, from time.Time, parts ...string) (times []time.Time) {
	t.Helper()
next:
	for _, line := range s.lines(t, member) {
		at, _ := time.Parse(time.RFC3339Nano, value(line, "time"))
		for _, p := range parts {
			if !strings.Contains(line, p) {
				continue next
			}
		}
		if !at.Before(from.Truncate(time.Millisecond)) {
			times = append(times, at)
		}
	}
	return times
}

// logs waits for a line of a log from a time on, and returns its time.
func (s *fleet) logs(t *testing.T, member int, from time.Time, parts ...string) time.Time {
	t.Helper()
	require.NoError(t, until(fmt.Sprint(parts), func() bool { return len(s.after(t, member, from, parts...)) > 0 }))
	return s.after(t, member, from, parts...)[0]
}

// answers tells that an ingress serves.
func (s *fleet) answers(t *testing.T, member int, id string) {
	t.Helper()
	require.NoError(t, until("a request is served", func() bool {
		id += "x"
		return s.clients[member].Do(standin.Ask{ID: fmt.Sprint(id, member), Customer: standin.CustomerName(500 + member),
			Class: "stock", Plan: "boutique", Spread: s.n}).Status == 200
	}))
}

// kill ends an ingress at once.
func (s *fleet) kill(member int) {
	s.down(member)
	s.world.Ingresses[member].Kill()
	<-s.world.Ingresses[member].Ended()
}

// again starts it anew, and returns how long after it began to serve it had its share.
func (s *fleet) again(t *testing.T, member int) time.Duration {
	t.Helper()
	from := time.Now()
	require.NoError(t, s.world.Again(member))
	s.up(member)
	settled := s.logs(t, member, from, "share of joint budgets", "settled=true")
	return settled.Sub(s.logs(t, member, from, "msg=serving "))
}
