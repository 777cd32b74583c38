package controlgroup

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ferryfront.example/ferryfront/internal/versions"
)

func testDoc(number uint64) versions.Doc {
	return versions.NewDoc(number, fmt.Appendf(nil, "rules %d", number))
}

func proposal(document string, doc versions.Doc) ProposeVersion {
	return ProposeVersion{document, doc.Version, doc.Text}
}

func numbersOf(docs []versions.Doc) []uint64 {
	var list []uint64
	for _, doc := range docs {
		list = append(list, doc.Number)
	}
	return list
}

func drawCommand(t *rapid.T) Command {
	document := rapid.SampledFrom([]string{"settings", "drained"}).Draw(t, "document")
	doc := testDoc(rapid.Uint64Range(1, 9).Draw(t, "version"))
	member := MemberID(rapid.Uint32Range(0, 3).Draw(t, "member"))
	incarnation := Incarnation(rapid.Uint64Range(1, 5).Draw(t, "incarnation"))
	switch rapid.IntRange(0, 4).Draw(t, "command") {
	case 0:
		return proposal(document, doc)
	case 1:
		return RetireVersion{document, doc.Version}
	case 2:
		return ClaimPlace{member, incarnation}
	case 3:
		return BoundLeases{LeaseLengths{time.Duration(incarnation) * time.Second, time.Duration(incarnation) * time.Minute}}
	}
	return ReleasePlace{member, incarnation}
}

// Replicas that apply the same commands have the same bytes, also one that was restored from a snapshot meanwhile;
// an error changes nothing; and no version goes without a newer one in force.
func TestReplicasHaveTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := NewState(), NewState()
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			command, err := ParseCommand(AppendCommand(nil, drawCommand(t)))
			require.NoError(t, err)
			before := first.Snapshot()
			checked := first.Check(command)
			require.Equal(t, before, first.Snapshot(), "a check changes nothing")
			applied := first.Apply(command)
			require.Equal(t, checked == nil, applied == nil)
			require.Equal(t, applied == nil, second.Apply(command) == nil)
			if applied != nil {
				require.Equal(t, before, first.Snapshot())
			}
			require.Equal(t, first.Snapshot(), second.Snapshot())
			if rapid.Bool().Draw(t, "restart") {
				second, err = Restore(second.Snapshot())
				require.NoError(t, err)
				require.Equal(t, first, second)
			}
			requireInOrder(t, first)
		}
	})
}

func requireInOrder(t *rapid.T, s *State) {
	for _, document := range s.Documents() {
		inForce := s.InForce(document)
		require.NotEmpty(t, inForce)
		require.LessOrEqual(t, len(inForce), InForceMost)
		for i, doc := range inForce[1:] {
			require.Greater(t, doc.Number, inForce[i].Number)
		}
	}
}

func TestVersionsComeIntoForceInOrder(t *testing.T) {
	s := NewState()
	require.Empty(t, s.Documents())
	require.Empty(t, s.InForce("settings"))
	require.NoError(t, s.Apply(proposal("settings", testDoc(3))))
	require.Equal(t, []versions.Doc{testDoc(3)}, s.InForce("settings"), "the first is in force alone")
	require.NoError(t, s.Apply(proposal("settings", testDoc(5))))
	require.NoError(t, s.Apply(proposal("settings", testDoc(3))), "in force already")
	earlier := s.InForce("settings")
	require.Equal(t, []uint64{3, 5}, numbersOf(earlier))

	wrongHash := proposal("settings", testDoc(6))
	wrongHash.Version.Hash++
	long := versions.NewDoc(6, make([]byte, TextMost+1))
	for name, test := range map[string]struct {
		command Command
		err     error
	}{
		"older":              {proposal("settings", testDoc(4)), ErrOlder},
		"other content":      {proposal("settings", versions.NewDoc(5, []byte("x"))), ErrOtherContent},
		"oldest, other":      {proposal("settings", versions.NewDoc(3, []byte("x"))), ErrOtherContent},
		"too long":           {proposal("settings", long), ErrTooLong},
		"wrong hash":         {wrongHash, ErrInvalid},
		"number 0":           {proposal("settings", versions.NewDoc(0, nil)), ErrInvalid},
		"number too large":   {proposal("settings", versions.NewDoc(versions.MaxNumber+1, nil)), ErrInvalid},
		"no name":            {proposal("", testDoc(1)), ErrInvalid},
		"nothing":            {nil, ErrInvalid},
		"retire unknown":     {RetireVersion{"settings", testDoc(4).Version}, ErrNotInForce},
		"retire the newest":  {RetireVersion{"settings", testDoc(5).Version}, ErrOnlyVersion},
		"retire no document": {RetireVersion{"drained", testDoc(5).Version}, ErrNotInForce},
		"claim by nobody":    {ClaimPlace{1, 0}, ErrInvalid},
		"release by nobody":  {ReleasePlace{1, 0}, ErrNotHolder},
		"no lease length":    {BoundLeases{LeaseLengths{Share: time.Second}}, ErrInvalid},
		"too long a lease":   {BoundLeases{LeaseLengths{time.Second, LeaseLengthMost + 1}}, ErrInvalid},
	} {
		before := s.Snapshot()
		require.ErrorIs(t, s.Apply(test.command), test.err, name)
		require.Equal(t, before, s.Snapshot(), name)
	}

	require.NoError(t, s.Apply(proposal("settings", testDoc(6))))
	require.NoError(t, s.Apply(proposal("settings", testDoc(7))))
	require.ErrorIs(t, s.Apply(proposal("settings", testDoc(8))), versions.ErrTooManyRollouts)
	require.NoError(t, s.Apply(RetireVersion{"settings", testDoc(5).Version}), "with what is older")
	require.Equal(t, []uint64{6, 7}, numbersOf(s.InForce("settings")))
	require.Equal(t, []uint64{3, 5}, numbersOf(earlier), "a slice that was returned stays")
	require.ErrorIs(t, s.Apply(proposal("settings", testDoc(3))), ErrOlder)
}

func TestDocumentsAreLimited(t *testing.T) {
	s := NewState()
	for i := range DocumentsMost {
		require.NoError(t, s.Apply(proposal(fmt.Sprint("document", i), testDoc(1))))
	}
	require.ErrorIs(t, s.Apply(proposal("further", testDoc(1))), ErrInvalid)
	require.Len(t, s.Documents(), DocumentsMost)
}

func TestAPlaceGoesToLaterProcessesOnly(t *testing.T) {
	s := NewState()
	holder := func(member MemberID) string {
		incarnation, held := s.Holder(member)
		return fmt.Sprint(incarnation, held)
	}
	require.Equal(t, "0 false", holder(1))
	require.NoError(t, s.Apply(ClaimPlace{1, 10}))
	require.NoError(t, s.Apply(ClaimPlace{1, 10}), "again")
	require.Equal(t, "10 true", holder(1))
	require.ErrorIs(t, s.Apply(ClaimPlace{1, 9}), ErrSuperseded)
	require.ErrorIs(t, s.Apply(ReleasePlace{1, 9}), ErrNotHolder)
	require.NoError(t, s.Apply(ReleasePlace{1, 10}))
	require.Equal(t, "10 false", holder(1))
	require.ErrorIs(t, s.Apply(ClaimPlace{1, 10}), ErrSuperseded, "one that has given up can't return")
	require.NoError(t, s.Apply(ClaimPlace{1, 11}))
	require.ErrorIs(t, s.Apply(ReleasePlace{1, 10}), ErrNotHolder)
	require.Equal(t, "11 true", holder(1))
	require.Equal(t, "0 false", holder(2))
}

func TestMalformedStateIsRefused(t *testing.T) {
	for _, b := range [][]byte{nil, {9}, {byte(commandPropose)}, {byte(commandClaim)}, {byte(commandClaim), 8}} {
		_, err := ParseCommand(b)
		require.ErrorIs(t, err, ErrCommand)
	}
	s := NewState()
	require.NoError(t, s.Apply(proposal("settings", testDoc(3))))
	require.NoError(t, s.Apply(ClaimPlace{1, 10}))
	whole := s.Snapshot()
	for name, b := range map[string][]byte{
		"nothing": nil,
		"format":  {snapshotFormat + 1},
		"twice":   append(whole[:len(whole):len(whole)], whole[1:]...),
		"torn":    whole[:len(whole)-1],
		"spoilt":  append([]byte{snapshotFormat, whole[1], whole[2] - 1}, whole[4:]...),
	} {
		_, err := Restore(b)
		require.ErrorIs(t, err, ErrSnapshot, name)
	}
}

func FuzzRestore(f *testing.F) {
	s := NewState()
	_ = s.Apply(proposal("settings", testDoc(3)))
	_ = s.Apply(proposal("settings", testDoc(4)))
	_ = s.Apply(ClaimPlace{1, 10})
	_ = s.Apply(ReleasePlace{1, 10})
	f.Add(s.Snapshot())
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Restore(b)
		if err != nil {
			return
		}
		again, err := Restore(s.Snapshot())
		require.NoError(t, err)
		require.Equal(t, s, again)
	})
}

func FuzzParseCommand(f *testing.F) {
	for _, command := range []Command{
		proposal("settings", testDoc(3)), RetireVersion{"settings", testDoc(3).Version}, ClaimPlace{1, 2}, ReleasePlace{1, 2},
		BoundLeases{testTiming.GroupLengths()},
	} {
		f.Add(AppendCommand(nil, command))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		command, err := ParseCommand(b)
		if err != nil {
			return
		}
		again, err := ParseCommand(AppendCommand(nil, command))
		require.NoError(t, err)
		require.Equal(t, command, again)
	})
}
