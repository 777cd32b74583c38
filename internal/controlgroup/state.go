package controlgroup

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"ferryfront.example/ferryfront/internal/versions"
)

// Limits of the state.
const (
	InForceMost   = 4  // versions of a document in force together; a further one waits until the oldest is retired
	DocumentsMost = 16 // documents
)

// Errors of [State.Check] and [State.Apply]: the command changes nothing. They come wrapped with the document and
// version, or the member and incarnation, that they are about.
var (
	ErrOlder        = errors.New("older than the newest version in force")
	ErrOtherContent = errors.New("the number is in force with another content")
	ErrTooMany      = versions.ErrTooManyRollouts
	ErrTooLong      = fmt.Errorf("text of over %d bytes", TextMost)
	ErrInvalid      = errors.New("invalid command")
	ErrNotInForce   = errors.New("version is not in force")
	ErrOnlyVersion  = errors.New("the newest version can't be retired")
	ErrSuperseded   = errors.New("this or a later process has held the place before")
	ErrNotHolder    = errors.New("does not hold the place")
)

// place is the last claim of a member's place.
type place struct {
	incarnation Incarnation
	released    bool
}

// State is what the group has replicated. Each replica applies the same commands in the same order and has the same
// state. It is not safe for use by several goroutines: the replica's host keeps Apply apart from the calls of others,
// also from those of a [Leader] that reads it. The slices that it returns are never written to again.
type State struct {
	documents map[string][]versions.Doc // in force, oldest first; never empty
	places    map[MemberID]place
	bound     LeaseLengths
}

// NewState returns the state before the first command.
func NewState() *State {
	return &State{documents: map[string][]versions.Doc{}, places: map[MemberID]place{}}
}

// Documents returns the names of the documents of which a version is in force, sorted.
func (s *State) Documents() []string { return slices.Sorted(maps.Keys(s.documents)) }

// InForce returns the versions of a document that are in force, oldest first; none if the document is not known.
func (s *State) InForce(document string) []versions.Doc { return s.documents[document] }

// Holder returns the last incarnation that has claimed a member's place, and whether it still holds it. Without any:
// 0, false.
func (s *State) Holder(member MemberID) (Incarnation, bool) {
	last, claimed := s.places[member]
	return last.incarnation, claimed && !last.released
}

// LeaseBound is the lengths of the longest leases that leaders so far may have granted.
func (s *State) LeaseBound() LeaseLengths { return s.bound }

// Check tells why a command would change nothing at present, without applying it.
func (s *State) Check(c Command) error {
	switch c := c.(type) {
	case ProposeVersion:
		return about(c.Document, c.Version, s.checkPropose(c))
	case RetireVersion:
		return about(c.Document, c.Version, s.checkRetire(c))
	case ClaimPlace:
		return s.checkClaim(c)
	case ReleasePlace:
		return s.checkRelease(c)
	case BoundLeases:
		return checkBound(c)
	}
	return fmt.Errorf("%w: %T", ErrInvalid, c)
}

func about(document string, version versions.Version, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s version %v: %w", document, version, err)
}

// Apply applies the next command of the log. With an error, nothing has changed.
func (s *State) Apply(c Command) error {
	if err := s.Check(c); err != nil {
		return err
	}
	switch c := c.(type) {
	case ProposeVersion:
		s.propose(c)
	case RetireVersion:
		inForce := s.documents[c.Document]
		s.documents[c.Document] = slices.Clone(inForce[indexOf(inForce, c.Version)+1:])
	case ClaimPlace:
		s.places[c.Member] = place{incarnation: c.Incarnation}
	case ReleasePlace:
		s.places[c.Member] = place{incarnation: c.Incarnation, released: true}
	case BoundLeases:
		s.bound = c.Lengths
	}
	return nil
}

// indexOf finds a version among some; -1: it's not there.
func indexOf(docs []versions.Doc, version versions.Version) int {
	return slices.IndexFunc(docs, func(doc versions.Doc) bool { return doc.Version == version })
}

func (s *State) checkPropose(c ProposeVersion) error {
	if err := checkContent(c); err != nil {
		return err
	}
	inForce := s.documents[c.Document]
	if indexOf(inForce, c.Version) >= 0 {
		return nil
	}
	if len(inForce) == 0 {
		if len(s.documents) >= DocumentsMost {
			return fmt.Errorf("%w: there are %d documents already", ErrInvalid, DocumentsMost)
		}
		return nil
	}
	newest := inForce[len(inForce)-1].Version
	switch {
	case slices.ContainsFunc(inForce, func(doc versions.Doc) bool { return doc.Number == c.Version.Number }):
		return ErrOtherContent
	case c.Version.Number < newest.Number:
		return fmt.Errorf("%w, %v", ErrOlder, newest)
	case len(inForce) >= InForceMost:
		return ErrTooMany
	}
	return nil
}

// checkContent tells what is wrong with a proposal, whatever is in force.
func checkContent(c ProposeVersion) error {
	switch {
	case c.Document == "" || len(c.Document) > NameMost:
		return fmt.Errorf("%w: a document's name has 1 to %d bytes", ErrInvalid, NameMost)
	case c.Version.Number == 0 || c.Version.Number > versions.MaxNumber:
		return fmt.Errorf("%w: a version's number is from 1 to %d", ErrInvalid, uint64(versions.MaxNumber))
	case len(c.Text) > TextMost:
		return ErrTooLong
	case versions.NewDoc(c.Version.Number, c.Text).Version != c.Version:
		return fmt.Errorf("%w: the hash is not that of the text", ErrInvalid)
	}
	return nil
}

func (s *State) propose(c ProposeVersion) {
	inForce := s.documents[c.Document]
	if indexOf(inForce, c.Version) < 0 {
		doc := versions.Doc{Version: c.Version, Text: c.Text}
		s.documents[c.Document] = append(slices.Clone(inForce), doc)
	}
}

func (s *State) checkRetire(c RetireVersion) error {
	inForce := s.documents[c.Document]
	switch i := indexOf(inForce, c.Version); i {
	case -1:
		return ErrNotInForce
	case len(inForce) - 1:
		return ErrOnlyVersion
	}
	return nil
}

func (s *State) checkClaim(c ClaimPlace) error {
	last := s.places[c.Member]
	again := c.Incarnation == last.incarnation && !last.released
	switch {
	case c.Incarnation == 0:
		return fmt.Errorf("%w: member %d without an incarnation", ErrInvalid, c.Member)
	case c.Incarnation <= last.incarnation && !again:
		return fmt.Errorf("member %d, incarnation %d: %w", c.Member, c.Incarnation, ErrSuperseded)
	}
	return nil
}

func (s *State) checkRelease(c ReleasePlace) error {
	if c.Incarnation == 0 || s.places[c.Member].incarnation != c.Incarnation {
		return fmt.Errorf("member %d, incarnation %d: %w", c.Member, c.Incarnation, ErrNotHolder)
	}
	return nil
}

func checkBound(c BoundLeases) error {
	for _, length := range []time.Duration{c.Lengths.Settings, c.Lengths.Share} {
		if length <= 0 || length > LeaseLengthMost {
			return fmt.Errorf("%w: a lease of %v, need one above 0 and at most %v", ErrInvalid, length, LeaseLengthMost)
		}
	}
	return nil
}
