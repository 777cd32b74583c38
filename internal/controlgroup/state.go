package controlgroup

import (
	"errors"

	"ferryfront.example/ferryfront/internal/versions"
)

// InForceMost is how many versions of a document are in force together at most; a further one is refused until the
// oldest is retired.
const InForceMost = 4

// Errors of [State.Check] and [State.Apply]: the command changes nothing. They come wrapped with the document and
// version, or the member and incarnation, that they are about.
var (
	ErrOlder        = errors.New("older than the newest version in force")
	ErrOtherContent = errors.New("the number is in force with another content")
	ErrTooMany      = versions.ErrRollouts
	ErrTooLong      = errors.New("text is too long")
	ErrInvalid      = errors.New("invalid command")
	ErrNotInForce   = errors.New("version is not in force")
	ErrOnlyVersion  = errors.New("the newest version can't be retired")
	ErrSuperseded   = errors.New("a later process has held the place")
	ErrNotHolder    = errors.New("does not hold the place")
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

func (ProposeVersion) command() {}
func (RetireVersion) command()  {}
func (ClaimPlace) command()     {}
func (ReleasePlace) command()   {}

// AppendCommand writes a command for the log.
func AppendCommand(b []byte, c Command) []byte { panic("to come") }

// ParseCommand reads a command from the log.
func ParseCommand(b []byte) (Command, error) { panic("to come") }

// State is what the group has replicated. Each replica applies the same commands in the same order and has the same
// state. It is not safe for use by several goroutines: the replica's host keeps Apply apart from the calls of others,
// also from those of a [Leader] that reads it. The slices that it returns are never written to again.
type State struct{}

// NewState returns the state before the first command.
func NewState() *State { return &State{} }

// Check tells why a command would change nothing at present, without applying it.
func (s *State) Check(c Command) error { panic("to come") }

// Apply applies the next command of the log. With an error, nothing has changed.
func (s *State) Apply(c Command) error { panic("to come") }

// Documents returns the names of the documents of which a version is in force, sorted.
func (s *State) Documents() []string { panic("to come") }

// InForce returns the versions of a document that are in force, oldest first; none if the document is not known.
func (s *State) InForce(document string) []versions.Doc { panic("to come") }

// Holder returns the last incarnation that has claimed a member's place, and whether it still holds it. Without any:
// 0, false.
func (s *State) Holder(member MemberID) (Incarnation, bool) { panic("to come") }

// Snapshot writes the state. Equal states give equal bytes.
func (s *State) Snapshot() []byte { panic("to come") }

// Restore reads a state that Snapshot wrote.
func Restore(b []byte) (*State, error) { panic("to come") }
