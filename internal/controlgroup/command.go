package controlgroup

import (
	"errors"
	"fmt"

	"ferryfront.example/ferryfront/internal/versions"
)

// Command is one entry of the replicated log.
type Command interface{ command() }

// ProposeVersion puts a further version of a document in force, beside those that are. The first of a document is in
// force alone. One that is in force already changes nothing and is no error.
type ProposeVersion struct {
	Document string
	Version  versions.Version
	Text     []byte
}

// RetireVersion ends the time in force of a version and of all older ones of its document, in one step.
type RetireVersion struct {
	Document string
	Version  versions.Version
}

// ClaimPlace makes an incarnation the holder of its member's place, and with it of the member's share of joint
// budgets. The leader proposes it only when no earlier incarnation can hold a share lease any more.
type ClaimPlace struct {
	Member      MemberID
	Incarnation Incarnation
}

// ReleasePlace tells that the holder's process has ended or has given up its leases. That incarnation can't hold the
// place again; a later one may claim it at once.
type ReleasePlace struct {
	Member      MemberID
	Incarnation Incarnation
}

// BoundLeases records the longest leases that may be held from now on, for leaders to come. A leader grants none that are
// longer, and proposes shorter ones only when all earlier leases have run out.
type BoundLeases struct{ Lengths LeaseLengths }

func (ProposeVersion) command() {}
func (RetireVersion) command()  {}
func (ClaimPlace) command()     {}
func (ReleasePlace) command()   {}
func (BoundLeases) command()    {}

// commandKind is the first byte of a command in the log.
type commandKind byte

const (
	commandPropose commandKind = iota + 1
	commandRetire
	commandClaim
	commandRelease
	commandBound
)

// ErrCommand is the cause of every error of [ParseCommand].
var ErrCommand = errors.New("control group: malformed command")

// AppendCommand writes a command for the log: one byte of kind, then the fields.
func AppendCommand(b []byte, c Command) []byte {
	switch c := c.(type) {
	case ProposeVersion:
		b = append(b, byte(commandPropose))
		return appendContent(b, c.Document, c.Version, c.Text)
	case RetireVersion:
		b = append(b, byte(commandRetire))
		return appendContent(b, c.Document, c.Version, nil)
	case ClaimPlace:
		b = append(b, byte(commandClaim))
		return appendProcess(b, c.Member, c.Incarnation)
	case ReleasePlace:
		b = append(b, byte(commandRelease))
		return appendProcess(b, c.Member, c.Incarnation)
	case BoundLeases:
		b = append(b, byte(commandBound))
		return appendLengths(b, c.Lengths)
	}
	return b
}

// ParseCommand reads a command from the log. Every error wraps [ErrCommand]. The command shares no memory with b.
func ParseCommand(b []byte) (Command, error) {
	if len(b) == 0 {
		return nil, fmt.Errorf("%w: empty", ErrCommand)
	}
	f, err := parseFields(b[1:])
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCommand, err)
	}
	var command Command
	switch commandKind(b[0]) {
	case commandPropose:
		command, err = ProposeVersion{f.document, f.version(), f.text}, f.needContent()
	case commandRetire:
		command, err = RetireVersion{f.document, f.version()}, f.needContent()
	case commandClaim:
		command, err = ClaimPlace{f.member, f.incarnation}, f.needProcess()
	case commandRelease:
		command, err = ReleasePlace{f.member, f.incarnation}, f.needProcess()
	case commandBound:
		command = BoundLeases{f.lengths()}
	default:
		err = fmt.Errorf("kind %d is not known", b[0])
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCommand, err)
	}
	return command, nil
}
