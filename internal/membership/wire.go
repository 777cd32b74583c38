package membership

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"

	"ferryfront.example/ferryfront/internal/wire"
)

// MaxDatagramBytes is the size of the largest message that the platform carries between ingresses.
const MaxDatagramBytes = 256

// Field numbers of a message and of an update, in protobuf's wire format.
const (
	fieldKind, fieldSeq, fieldTarget, fieldUpdate, fieldFrom, fieldLeftDigest = 1, 2, 3, 4, 5, 6
	updateFieldName, updateFieldIncarnation, updateFieldState                 = 1, 2, 3
)

// Append appends msg to b in at most MaxDatagramBytes bytes. Updates from the first one that does not fit are left out. The
// other fields always fit, since the settings bound names to far less.
func Append(b []byte, msg Message) []byte {
	start := len(b)
	b = protowire.AppendTag(b, fieldKind, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(msg.Kind))
	b = protowire.AppendTag(b, fieldSeq, protowire.VarintType)
	b = protowire.AppendVarint(b, msg.Seq)
	if msg.LeftDigest != 0 {
		b = protowire.AppendTag(b, fieldLeftDigest, protowire.Fixed64Type)
		b = protowire.AppendFixed64(b, msg.LeftDigest)
	}
	for _, f := range []struct {
		num  protowire.Number
		name string
	}{{fieldFrom, msg.From}, {fieldTarget, msg.Target}} {
		if f.name != "" {
			b = protowire.AppendTag(b, f.num, protowire.BytesType)
			b = protowire.AppendString(b, f.name)
		}
	}
	var encoded []byte
	for _, u := range msg.Updates {
		encoded = protowire.AppendTag(encoded[:0], updateFieldName, protowire.BytesType)
		encoded = protowire.AppendString(encoded, u.Name)
		encoded = protowire.AppendTag(encoded, updateFieldIncarnation, protowire.VarintType)
		encoded = protowire.AppendVarint(encoded, u.Incarnation)
		encoded = protowire.AppendTag(encoded, updateFieldState, protowire.VarintType)
		encoded = protowire.AppendVarint(encoded, uint64(u.State))
		size := protowire.SizeTag(fieldUpdate) + protowire.SizeBytes(len(encoded))
		if len(b)-start+size > MaxDatagramBytes {
			break
		}
		b = protowire.AppendTag(b, fieldUpdate, protowire.BytesType)
		b = protowire.AppendBytes(b, encoded)
	}
	return b
}

// ErrTooLong is returned by Parse for a datagram longer than MaxDatagramBytes.
var ErrTooLong = errors.New("membership: datagram longer than 256 bytes")

// Parse reads a message. It returns ErrTooLong, or an error that names the field that is invalid or missing; unknown fields
// are skipped.
func Parse(b []byte) (Message, error) {
	var msg Message
	if len(b) > MaxDatagramBytes {
		return msg, ErrTooLong
	}
	err := wire.Walk(b, "membership: ", func(num protowire.Number, typ protowire.Type, b []byte) (int, error) {
		switch {
		case num == fieldKind && typ == protowire.VarintType:
			v, n := protowire.ConsumeVarint(b)
			if n < 0 || v > uint64(JoinRequest) {
				return 0, fmt.Errorf("membership: field kind: %d not known", v)
			}
			msg.Kind = Kind(v)
			return n, nil
		case num == fieldSeq && typ == protowire.VarintType:
			v, n := protowire.ConsumeVarint(b)
			msg.Seq = v
			return n, nil
		case num == fieldFrom && typ == protowire.BytesType:
			v, n := protowire.ConsumeString(b)
			msg.From = v
			return n, nil
		case num == fieldLeftDigest && typ == protowire.Fixed64Type:
			v, n := protowire.ConsumeFixed64(b)
			msg.LeftDigest = v
			return n, nil
		case num == fieldTarget && typ == protowire.BytesType:
			v, n := protowire.ConsumeString(b)
			msg.Target = v
			return n, nil
		case num == fieldUpdate && typ == protowire.BytesType:
			v, n := protowire.ConsumeBytes(b)
			if n < 0 {
				return n, nil
			}
			u, err := parseUpdate(v)
			msg.Updates = append(msg.Updates, u)
			return n, err
		}
		return 0, nil
	})
	if err == nil && msg.From == "" {
		err = errors.New("membership: field from: missing")
	}
	return msg, err
}

// parseUpdate reads one update. Errors name the field that is invalid; unknown fields are skipped.
func parseUpdate(b []byte) (Update, error) {
	var u Update
	err := wire.Walk(b, "membership: updates.", func(num protowire.Number, typ protowire.Type, b []byte) (int, error) {
		switch {
		case num == updateFieldName && typ == protowire.BytesType:
			v, n := protowire.ConsumeString(b)
			u.Name = v
			return n, nil
		case (num == updateFieldIncarnation || num == updateFieldState) && typ == protowire.VarintType:
			v, n := protowire.ConsumeVarint(b)
			if num == updateFieldIncarnation {
				u.Incarnation = v
			} else if v > uint64(Left) {
				return 0, fmt.Errorf("membership: field updates.state: %d not known", v)
			} else {
				u.State = State(v)
			}
			return n, nil
		}
		return 0, nil
	})
	if err == nil && u.Name == "" {
		err = errors.New("membership: field updates.name: missing")
	}
	return u, err
}
