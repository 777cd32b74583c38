package controlgroup

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testTerm = 7

var testTiming = Timing{Settings: 1000 * time.Millisecond, Share: 10 * time.Second, Renewal: 250 * time.Millisecond, Drift: 0.1}

// leaderHarness drives a leader whose commands are applied at once, unless they are held up.
type leaderHarness struct {
	t        *testing.T
	state    *State
	leader   *Leader
	now      time.Duration
	sequence uint64
	held     bool // commands stay on their way
	commands []Command
}

func newLeaderHarness(t *testing.T, commands ...Command) *leaderHarness {
	h := &leaderHarness{t: t, state: NewState(), now: time.Hour}
	require.NoError(t, h.state.Apply(BoundLeases{testTiming.GroupLengths()})) // of an earlier leader
	for _, command := range commands {
		require.NoError(t, h.state.Apply(command))
	}
	h.elect()
	return h
}

func (h *leaderHarness) elect() { h.electWith(testTiming) }

// electWith elects a replica of another timing.
func (h *leaderHarness) electWith(timing Timing) {
	h.leader = NewLeader(timing, h.state, testTerm, h.now)
}

func (h *leaderHarness) pass(d time.Duration) { h.now += d }

func (h *leaderHarness) tick() []Command {
	commands := h.leader.Tick(h.now)
	h.commands = append(h.commands, commands...)
	if !h.held {
		h.apply()
	}
	return commands
}

func (h *leaderHarness) apply() {
	for _, command := range h.commands {
		_ = h.state.Apply(command)
	}
	h.commands = nil
}

func settingsReport(numbers ...uint64) []Report {
	report := Report{Document: "settings"}
	for _, number := range numbers {
		report.Acting = append(report.Acting, testDoc(number).Version)
	}
	return []Report{report}
}

func (h *leaderHarness) ask(member MemberID, incarnation Incarnation, numbers ...uint64) {
	h.sequence++
	h.leader.Renew(Renew{member, incarnation, h.sequence, settingsReport(numbers...)}, h.now)
}

func (h *leaderHarness) answers() []Grant { return h.leader.Verified(h.leader.BeginVerify(), h.now) }

// renew asks and returns the answer.
func (h *leaderHarness) renew(member MemberID, incarnation Incarnation, numbers ...uint64) Grant {
	h.ask(member, incarnation, numbers...)
	answers := h.answers()
	at := slices.IndexFunc(answers, func(grant Grant) bool { return grant.Sequence == h.sequence })
	require.GreaterOrEqual(h.t, at, 0)
	return answers[at]
}

func (h *leaderHarness) inForce() []uint64 { return numbersOf(h.state.InForce("settings")) }

func TestOnlyWhoActsOnTheOldestGetsASettingsLease(t *testing.T) {
	h := newLeaderHarness(t, proposal("settings", testDoc(1)), proposal("settings", testDoc(2)))
	require.Zero(t, h.renew(1, 1).Settings)
	require.Zero(t, h.renew(1, 1, 2).Settings)
	grant := h.renew(1, 1, 1)
	require.Equal(t, 900*time.Millisecond, grant.Settings, "less the drift")
	require.Equal(t, testTiming.Renewal, grant.Renewal)
	require.EqualValues(t, testTerm, grant.Term)
	require.Equal(t, 1, h.leader.Status(h.now).Leases)
	require.NoError(t, h.state.Apply(proposal("drained", testDoc(9))))
	require.Zero(t, h.renew(1, 1, 1).Settings, "a further document")
}

func TestAVersionIsRetiredOnceAllLeaseholdersReportTheNext(t *testing.T) {
	h := newLeaderHarness(t, proposal("settings", testDoc(1)))
	h.pass(2 * time.Second)
	h.renew(1, 1, 1)
	h.renew(2, 1, 1)
	h.tick()
	require.NoError(t, h.state.Apply(proposal("settings", testDoc(2))))
	h.renew(1, 1, 1, 2)
	require.Empty(t, h.tick())
	require.Equal(t, []Waiting{{"settings", testDoc(2).Version, []MemberID{2}}}, h.leader.Status(h.now).Waiting)
	h.ask(2, 1, 1, 2)
	require.Equal(t, []Command{RetireVersion{"settings", testDoc(1).Version}}, h.tick(), "by the report, before the answer")
	require.Equal(t, []uint64{2}, h.inForce())
	require.Empty(t, h.leader.Status(h.now).Waiting)
}

func TestAnExpiredLeaseIsNotWaitedFor(t *testing.T) {
	h := newLeaderHarness(t, proposal("settings", testDoc(1)))
	h.pass(2 * time.Second)
	h.renew(2, 1, 1)
	h.tick()
	require.NoError(t, h.state.Apply(proposal("settings", testDoc(2))))
	h.pass(1100*time.Millisecond - 1)
	require.Empty(t, h.tick())
	h.pass(1)
	require.Len(t, h.tick(), 1, "a lease and the drift after it was granted")
}

func TestAClosedProcessIsNotWaitedFor(t *testing.T) {
	h := newLeaderHarness(t, proposal("settings", testDoc(1)))
	h.pass(2 * time.Second)
	h.renew(2, 1, 1)
	require.NoError(t, h.state.Apply(proposal("settings", testDoc(2))))
	h.leader.Closed(Closed{2, 1}, h.now)
	require.Contains(t, h.tick(), RetireVersion{"settings", testDoc(1).Version})
	h.ask(2, 1, 1, 2)
	require.Empty(t, h.answers(), "what comes after the end is no renewal")
}

func TestANewLeaderRetiresNothingDuringOneLease(t *testing.T) {
	h := newLeaderHarness(t, proposal("settings", testDoc(1)), proposal("settings", testDoc(2)))
	h.pass(1100*time.Millisecond - 1)
	h.renew(1, 1, 1, 2)
	require.NotContains(t, h.tick(), RetireVersion{"settings", testDoc(1).Version})
	require.Equal(t, h.now+1, h.leader.Status(h.now).BlindUntil)
	h.pass(1)
	require.Contains(t, h.tick(), RetireVersion{"settings", testDoc(1).Version})
}

// While a retirement is on its way through the log, nobody gets a lease who would lack the oldest version after it.
func TestGrantsReckonWithARetirementOnItsWay(t *testing.T) {
	h := newLeaderHarness(t, proposal("settings", testDoc(1)), proposal("settings", testDoc(2)))
	h.pass(2 * time.Second)
	h.held = true
	require.Len(t, h.tick(), 1)
	require.Zero(t, h.renew(1, 1, 1).Settings)
	require.Zero(t, h.renew(1, 1, 2).Settings, "it may not be applied either")
	require.NotZero(t, h.renew(1, 1, 1, 2).Settings)
	h.apply()
	require.NotZero(t, h.renew(1, 1, 2).Settings)
}

// A version that a member rejects holds nothing up once the member acts on a later one.
func TestARejectedVersionIsPassedOverInOneStep(t *testing.T) {
	h := newLeaderHarness(t, proposal("settings", testDoc(1)), proposal("settings", testDoc(2)))
	h.pass(2 * time.Second)
	h.renew(1, 1, 1)
	h.renew(2, 1, 1, 2)
	h.tick()
	require.Equal(t, []uint64{1, 2}, h.inForce())
	require.NoError(t, h.state.Apply(proposal("settings", testDoc(3))))
	h.renew(1, 1, 1, 3)
	h.renew(2, 1, 1, 2, 3)
	require.Contains(t, h.tick(), RetireVersion{"settings", testDoc(2).Version})
	require.Equal(t, []uint64{3}, h.inForce())
}

func TestACommandIsGivenAgainUntilItIsApplied(t *testing.T) {
	h := newLeaderHarness(t, proposal("settings", testDoc(1)), proposal("settings", testDoc(2)))
	h.pass(2 * time.Second)
	h.held = true
	h.ask(1, 1, 1)
	both := []Command{RetireVersion{"settings", testDoc(1).Version}, ClaimPlace{1, 1}}
	require.Equal(t, both, h.tick())
	require.Empty(t, h.tick())
	h.pass(testTiming.Renewal)
	require.Equal(t, both, h.tick())
	h.apply()
	h.pass(testTiming.Renewal)
	require.Empty(t, h.tick())
}

func TestAFreePlaceIsClaimedAtOnceAndThenGivesAShare(t *testing.T) {
	h := newLeaderHarness(t)
	h.ask(1, 5)
	first := h.answers()
	require.Len(t, first, 1)
	require.Zero(t, first[0].Share)
	require.Equal(t, []Command{ClaimPlace{1, 5}}, h.tick())
	second := h.answers()
	require.Len(t, second, 1, "the same renewal is answered again")
	require.Equal(t, first[0].Sequence, second[0].Sequence)
	require.Equal(t, 9*time.Second, second[0].Share, "less the drift")
	require.Equal(t, 1, h.leader.Status(h.now).Shares)
	require.True(t, h.leader.BeginVerify().Empty())
}

func TestALaterProcessClaimsThePlaceOfOneThatEnded(t *testing.T) {
	h := newLeaderHarness(t, ClaimPlace{1, 5})
	require.NotZero(t, h.renew(1, 5).Share)
	require.Zero(t, h.renew(1, 6).Share)
	require.Empty(t, h.tick())
	h.leader.Closed(Closed{1, 5}, h.now)
	h.held = true
	require.Equal(t, []Command{ReleasePlace{1, 5}, ClaimPlace{1, 6}}, h.tick())
	require.Empty(t, h.answers(), "not before the claim is applied")
	h.apply()
	require.NotZero(t, h.renew(1, 6).Share)
	require.True(t, h.renew(1, 5).Superseded)
	require.Zero(t, h.renew(1, 5).Settings)
}

func TestALaterProcessWaitsForAShareLease(t *testing.T) {
	h := newLeaderHarness(t, ClaimPlace{1, 5})
	h.pass(20 * time.Second)
	h.renew(1, 5)
	h.pass(11*time.Second - 1)
	h.renew(1, 6)
	require.Empty(t, h.tick())
	h.pass(1)
	h.held = true
	require.Equal(t, []Command{ClaimPlace{1, 6}}, h.tick())
	require.Zero(t, h.renew(1, 5).Share, "its place is given away")
	h.apply()
	require.True(t, h.renew(1, 5).Superseded)
}

func TestANewLeaderWaitsForAShareLeaseItMayNotKnow(t *testing.T) {
	h := newLeaderHarness(t, ClaimPlace{1, 5})
	h.pass(11*time.Second - 1)
	h.renew(1, 6)
	require.Empty(t, h.tick())
	h.renew(2, 6)
	require.Equal(t, []Command{ClaimPlace{2, 6}}, h.tick(), "a place that nobody ever held")
	h.pass(1)
	require.Equal(t, []Command{ClaimPlace{1, 6}}, h.tick())
}

// The replicas' timings need not be the same, as while they are changed one replica after the other.
func TestALeaderWithShorterLeasesReckonsWithLongerOnes(t *testing.T) {
	h := newLeaderHarness(t, proposal("settings", testDoc(1)), proposal("settings", testDoc(2)), ClaimPlace{1, 5})
	shorter := testTiming
	shorter.Settings, shorter.Share = testTiming.Settings/2, testTiming.Share/2
	h.electWith(shorter)
	require.Equal(t, 1100*time.Millisecond, h.leader.Status(h.now).BlindUntil-h.now)
	h.pass(1100*time.Millisecond - 1)
	require.Empty(t, h.tick(), "nothing is retired while an earlier settings lease may be held")
	h.pass(1)
	require.Equal(t, []Command{RetireVersion{"settings", testDoc(1).Version}}, h.tick())

	h.pass(11*time.Second - 1100*time.Millisecond - 1)
	h.renew(1, 6, 2)
	require.Empty(t, h.tick(), "nor is a place passed on while an earlier share lease may be")
	h.electWith(shorter)
	h.pass(11*time.Second - 1)
	require.Empty(t, h.tick(), "nor by a leader after this one, which does not know what that had waited for")
	h.pass(1)
	require.Equal(t, []Command{BoundLeases{shorter.GroupLengths()}}, h.tick(), "from now on only its own count")
	h.electWith(shorter)
	require.Equal(t, 550*time.Millisecond, h.leader.Status(h.now).BlindUntil-h.now)
}

func TestNoLeaseIsGrantedBeforeItsLengthIsReplicated(t *testing.T) {
	h := newLeaderHarness(t)
	longer := testTiming
	longer.Share = 2 * testTiming.Share
	h.held = true
	h.electWith(longer)
	h.ask(1, 1)
	require.Equal(t, []Command{BoundLeases{longer.GroupLengths()}, ClaimPlace{1, 1}}, h.tick())
	require.Empty(t, h.answers())
	h.apply()
	answers := h.answers()
	require.Len(t, answers, 1, "the renewal has waited")
	require.Equal(t, 18*time.Second, answers[0].Share)
}

func TestAReleasedProcessGetsNothingOfALaterLeader(t *testing.T) {
	h := newLeaderHarness(t, ClaimPlace{1, 5})
	h.leader.Closed(Closed{1, 5}, h.now)
	h.tick()
	h.elect()
	require.True(t, h.renew(1, 5).Superseded)
	h.renew(1, 6)
	require.Equal(t, []Command{ClaimPlace{1, 6}}, h.tick())
}

func TestARenewalAfterTheCheckBeganIsNotInItsBatch(t *testing.T) {
	h := newLeaderHarness(t)
	h.ask(1, 1)
	batch := h.leader.BeginVerify()
	h.ask(2, 1)
	h.ask(1, 1)
	grants := h.leader.Verified(batch, h.now)
	require.Len(t, grants, 1)
	require.EqualValues(t, 1, grants[0].Sequence)
	require.Len(t, h.answers(), 2)
}

func TestALateRenewalIsIgnored(t *testing.T) {
	h := newLeaderHarness(t, proposal("settings", testDoc(1)))
	h.leader.Renew(Renew{1, 1, 9, settingsReport(1)}, h.now)
	h.leader.Renew(Renew{1, 1, 8, nil}, h.now)
	grants := h.answers()
	require.Len(t, grants, 1)
	require.EqualValues(t, 9, grants[0].Sequence)
	require.NotZero(t, grants[0].Settings)
}

func TestALeaderForgetsProcesses(t *testing.T) {
	h := newLeaderHarness(t)
	for member := range MemberID(20) {
		h.ask(member, 1)
	}
	h.tick()
	h.answers()
	h.leader.Closed(Closed{3, 1}, h.now)
	h.pass(time.Minute)
	h.tick()
	h.tick()
	require.Empty(t, h.leader.leases.all())
	require.Empty(t, h.leader.leases.entries)
	require.Empty(t, h.leader.waiting)
	require.Empty(t, h.leader.pending.given)
	require.Equal(t, Status{Term: testTerm, BlindUntil: time.Hour + 1100*time.Millisecond}, h.leader.Status(h.now))
}
