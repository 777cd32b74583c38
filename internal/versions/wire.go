package versions

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"

	"ferryfront.example/ferryfront/internal/wire"
)

// Fields of a message in protobuf's wire format. The kind comes first, by a number that no other message between
// ingresses has; of a version: number 1, hash 2.
const (
	fKind, fFrom, fActing, fRefused, fWant, fAt, fTotal, fBytes, fDoc = 15, 1, 2, 3, 4, 5, 6, 7, 8
	vNumber, vHash                                                    = 1, 2
)

// MessagePrefix is the first byte of every message of this package.
const MessagePrefix = fKind<<3 | byte(protowire.VarintType)

// MaxChunkOverhead is the most bytes of a message with a piece, beside the piece, its sender's name and the document's.
const MaxChunkOverhead = 52

func appendVersion(b []byte, num protowire.Number, v Version) []byte {
	var u []byte
	u = protowire.AppendTag(u, vNumber, protowire.VarintType)
	u = protowire.AppendVarint(u, v.Number)
	u = protowire.AppendTag(u, vHash, protowire.Fixed64Type)
	u = protowire.AppendFixed64(u, v.Hash)
	b = protowire.AppendTag(b, num, protowire.BytesType)
	return protowire.AppendBytes(b, u)
}

// Append writes a message.
func Append(b []byte, m Message) []byte {
	number := func(num protowire.Number, v int) {
		if v != 0 || num == fKind {
			b = protowire.AppendTag(b, num, protowire.VarintType)
			b = protowire.AppendVarint(b, uint64(v))
		}
	}
	number(fKind, int(m.Kind))
	b = protowire.AppendTag(b, fFrom, protowire.BytesType)
	b = protowire.AppendString(b, m.From)
	if m.Document != "" {
		b = protowire.AppendTag(b, fDoc, protowire.BytesType)
		b = protowire.AppendString(b, m.Document)
	}
	for _, v := range m.Active {
		b = appendVersion(b, fActing, v)
	}
	for num, v := range map[protowire.Number]Version{fRefused: m.Rejected, fWant: m.Version} {
		if v != (Version{}) {
			b = appendVersion(b, num, v)
		}
	}
	number(fAt, m.ChunkIndex)
	number(fTotal, m.TotalBytes)
	if len(m.Chunk) > 0 {
		b = protowire.AppendTag(b, fBytes, protowire.BytesType)
		b = protowire.AppendBytes(b, m.Chunk)
	}
	return b
}

// Parse reads a message. Errors name the field that is wrong; unknown fields are skipped.
func Parse(b []byte) (Message, error) {
	var m Message
	err := wire.Walk(b, "versions: ", func(num protowire.Number, typ protowire.Type, b []byte) (int, error) {
		switch {
		case typ == protowire.VarintType && (num == fKind || num == fAt || num == fTotal):
			v, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return n, nil
			}
			switch {
			case num == fKind && v > uint64(KindReply):
				return 0, fmt.Errorf("versions: field kind: %d not known", v)
			case v > 1<<30:
				return 0, fmt.Errorf("versions: field %d: %d is too large", num, v)
			case num == fKind:
				m.Kind = Kind(v)
			case num == fAt:
				m.ChunkIndex = int(v)
			default:
				m.TotalBytes = int(v)
			}
			return n, nil
		case typ != protowire.BytesType:
			return 0, nil
		}
		v, n := protowire.ConsumeBytes(b)
		if n < 0 {
			return n, nil
		}
		var err error
		switch num {
		case fFrom:
			m.From = string(v)
		case fDoc:
			m.Document = string(v)
		case fActing:
			var ver Version
			ver, err = parseVersion(v)
			m.Active = append(m.Active, ver)
		case fRefused:
			m.Rejected, err = parseVersion(v)
		case fWant:
			m.Version, err = parseVersion(v)
		case fBytes:
			m.Chunk = append([]byte(nil), v...)
		}
		return n, err
	})
	if err == nil && m.From == "" {
		err = errors.New("versions: field from: missing")
	}
	return m, err
}

func parseVersion(b []byte) (Version, error) {
	var v Version
	err := wire.Walk(b, "versions: version.", func(num protowire.Number, typ protowire.Type, b []byte) (int, error) {
		var n int
		switch {
		case num == vNumber && typ == protowire.VarintType:
			v.Number, n = protowire.ConsumeVarint(b)
		case num == vHash && typ == protowire.Fixed64Type:
			v.Hash, n = protowire.ConsumeFixed64(b)
		}
		return n, nil
	})
	if err == nil && v.Number == 0 {
		err = errors.New("versions: field version.number: missing or 0")
	}
	return v, err
}
