package versions

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"

	"ferryfront.example/ferryfront/internal/wire"
)

// Field numbers of a message in protobuf's wire format. The kind is written first, and no other message between
// ingresses has a field of its number, so the first byte tells the messages of this package from others.
const (
	fieldKind, fieldFrom, fieldActive, fieldRejected, fieldVersion,
	fieldChunkIndex, fieldTotalBytes, fieldChunk, fieldDocument = 15, 1, 2, 3, 4, 5, 6, 7, 8

	versionFieldNumber, versionFieldHash = 1, 2 // of the version within a message
)

// MessagePrefix is the first byte of every message of this package.
const MessagePrefix = fieldKind<<3 | byte(protowire.VarintType)

// MaxChunkOverhead is the maximum size of a chunk's message in bytes, without the chunk itself and the names of the
// sender and the document.
const MaxChunkOverhead = 52

// appendVersion appends a field that holds a version.
func appendVersion(b []byte, num protowire.Number, v Version) []byte {
	var encoded []byte
	encoded = protowire.AppendTag(encoded, versionFieldNumber, protowire.VarintType)
	encoded = protowire.AppendVarint(encoded, v.Number)
	encoded = protowire.AppendTag(encoded, versionFieldHash, protowire.Fixed64Type)
	encoded = protowire.AppendFixed64(encoded, v.Hash)
	b = protowire.AppendTag(b, num, protowire.BytesType)
	return protowire.AppendBytes(b, encoded)
}

// Append appends the encoded message to b and returns the extended slice.
func Append(b []byte, m Message) []byte {
	appendInt := func(num protowire.Number, v int) {
		if v != 0 || num == fieldKind {
			b = protowire.AppendTag(b, num, protowire.VarintType)
			b = protowire.AppendVarint(b, uint64(v))
		}
	}
	appendInt(fieldKind, int(m.Kind))
	b = protowire.AppendTag(b, fieldFrom, protowire.BytesType)
	b = protowire.AppendString(b, m.From)
	if m.Document != "" {
		b = protowire.AppendTag(b, fieldDocument, protowire.BytesType)
		b = protowire.AppendString(b, m.Document)
	}
	for _, v := range m.Active {
		b = appendVersion(b, fieldActive, v)
	}
	for num, v := range map[protowire.Number]Version{fieldRejected: m.Rejected, fieldVersion: m.Version} {
		if v != (Version{}) {
			b = appendVersion(b, num, v)
		}
	}
	appendInt(fieldChunkIndex, m.ChunkIndex)
	appendInt(fieldTotalBytes, m.TotalBytes)
	if len(m.Chunk) > 0 {
		b = protowire.AppendTag(b, fieldChunk, protowire.BytesType)
		b = protowire.AppendBytes(b, m.Chunk)
	}
	return b
}

// Parse decodes a message. It skips unknown fields. Errors name the field that is missing or invalid.
func Parse(b []byte) (Message, error) {
	var m Message
	err := wire.Walk(b, "versions: ", func(num protowire.Number, typ protowire.Type, b []byte) (int, error) {
		switch {
		case typ == protowire.VarintType && (num == fieldKind || num == fieldChunkIndex || num == fieldTotalBytes):
			v, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return n, nil
			}
			switch {
			case num == fieldKind && v > uint64(KindReply):
				return 0, fmt.Errorf("versions: field kind: %d not known", v)
			case v > 1<<30:
				return 0, fmt.Errorf("versions: field %d: %d is too large", num, v)
			case num == fieldKind:
				m.Kind = Kind(v)
			case num == fieldChunkIndex:
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
		case fieldFrom:
			m.From = string(v)
		case fieldDocument:
			m.Document = string(v)
		case fieldActive:
			var version Version
			version, err = parseVersion(v)
			m.Active = append(m.Active, version)
		case fieldRejected:
			m.Rejected, err = parseVersion(v)
		case fieldVersion:
			m.Version, err = parseVersion(v)
		case fieldChunk:
			m.Chunk = append([]byte(nil), v...)
		}
		return n, err
	})
	if err == nil && m.From == "" {
		err = errors.New("versions: field from: missing")
	}
	return m, err
}

// parseVersion decodes a version. It returns an error if the number is missing or 0.
func parseVersion(b []byte) (Version, error) {
	var v Version
	err := wire.Walk(b, "versions: version.", func(num protowire.Number, typ protowire.Type, b []byte) (int, error) {
		var n int
		switch {
		case num == versionFieldNumber && typ == protowire.VarintType:
			v.Number, n = protowire.ConsumeVarint(b)
		case num == versionFieldHash && typ == protowire.Fixed64Type:
			v.Hash, n = protowire.ConsumeFixed64(b)
		}
		return n, nil
	})
	if err == nil && v.Number == 0 {
		err = errors.New("versions: field version.number: missing or 0")
	}
	return v, err
}
