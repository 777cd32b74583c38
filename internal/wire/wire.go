// Package wire walks through messages in protobuf's wire format that are read field by field.
package wire

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// Walk reads the fields of b in turn. take reads one it knows and returns the bytes it used, negative where they
// are cut short, or 0 for a field it does not know, which is skipped. Errors begin with where.
func Walk(b []byte, where string, take func(protowire.Number, protowire.Type, []byte) (int, error)) error {
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return fmt.Errorf("%stag: %w", where, protowire.ParseError(n))
		}
		b = b[n:]
		n, err := take(num, typ, b)
		if err != nil {
			return err
		}
		if n == 0 {
			n = protowire.ConsumeFieldValue(num, typ, b)
		}
		if n < 0 {
			return fmt.Errorf("%sfield %d: %w", where, num, protowire.ParseError(n))
		}
		b = b[n:]
	}
	return nil
}
