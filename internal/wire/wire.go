// Package wire iterates over the fields of messages in the protobuf wire format, for messages that are decoded without
// generated code. It keeps no state.
package wire

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// Walk calls consume for each field of the message b, in order, with the field's number, its type and the bytes after
// its tag. consume returns how many bytes the field takes; 0 if it does not know the field, which Walk then skips; or a
// negative error code of protowire, as the Consume functions return it for truncated or malformed input. Walk stops at
// the first error. It returns an error of consume unchanged; its own errors begin with prefix.
func Walk(b []byte, prefix string, consume func(protowire.Number, protowire.Type, []byte) (int, error)) error {
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return fmt.Errorf("%stag: %w", prefix, protowire.ParseError(n))
		}
		b = b[n:]
		n, err := consume(num, typ, b)
		if err != nil {
			return err
		}
		if n == 0 {
			n = protowire.ConsumeFieldValue(num, typ, b)
		}
		if n < 0 {
			return fmt.Errorf("%sfield %d: %w", prefix, num, protowire.ParseError(n))
		}
		b = b[n:]
	}
	return nil
}
