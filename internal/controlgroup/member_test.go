package controlgroup

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/versions"
)

func checkText(_ string, text []byte) error {
	if strings.Contains(string(text), "bad") {
		return errors.New("field classes: missing")
	}
	return nil
}

func newTestMember(first versions.Doc) *Member {
	return NewMember(MemberConfig{ID: 4, Incarnation: 9, First: []Document{{"settings", first}}, Check: checkText}, time.Hour)
}

func received(t *testing.T, m *Member, message Message, now time.Duration) []Message {
	out, err := m.Received(message, now)
	require.NoError(t, err)
	return out
}

func content(doc versions.Doc) Content { return Content{"settings", doc.Version, doc.Text} }

func listOf(docs ...versions.Doc) InForce { return InForce{"settings", versionsOf(docs)} }

func grantOf(sequence uint64, settings, share time.Duration) Grant {
	return Grant{Member: 4, Incarnation: 9, Sequence: sequence, Settings: settings, Share: share, Term: 3}
}

func TestALeaseCountsFromWhenItWasAskedFor(t *testing.T) {
	now := time.Hour
	m := newTestMember(testDoc(1))
	require.Equal(t, LeaseNever, m.LeaseState(now))
	require.False(t, m.Ready(now))
	require.Equal(t, []Message{Renew{4, 9, 1, settingsReport(1)}}, m.Connected(now))
	received(t, m, grantOf(1, time.Second, 2*time.Second), now+900*time.Millisecond)
	require.True(t, m.Ready(now))
	require.Equal(t, LeaseHeld, m.LeaseState(now+time.Second-1))
	require.True(t, m.Agreed(now+time.Second-1))
	require.Equal(t, LeaseExpired, m.LeaseState(now+time.Second))
	require.False(t, m.Agreed(now+time.Second))
	require.True(t, m.HoldsShare(now+2*time.Second-1))
	require.False(t, m.HoldsShare(now+2*time.Second))
	require.EqualValues(t, 3, m.Term())
	require.Equal(t, []uint64{1}, numbersOf(m.Acting("settings")), "it goes on with what it has")
}

func TestAGrantThatIsTooLateIsNoLease(t *testing.T) {
	m := newTestMember(testDoc(1))
	m.Connected(time.Hour)
	received(t, m, grantOf(1, time.Second, 0), time.Hour+time.Second)
	require.Equal(t, LeaseNever, m.LeaseState(time.Hour+time.Second))
	received(t, m, grantOf(77, time.Hour, 0), time.Hour+time.Second)
	require.Equal(t, LeaseNever, m.LeaseState(time.Hour+time.Second), "nor one that was not asked for")
	_, err := m.Received(Grant{Member: 5, Incarnation: 9, Sequence: 1}, time.Hour)
	require.ErrorIs(t, err, ErrUnexpected)
}

func TestASecondGrantAddsTheShare(t *testing.T) {
	m := newTestMember(testDoc(1))
	m.Connected(time.Hour)
	received(t, m, grantOf(1, time.Second, 0), time.Hour)
	require.False(t, m.HoldsShare(time.Hour))
	received(t, m, grantOf(1, 0, time.Minute), time.Hour)
	require.True(t, m.HoldsShare(time.Hour))
	require.Equal(t, LeaseHeld, m.LeaseState(time.Hour), "no grant shortens a lease")
}

func TestASupersededMemberHasNoLease(t *testing.T) {
	m := newTestMember(testDoc(1))
	m.Connected(time.Hour)
	received(t, m, grantOf(1, time.Second, time.Minute), time.Hour)
	m.Tick(time.Hour + time.Second/2)
	received(t, m, Grant{Member: 4, Incarnation: 9, Sequence: 2, Superseded: true}, time.Hour)
	require.Equal(t, LeaseSuperseded, m.LeaseState(time.Hour))
	require.False(t, m.HoldsShare(time.Hour))
	require.Equal(t, []Message{Renew{4, 9, 3, settingsReport(1, 2)}},
		append(received(t, m, content(testDoc(2)), time.Hour), received(t, m, listOf(testDoc(1), testDoc(2)), time.Hour)...),
		"it goes on with what is in force")
}

func TestARenewalGoesOutEachPeriod(t *testing.T) {
	m := newTestMember(testDoc(1))
	now := time.Hour
	require.Equal(t, now+DefaultReadyWait, m.Due())
	require.Empty(t, m.Tick(now))
	m.Connected(now)
	require.Equal(t, now+DefaultTiming.Renewal, m.Due())
	grant := grantOf(1, 100*time.Millisecond, 0)
	grant.Renewal = time.Second
	received(t, m, grant, now)
	require.Equal(t, now+100*time.Millisecond, m.Due(), "the lease runs out")
	now = m.Due()
	require.Empty(t, m.Tick(now))
	now += 250 * time.Millisecond
	require.Equal(t, now, m.Due())
	require.Len(t, m.Tick(now), 1)
	require.Equal(t, now+time.Second, m.Due())
	m.Disconnected(now)
	require.Empty(t, m.Tick(now+time.Second))
	now = time.Hour + DefaultReadyWait
	m.Tick(now)
	require.EqualValues(t, math.MaxInt64, m.Due())
	require.True(t, m.Ready(now))
}

func TestAVersionIsAdoptedWithItsListAndReported(t *testing.T) {
	now := time.Hour
	m := newTestMember(testDoc(1))
	require.True(t, m.Changed("settings"))
	require.False(t, m.Changed("settings"))
	m.Connected(now)
	require.Empty(t, received(t, m, listOf(testDoc(1)), now))
	require.Empty(t, received(t, m, content(testDoc(2)), now))
	require.False(t, m.Changed("settings"), "not before the list")
	require.Equal(t, []Message{Renew{4, 9, 2, settingsReport(1, 2)}}, received(t, m, listOf(testDoc(1), testDoc(2)), now))
	require.True(t, m.Changed("settings"))
	require.Empty(t, received(t, m, listOf(testDoc(1), testDoc(2)), now))
	require.Equal(t, []Message{Renew{4, 9, 3, settingsReport(2)}}, received(t, m, listOf(testDoc(2)), now))
	require.Empty(t, received(t, m, listOf(testDoc(1), testDoc(2)), now), "an older list")
	require.Empty(t, received(t, m, listOf(testDoc(1)), now), "one still older")
	require.Empty(t, received(t, m, content(testDoc(1)), now))
	require.Equal(t, []uint64{2}, numbersOf(m.Acting("settings")))
}

func TestTheLastVersionIsKeptUntilAnotherIsThere(t *testing.T) {
	now := time.Hour
	m := newTestMember(testDoc(1))
	m.Connected(now)
	received(t, m, grantOf(1, time.Minute, 0), now)
	require.Empty(t, received(t, m, listOf(testDoc(3)), now), "its text is not there")
	require.Equal(t, []uint64{1}, numbersOf(m.Acting("settings")))
	require.False(t, m.Agreed(now))
	require.Len(t, received(t, m, content(testDoc(3)), now), 1)
	require.Equal(t, []uint64{3}, numbersOf(m.Acting("settings")))
	require.True(t, m.Agreed(now))
}

func TestARejectedVersionLeavesTheOthers(t *testing.T) {
	now := time.Hour
	m := newTestMember(testDoc(1))
	m.Connected(now)
	bad := versions.NewDoc(2, []byte("bad"))
	received(t, m, content(bad), now)
	require.Empty(t, received(t, m, listOf(testDoc(1), bad), now))
	require.Equal(t, []Rejection{{"settings", bad.Version, "field classes: missing"}}, m.Rejected())
	require.Equal(t, []uint64{1}, numbersOf(m.Acting("settings")))
	received(t, m, content(testDoc(3)), now)
	require.Equal(t, []Message{Renew{4, 9, 2, settingsReport(1, 3)}}, received(t, m, listOf(testDoc(1), bad, testDoc(3)), now))
	received(t, m, listOf(testDoc(3)), now)
	require.Empty(t, m.Rejected())
}

func TestAnUnknownVersionOfTheFileIsKeptBesideThoseInForce(t *testing.T) {
	now := time.Hour
	m := newTestMember(testDoc(5))
	m.Connected(now)
	received(t, m, content(testDoc(3)), now)
	require.Equal(t, []Message{Renew{4, 9, 2, settingsReport(3, 5)}}, received(t, m, listOf(testDoc(3)), now))
	other := versions.NewDoc(5, []byte("other"))
	received(t, m, content(other), now)
	received(t, m, listOf(testDoc(3), other), now)
	require.Equal(t, []versions.Doc{testDoc(3), other}, m.Acting("settings"), "it can't come into force any more")
}

func TestADocumentWithoutAFileIsAdopted(t *testing.T) {
	now := time.Hour
	m := newTestMember(versions.Doc{})
	require.Equal(t, []Message{Renew{4, 9, 1, nil}}, m.Connected(now))
	received(t, m, content(testDoc(3)), now)
	require.Len(t, received(t, m, listOf(testDoc(3)), now), 1)
	require.Equal(t, []versions.Doc{testDoc(3)}, m.Acting("settings"))
}

func TestWhatBreaksTheProtocolIsRefused(t *testing.T) {
	m := newTestMember(testDoc(1))
	m.Connected(time.Hour)
	spoilt := content(testDoc(2))
	spoilt.Version.Hash++
	for _, message := range []Message{
		spoilt, listOf(testDoc(2), testDoc(1)), listOf(make([]versions.Doc, listMost+1)...), Relay{"a"}, nil,
	} {
		_, err := m.Received(message, time.Hour)
		require.ErrorIs(t, err, ErrUnexpected)
	}
	for number := range uint64(listMost) {
		received(t, m, content(testDoc(number+2)), time.Hour)
	}
	_, err := m.Received(content(testDoc(99)), time.Hour)
	require.ErrorIs(t, err, ErrUnexpected)
	m.Disconnected(time.Hour)
	m.Connected(time.Hour)
	received(t, m, content(testDoc(99)), time.Hour)
}

func TestAProposalIsRepeatedUntilItIsAnswered(t *testing.T) {
	now := time.Hour
	m := newTestMember(testDoc(1))
	_, err := m.Propose("settings", versions.NewDoc(2, []byte("bad")), now)
	require.ErrorContains(t, err, "settings version 2 (")
	require.ErrorContains(t, err, "field classes: missing")
	_, err = m.Propose("settings", versions.NewDoc(2, make([]byte, TextMost+1)), now)
	require.ErrorIs(t, err, ErrTooLong)
	out, err := m.Propose("settings", testDoc(2), now)
	require.NoError(t, err)
	require.Empty(t, out, "not connected")
	propose := Propose{1, "settings", testDoc(2).Version, testDoc(2).Text}
	require.Equal(t, propose, m.Connected(now)[1])
	out, err = m.Propose("settings", testDoc(2), now)
	require.NoError(t, err)
	require.Empty(t, out, "it's on its way")
	require.Contains(t, m.Tick(now+proposalRetry), propose)
	received(t, m, ProposeResult{Request: 1, Error: "older"}, now)
	received(t, m, ProposeResult{Request: 1}, now)
	require.Equal(t, []ProposeOutcome{{"settings", testDoc(2).Version, "older"}}, m.Outcomes())
	require.Empty(t, m.Outcomes())
	require.NotContains(t, m.Tick(now+2*proposalRetry), propose)
}

func TestAMemberThatGivesUpHasNoLease(t *testing.T) {
	now := time.Hour
	m := newTestMember(testDoc(1))
	m.Connected(now)
	received(t, m, grantOf(1, time.Minute, time.Minute), now)
	require.Equal(t, []Message{Closed{4, 9}}, m.GiveUp(now))
	require.Empty(t, m.GiveUp(now))
	require.Equal(t, LeaseSuperseded, m.LeaseState(now))
	require.False(t, m.HoldsShare(now))
	received(t, m, grantOf(1, time.Minute, time.Minute), now)
	require.False(t, m.HoldsShare(now), "a late grant")
	require.Empty(t, m.Tick(now+time.Second))
	received(t, m, content(testDoc(2)), now)
	require.Empty(t, received(t, m, listOf(testDoc(2)), now))
	require.Equal(t, []uint64{2}, numbersOf(m.Acting("settings")))
	require.Equal(t, []Message{Closed{4, 9}}, m.Connected(now))
	for state, name := range map[LeaseState]string{LeaseNever: "never", LeaseHeld: "held", LeaseExpired: "expired",
		LeaseSuperseded: "superseded", 9: "unknown"} {
		require.Equal(t, name, state.String())
	}
}
