package membership

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"

	"ferryfront.example/ferryfront/internal/wire"
)

// MaxDatagramBytes is the most bytes that the platform carries between ingresses in one message.
const MaxDatagramBytes = 256

// Fields of a message in protobuf's wire format: kind 1, seq 2, target 3, updates 4, sender 5, out 6; of an update:
// name 1, incarnation 2, state 3.
const (
	fKind, fSeq, fTarget, fUpdate, fFrom, fOut = 1, 2, 3, 4, 5, 6
	uName, uInc, uState                        = 1, 2, 3
)

// Append writes msg to b in at most Datagram bytes. Updates that do not fit are left out, the first ones
// kept; the head alone always fits, since names are bounded by the settings to far less.
func Append(b []byte, msg Message) []byte {
	start := len(b)
	b = protowire.AppendTag(b, fKind, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(msg.Kind))
	b = protowire.AppendTag(b, fSeq, protowire.VarintType)
	b = protowire.AppendVarint(b, msg.Seq)
	if msg.LeftDigest != 0 {
		b = protowire.AppendTag(b, fOut, protowire.Fixed64Type)
		b = protowire.AppendFixed64(b, msg.LeftDigest)
	}
	for _, f := range []struct {
		num  protowire.Number
		name string
	}{{fFrom, msg.From}, {fTarget, msg.Target}} {
		if f.name != "" {
			b = protowire.AppendTag(b, f.num, protowire.BytesType)
			b = protowire.AppendString(b, f.name)
		}
	}
	var u []byte
	for _, up := range msg.Updates {
		u = protowire.AppendTag(u[:0], uName, protowire.BytesType)
		u = protowire.AppendString(u, up.Name)
		u = protowire.AppendTag(u, uInc, protowire.VarintType)
		u = protowire.AppendVarint(u, up.Incarnation)
		u = protowire.AppendTag(u, uState, protowire.VarintType)
		u = protowire.AppendVarint(u, uint64(up.State))
		size := protowire.SizeTag(fUpdate) + protowire.SizeBytes(len(u))
		if len(b)-start+size > MaxDatagramBytes {
			break
		}
		b = protowire.AppendTag(b, fUpdate, protowire.BytesType)
		b = protowire.AppendBytes(b, u)
	}
	return b
}

// ErrTooLong tells that a datagram is longer than the platform carries.
var ErrTooLong = errors.New("membership: datagram longer than 256 bytes")

// Parse reads a message. Errors name the field that is wrong; unknown fields are skipped.
func Parse(b []byte) (Message, error) {
	var msg Message
	if len(b) > MaxDatagramBytes {
		return msg, ErrTooLong
	}
	err := wire.Walk(b, "membership: ", func(num protowire.Number, typ protowire.Type, b []byte) (int, error) {
		switch {
		case num == fKind && typ == protowire.VarintType:
			v, n := protowire.ConsumeVarint(b)
			if n < 0 || v > uint64(JoinRequest) {
				return 0, fmt.Errorf("membership: field kind: %d not known", v)
			}
			msg.Kind = Kind(v)
			return n, nil
		case num == fSeq && typ == protowire.VarintType:
			v, n := protowire.ConsumeVarint(b)
			msg.Seq = v
			return n, nil
		case num == fFrom && typ == protowire.BytesType:
			v, n := protowire.ConsumeString(b)
			msg.From = v
			return n, nil
		case num == fOut && typ == protowire.Fixed64Type:
			v, n := protowire.ConsumeFixed64(b)
			msg.LeftDigest = v
			return n, nil
		case num == fTarget && typ == protowire.BytesType:
			v, n := protowire.ConsumeString(b)
			msg.Target = v
			return n, nil
		case num == fUpdate && typ == protowire.BytesType:
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

func parseUpdate(b []byte) (Update, error) {
	var u Update
	err := wire.Walk(b, "membership: updates.", func(num protowire.Number, typ protowire.Type, b []byte) (int, error) {
		switch {
		case num == uName && typ == protowire.BytesType:
			v, n := protowire.ConsumeString(b)
			u.Name = v
			return n, nil
		case (num == uInc || num == uState) && typ == protowire.VarintType:
			v, n := protowire.ConsumeVarint(b)
			if num == uInc {
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
