package controlgroup

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"ferryfront.example/ferryfront/internal/versions"
	"ferryfront.example/ferryfront/internal/wire"
)

// Limits of a frame. A text of [TextMost] bytes fits one with everything beside it.
const (
	FrameMost  = 128 << 10 // bytes of a frame after its length
	TextMost   = 64 << 10  // bytes of the text of a version
	NameMost   = 64        // bytes of the name of a document or a replica
	reasonMost = 4 << 10   // bytes of the reason in a ProposeResult; what is beyond is cut off
	lengthMost = 24 * time.Hour
	frameSize  = 4 // bytes of the length before a frame
)

// ErrFrame is the cause of every error of [Next]: the peer does not speak this protocol, and its connection is of no
// further use.
var ErrFrame = errors.New("control group: malformed frame")

// kind is the first byte of a frame.
type kind byte

const (
	kindRenew kind = iota + 1
	kindGrant
	kindInForce
	kindContent
	kindPropose
	kindProposeResult
	kindClosed
	kindRelay
)

// Fields of the messages and commands in protobuf's wire format. Numbers are not used again for another meaning.
const (
	fieldMember protowire.Number = iota + 1
	fieldIncarnation
	fieldSequence
	fieldReport
	fieldSettings
	fieldShare
	fieldRenewal
	fieldSuperseded
	fieldTerm
	fieldDocument
	fieldVersion
	fieldText
	fieldRequest
	fieldReason
	fieldReplica
)

// Fields of a version.
const (
	fieldNumber protowire.Number = iota + 1
	fieldHash
)

// Append writes the frame of a message: four bytes of length, big endian, one byte of kind, then the fields.
func Append(b []byte, m Message) []byte {
	start := len(b)
	b = append(b, make([]byte, frameSize)...)
	switch m := m.(type) {
	case Renew:
		b = append(b, byte(kindRenew))
		b = appendProcess(b, m.Member, m.Incarnation)
		b = appendNumber(b, fieldSequence, m.Sequence)
		for _, report := range m.Reports {
			b = appendReport(b, report)
		}
	case Grant:
		b = append(b, byte(kindGrant))
		b = appendGrant(b, m)
	case InForce:
		b = append(b, byte(kindInForce))
		b = appendVersions(b, m.Document, m.Versions)
	case Content:
		b = append(b, byte(kindContent))
		b = appendContent(b, m.Document, m.Version, m.Text)
	case Propose:
		b = append(b, byte(kindPropose))
		b = appendNumber(b, fieldRequest, m.Request)
		b = appendContent(b, m.Document, m.Version, m.Text)
	case ProposeResult:
		b = append(b, byte(kindProposeResult))
		b = appendNumber(b, fieldRequest, m.Request)
		b = appendText(b, fieldReason, shortened(m.Error))
	case Closed:
		b = append(b, byte(kindClosed))
		b = appendProcess(b, m.Member, m.Incarnation)
	case Relay:
		b = append(b, byte(kindRelay))
		b = appendText(b, fieldReplica, m.Replica)
	}
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-frameSize))
	return b
}

// shortened cuts a reason that would not fit a frame, between two characters.
func shortened(reason string) string {
	if len(reason) <= reasonMost {
		return reason
	}
	return strings.ToValidUTF8(reason[:reasonMost], "")
}

func appendNumber(b []byte, field protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.VarintType)
	return protowire.AppendVarint(b, value)
}

func appendText(b []byte, field protowire.Number, text string) []byte {
	if text == "" {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.BytesType)
	return protowire.AppendString(b, text)
}

func appendProcess(b []byte, member MemberID, incarnation Incarnation) []byte {
	b = appendNumber(b, fieldMember, uint64(member))
	return appendNumber(b, fieldIncarnation, uint64(incarnation))
}

func appendLengths(b []byte, lengths LeaseLengths) []byte {
	b = appendNumber(b, fieldSettings, uint64(lengths.Settings))
	return appendNumber(b, fieldShare, uint64(lengths.Share))
}

func appendGrant(b []byte, m Grant) []byte {
	b = appendProcess(b, m.Member, m.Incarnation)
	b = appendNumber(b, fieldSequence, m.Sequence)
	b = appendNumber(b, fieldSettings, uint64(m.Settings))
	b = appendNumber(b, fieldShare, uint64(m.Share))
	b = appendNumber(b, fieldRenewal, uint64(m.Renewal))
	if m.Superseded {
		b = appendNumber(b, fieldSuperseded, 1)
	}
	return appendNumber(b, fieldTerm, m.Term)
}

func appendVersion(b []byte, version versions.Version) []byte {
	var inner []byte
	inner = appendNumber(inner, fieldNumber, version.Number)
	inner = protowire.AppendTag(inner, fieldHash, protowire.Fixed64Type)
	inner = protowire.AppendFixed64(inner, version.Hash)
	b = protowire.AppendTag(b, fieldVersion, protowire.BytesType)
	return protowire.AppendBytes(b, inner)
}

func appendVersions(b []byte, document string, list []versions.Version) []byte {
	b = appendText(b, fieldDocument, document)
	for _, version := range list {
		b = appendVersion(b, version)
	}
	return b
}

func appendReport(b []byte, report Report) []byte {
	b = protowire.AppendTag(b, fieldReport, protowire.BytesType)
	return protowire.AppendBytes(b, appendVersions(nil, report.Document, report.Acting))
}

func appendContent(b []byte, document string, version versions.Version, text []byte) []byte {
	b = appendText(b, fieldDocument, document)
	b = appendVersion(b, version)
	if len(text) == 0 {
		return b
	}
	b = protowire.AppendTag(b, fieldText, protowire.BytesType)
	return protowire.AppendBytes(b, text)
}

// Next reads the first frame of b and returns what follows it. A nil message without an error: the frame is not
// complete yet. Every error wraps [ErrFrame] and names the field that is wrong. The message shares no memory with b.
func Next(b []byte) (m Message, rest []byte, err error) {
	if len(b) < frameSize {
		return nil, b, nil
	}
	size := binary.BigEndian.Uint32(b)
	switch {
	case size == 0:
		return nil, b, fmt.Errorf("%w: empty", ErrFrame)
	case size > FrameMost:
		return nil, b, fmt.Errorf("%w: %d bytes, at most %d", ErrFrame, size, FrameMost)
	case uint64(len(b)-frameSize) < uint64(size):
		return nil, b, nil
	}
	frame, rest := b[frameSize:frameSize+size], b[frameSize+size:]
	m, err = parseMessage(kind(frame[0]), frame[1:])
	if err != nil {
		return nil, b, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	return m, rest, nil
}

func parseMessage(k kind, b []byte) (Message, error) {
	f, err := parseFields(b)
	if err != nil {
		return nil, err
	}
	switch k {
	case kindRenew:
		return Renew{f.member, f.incarnation, f.sequence, f.reports}, f.needProcess()
	case kindGrant:
		return Grant{f.member, f.incarnation, f.sequence, f.settings, f.share, f.renewal, f.superseded, f.term},
			f.needProcess()
	case kindInForce:
		return InForce{f.document, f.versions}, f.needDocument()
	case kindContent:
		return Content{f.document, f.version(), f.text}, f.needContent()
	case kindPropose:
		return Propose{f.request, f.document, f.version(), f.text}, f.needContent()
	case kindProposeResult:
		return ProposeResult{f.request, f.reason}, nil
	case kindClosed:
		return Closed{f.member, f.incarnation}, f.needProcess()
	case kindRelay:
		if f.replica == "" {
			return nil, errors.New("field replica: missing")
		}
		return Relay{f.replica}, nil
	}
	return nil, fmt.Errorf("kind %d is not known", k)
}

// fields holds what was read of a message or a command, whichever it is.
type fields struct {
	member                    MemberID
	incarnation               Incarnation
	sequence, term, request   uint64
	settings, share, renewal  time.Duration
	superseded                bool
	reports                   []Report
	document, reason, replica string
	versions                  []versions.Version
	text                      []byte
}

func (f *fields) needProcess() error {
	if f.incarnation == 0 {
		return errors.New("field incarnation: missing or 0")
	}
	return nil
}

func (f *fields) needDocument() error {
	if f.document == "" {
		return errors.New("field document: missing")
	}
	return nil
}

func (f *fields) needContent() error {
	if len(f.versions) != 1 {
		return fmt.Errorf("field version: %d, not one", len(f.versions))
	}
	return f.needDocument()
}

// version is the only one of a message that has one.
func (f *fields) version() versions.Version {
	if len(f.versions) == 0 {
		return versions.Version{}
	}
	return f.versions[0]
}

func (f *fields) lengths() LeaseLengths { return LeaseLengths{f.settings, f.share} }

func parseFields(b []byte) (fields, error) {
	var f fields
	err := wire.Walk(b, "", func(field protowire.Number, typ protowire.Type, b []byte) (int, error) {
		switch typ {
		case protowire.VarintType:
			value, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return n, nil
			}
			return n, f.takeNumber(field, value)
		case protowire.BytesType:
			value, n := protowire.ConsumeBytes(b)
			if n < 0 {
				return n, nil
			}
			return n, f.takeBytes(field, value)
		}
		return 0, nil
	})
	return f, err
}

func (f *fields) takeNumber(field protowire.Number, value uint64) error {
	var err error
	switch field {
	case fieldMember:
		f.member = MemberID(value)
		if uint64(f.member) != value {
			err = fmt.Errorf("field member: %d is too large", value)
		}
	case fieldIncarnation:
		f.incarnation = Incarnation(value)
	case fieldSequence:
		f.sequence = value
	case fieldSettings:
		f.settings, err = parseLength(field, value)
	case fieldShare:
		f.share, err = parseLength(field, value)
	case fieldRenewal:
		f.renewal, err = parseLength(field, value)
	case fieldSuperseded:
		f.superseded = value != 0
	case fieldTerm:
		f.term = value
	case fieldRequest:
		f.request = value
	}
	return err
}

func parseLength(field protowire.Number, value uint64) (time.Duration, error) {
	if value > uint64(lengthMost) {
		return 0, fmt.Errorf("field %d: length %d is over %v", field, value, lengthMost)
	}
	return time.Duration(value), nil
}

func (f *fields) takeBytes(field protowire.Number, value []byte) error {
	var err error
	switch field {
	case fieldDocument:
		f.document, err = parseName("document", value)
	case fieldReplica:
		f.replica, err = parseName("replica", value)
	case fieldReason:
		if len(value) > reasonMost {
			return fmt.Errorf("field reason: %d bytes, at most %d", len(value), reasonMost)
		}
		f.reason = string(value)
	case fieldText:
		if len(value) > TextMost {
			return fmt.Errorf("field text: %d bytes, at most %d", len(value), TextMost)
		}
		f.text = append([]byte(nil), value...)
	case fieldVersion:
		var version versions.Version
		version, err = parseVersion(value)
		f.versions = append(f.versions, version)
	case fieldReport:
		var report Report
		report, err = parseReport(value)
		f.reports = append(f.reports, report)
	}
	return err
}

func parseName(field string, value []byte) (string, error) {
	if len(value) > NameMost {
		return "", fmt.Errorf("field %s: %d bytes, at most %d", field, len(value), NameMost)
	}
	return string(value), nil
}

func parseReport(b []byte) (Report, error) {
	f, err := parseFields(b)
	if err == nil {
		err = f.needDocument()
	}
	if err != nil {
		return Report{}, fmt.Errorf("report: %w", err)
	}
	return Report{f.document, f.versions}, nil
}

func parseVersion(b []byte) (versions.Version, error) {
	var version versions.Version
	err := wire.Walk(b, "version: ", func(field protowire.Number, typ protowire.Type, b []byte) (int, error) {
		var n int
		switch {
		case field == fieldNumber && typ == protowire.VarintType:
			version.Number, n = protowire.ConsumeVarint(b)
		case field == fieldHash && typ == protowire.Fixed64Type:
			version.Hash, n = protowire.ConsumeFixed64(b)
		}
		return n, nil
	})
	if err == nil && version.Number == 0 {
		err = errors.New("version: field number: missing or 0")
	}
	return version, err
}
