package controlgroup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ferryfront.example/ferryfront/internal/versions"
)

// simFault is a fault or a change in a run.
type simFault string

const (
	faultPropose       simFault = "propose"
	faultConflict      simFault = "propose other content"
	faultKill          simFault = "kill"
	faultLose          simFault = "lose machine"
	faultStart         simFault = "start"
	faultPause         simFault = "pause"
	faultGiveUp        simFault = "give up"
	faultReset         simFault = "reset"
	faultHoldUp        simFault = "hold up what a process sends"
	faultHoldDown      simFault = "hold up what a process is sent"
	faultReplace       simFault = "pause for about a share lease and start another process"
	faultRollout       simFault = "propose and start a process with an old file"
	faultPauseReplica  simFault = "pause replica"
	faultIsolate       simFault = "isolate replica"
	faultRestart       simFault = "restart replica"
	faultDepose        simFault = "depose"
	faultPauseAndElect simFault = "pause the leader, elect another and propose"
)

var allFaults = []simFault{faultPropose, faultPropose, faultPropose, faultConflict, faultKill, faultLose, faultStart, faultStart,
	faultPause, faultPause, faultReplace, faultRollout, faultRollout, faultGiveUp, faultReset, faultHoldUp, faultHoldDown, faultPauseReplica, faultIsolate, faultRestart, faultDepose,
	faultPauseAndElect}

// inject does a fault to something drawn.
func (s *simulation) inject(fault simFault, length time.Duration) {
	replica := s.replicas[s.rng.IntN(len(s.replicas))]
	switch fault {
	case faultPauseReplica:
		replica.pausedUntil = s.now + length
	case faultIsolate:
		replica.isolatedUntil = s.now + length
	case faultRestart:
		replica.restart(length)
	case faultDepose:
		s.elect(replica)
	case faultPauseAndElect:
		s.pauseAndElect(replica, length)
	case faultStart:
		s.startProcess(MemberID(s.rng.IntN(4)), testDoc(1+s.rng.Uint64N(s.number+1)))
	default:
		if p := s.live(); p != nil {
			s.injectProcess(p, fault, length)
		}
	}
}

// pauseAndElect has a leader stand still for a moment and then go on, cut off from the others, while another one that
// was elected meanwhile rolls a version out.
func (s *simulation) pauseAndElect(next *simReplica, length time.Duration) {
	s.leader.pausedUntil = s.now + length/8
	s.leader.isolatedUntil = s.now + length
	s.elect(next)
	if p := s.live(); p != nil {
		s.injectProcess(p, faultPropose, length)
	}
}

// replace has the holder of a place stand still until about the time at which another process may claim it.
func (s *simulation) replace(p *simProcess, length time.Duration) {
	if !p.holdsShare() || !p.isRunning(s.now) {
		return
	}
	p.pausedUntil = s.now + simTiming.Share + length/8 - 100*ms
	s.startProcess(p.id, testDoc(s.number))
	s.run(simTiming.Share + 500*ms)
}

func (s *simulation) injectProcess(p *simProcess, fault simFault, length time.Duration) {
	document := []string{"settings", "drained"}[s.rng.IntN(2)]
	switch fault {
	case faultPropose:
		s.number++
		p.propose(document, testDoc(s.number))
	case faultConflict:
		p.propose(document, versions.NewDoc(s.number, []byte("other rules 1")))
	case faultKill:
		p.kill(true)
	case faultLose:
		p.kill(false)
	case faultPause:
		p.pausedUntil = s.now + length
	case faultReplace:
		s.replace(p, length)
	case faultRollout:
		old := testDoc(s.number)
		s.number++
		p.propose("settings", testDoc(s.number))
		s.run(length / 8)
		s.startProcess(MemberID(s.rng.IntN(4)), old)
	case faultGiveUp:
		if c := p.connection; c != nil && p.isRunning(s.now) {
			c.up(p.member.GiveUp(p.now())...)
		}
	case faultReset:
		if p.connection != nil {
			p.connection.reset()
		}
	case faultHoldUp:
		if p.connection != nil {
			p.connection.lastUp = s.now + length
		}
	case faultHoldDown:
		if p.connection != nil {
			p.connection.lastDown = s.now + length
		}
	}
}

// heal ends all faults; one process of each member stays, that can hold its place. One that rejects versions is replaced
// too: as long as it renews its lease, changes wait for it.
func (s *simulation) heal() {
	s.delay, s.resets, s.learns, s.applies, s.lateEnd = simDelay, 0, 1, 1, 0
	rejected := s.rejecting
	s.rejecting = false
	for _, replica := range s.replicas {
		replica.pausedUntil, replica.downUntil, replica.isolatedUntil = 0, 0, 0
	}
	last := map[MemberID]*simProcess{}
	for _, p := range s.processes {
		p.pausedUntil = 0
		if before := last[p.id]; before != nil {
			before.kill(s.chance(0.5))
		}
		last[p.id] = p
	}
	for id := range MemberID(4) {
		p := last[id]
		if p == nil || p.gone || p.member.LeaseState(p.now()) == LeaseSuperseded || rejected && id == 0 {
			if p != nil {
				p.kill(s.chance(0.5))
			}
			s.startProcess(id, testDoc(1))
		}
	}
}

// drawn returns a simulation with members, and an empty group or one with versions.
func drawn(t *rapid.T) *simulation {
	var first []Command
	if rapid.Bool().Draw(t, "versions") {
		first = []Command{proposal("settings", testDoc(1)), proposal("drained", testDoc(1))}
	}
	s := newSimulation(t, 4, first...)
	s.rejecting = rapid.Bool().Draw(t, "rejecting")
	for _, replica := range s.replicas {
		if rapid.Bool().Draw(t, "shorter leases") {
			replica.timing.Settings, replica.timing.Share = simTiming.Settings*3/4, simTiming.Share/3
		}
	}
	return s
}

// Whatever fails: any two members with a lease act on a version in common, and on the oldest in force; no two processes
// hold the share of one place; what was accepted is not lost. When all is over, every member holds its share and acts
// on the newest version alone.
func TestNoFailureBreaksWhatTheGroupPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawn(t)
		s.run(time.Second)
		for range rapid.IntRange(1, 8).Draw(t, "phases") {
			s.delay = rapid.SampledFrom([]time.Duration{5 * ms, 50 * ms, 300 * ms}).Draw(t, "delay")
			s.learns = rapid.SampledFrom([]float64{0.5, 0.1, 0.02}).Draw(t, "learns")
			s.applies = rapid.SampledFrom([]float64{0.3, 0.3, 0.02}).Draw(t, "applies")
			s.lateEnd = 0.3
			s.resets = rapid.SampledFrom([]float64{0, 0, 0.02, 0.2}).Draw(t, "resets")
			for range rapid.IntRange(0, 5).Draw(t, "faults") {
				fault := rapid.SampledFrom(allFaults).Draw(t, "fault")
				s.inject(fault, time.Duration(rapid.IntRange(1, 4000).Draw(t, "length_ms"))*ms)
				s.run(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause_ms")) * ms)
			}
			s.run(500 * ms)
		}
		s.heal()
		s.run(8 * time.Second)
		s.requireSettled()
	})
}

// requireSettled proposes a last version of each document, and sees it in force alone, everywhere.
func (s *simulation) requireSettled() {
	s.number++
	last := testDoc(s.number)
	for _, document := range []string{"settings", "drained"} {
		s.live().propose(document, last)
	}
	s.run(3 * time.Second)
	for _, p := range s.processes {
		if p.gone {
			continue
		}
		require.True(s.t, p.holdsShare(), p.String())
		require.True(s.t, p.member.Agreed(p.now()), p.String())
		require.True(s.t, p.member.Ready(p.now()))
		for _, document := range []string{"settings", "drained"} {
			require.Equal(s.t, []versions.Doc{last}, p.member.Acting(document), p.String())
		}
	}
	for _, replica := range s.replicas {
		replica.apply()
	}
	s.checkReplicas()
}

// A version is in force alone soon, also when members are dead: one lease, its drift, and some messages after it was
// proposed; with another leader meanwhile that much after its election.
func TestADeadMemberDelaysAChangeByOneLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 6, proposal("settings", testDoc(1)))
		s.run(2 * time.Second)
		dead := rapid.IntRange(0, 5).Draw(t, "dead")
		for _, p := range s.processes[:dead] {
			p.kill(false)
		}
		s.run(time.Duration(rapid.IntRange(0, 300).Draw(t, "later_ms")) * ms)
		proposedAt := s.now
		s.processes[5].propose("settings", testDoc(2))
		s.run(300 * ms)
		bound := simTiming.Settings*105/100 + simTiming.Renewal + 8*simDelay
		if rapid.Bool().Draw(t, "leader") {
			s.elect(s.replicas[1])
			bound += 300 * ms
		}
		for len(s.truth.InForce("settings")) > 1 {
			s.run(simStep)
			require.Less(t, s.now-proposedAt, bound)
		}
		s.run(simSilence + 6*simDelay) // one may have to take another replica, which may lag
		for _, p := range s.processes[dead:] {
			require.Equal(t, []uint64{2}, numbersOf(p.member.Acting("settings")))
			require.True(t, p.member.Agreed(p.now()))
		}
	})
}

// A restarted member has its share after its claim: a few messages if the process before it ended orderly, one share
// lease if its machine was lost.
func TestARestartedMemberSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 4, proposal("settings", testDoc(1)))
		s.run(2 * time.Second)
		orderly := rapid.Bool().Draw(t, "orderly")
		s.processes[1].kill(orderly)
		s.run(time.Duration(rapid.IntRange(0, 300).Draw(t, "later_ms")) * ms)
		p := s.startProcess(1, testDoc(1))
		started, bound := s.now, 12*simDelay
		if !orderly {
			bound += simTiming.Share*112/100 + simTiming.Renewal
		}
		for !p.holdsShare() {
			s.run(simStep)
			require.Less(t, s.now-started, bound)
		}
		if !orderly {
			require.Greater(t, s.now-started, simTiming.Share/2)
		}
	})
}

// Without any replica the members go on with what they have: leases end, nothing is lost, and all is as before once the
// replicas are back.
func TestAllReplicasLostAndBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 4, proposal("settings", testDoc(1)), proposal("drained", testDoc(1)))
		s.run(2 * time.Second)
		for _, replica := range s.replicas {
			replica.restart(5 * time.Second)
		}
		s.run(4 * time.Second)
		for _, p := range s.processes {
			require.Equal(t, LeaseExpired, p.member.LeaseState(p.now()))
			require.False(t, p.holdsShare())
			require.Equal(t, []uint64{1}, numbersOf(p.member.Acting("settings")))
		}
		s.run(4 * time.Second)
		s.requireSettled()
	})
}
