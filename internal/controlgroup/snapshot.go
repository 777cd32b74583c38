package controlgroup

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"ferryfront.example/ferryfront/internal/wire"
)

// snapshotFormat is the first byte of a snapshot.
const snapshotFormat = 1

// Fields of a snapshot. Those within them are fields of messages.
const (
	fieldDocumentInForce protowire.Number = iota + 1 // a document's name and one version with its text; oldest first
	fieldPlace
	fieldLeaseBound // none: no lease was granted yet
)

// fieldReleased of a place is beside the fields of messages.
const fieldReleased = fieldSuperseded

// ErrSnapshot is the cause of every error of [Restore].
var ErrSnapshot = errors.New("control group: malformed snapshot")

// Snapshot writes the state. Equal states give equal bytes.
func (s *State) Snapshot() []byte {
	b := []byte{snapshotFormat}
	for _, document := range s.Documents() {
		for _, doc := range s.documents[document] {
			b = protowire.AppendTag(b, fieldDocumentInForce, protowire.BytesType)
			b = protowire.AppendBytes(b, appendContent(nil, document, doc.Version, doc.Text))
		}
	}
	for _, member := range slices.Sorted(maps.Keys(s.places)) {
		last := s.places[member]
		inner := appendProcess(nil, member, last.incarnation)
		if last.released {
			inner = appendNumber(inner, fieldReleased, 1)
		}
		b = protowire.AppendTag(b, fieldPlace, protowire.BytesType)
		b = protowire.AppendBytes(b, inner)
	}
	if s.bound != (LeaseLengths{}) {
		b = protowire.AppendTag(b, fieldLeaseBound, protowire.BytesType)
		b = protowire.AppendBytes(b, appendLengths(nil, s.bound))
	}
	return b
}

// Restore reads a state that Snapshot wrote. Every error wraps [ErrSnapshot]. The state shares no memory with b.
func Restore(b []byte) (*State, error) {
	if len(b) == 0 || b[0] != snapshotFormat {
		return nil, fmt.Errorf("%w: not of format %d", ErrSnapshot, snapshotFormat)
	}
	s := NewState()
	err := wire.Walk(b[1:], "", func(field protowire.Number, typ protowire.Type, b []byte) (int, error) {
		if typ != protowire.BytesType {
			return 0, nil
		}
		value, n := protowire.ConsumeBytes(b)
		if n < 0 {
			return n, nil
		}
		return n, s.restore(field, value)
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	return s, nil
}

// restore takes one entry of a snapshot, through the checks that a command has.
func (s *State) restore(field protowire.Number, value []byte) error {
	f, err := parseFields(value)
	if err != nil {
		return err
	}
	switch field {
	case fieldDocumentInForce:
		if err := f.needContent(); err != nil {
			return err
		}
		return s.restoreVersion(ProposeVersion{f.document, f.version(), f.text})
	case fieldPlace:
		if err := f.needProcess(); err != nil {
			return err
		}
		if _, twice := s.places[f.member]; twice {
			return fmt.Errorf("member %d twice", f.member)
		}
		s.places[f.member] = place{f.incarnation, f.superseded}
	case fieldLeaseBound:
		return s.Apply(BoundLeases{f.lengths()})
	}
	return nil
}

func (s *State) restoreVersion(c ProposeVersion) error {
	if indexOf(s.documents[c.Document], c.Version) >= 0 {
		return fmt.Errorf("%s version %v twice", c.Document, c.Version)
	}
	return s.Apply(c)
}
