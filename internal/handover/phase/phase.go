// Package phase holds the state machines of a hand-over, one for each process. They do no input or output:
// events go in, and what is to be done comes out. What they hold to, whatever happens:
//
//   - At most one of the two processes accepts and reads clients' requests.
//   - Up to Commit the old process can carry on with nothing lost; what makes it do so is told.
//   - After Commit the old process takes the listeners back if the new one dies, as long as it lives itself.
//   - Every phase has an end: each is left by an event, by its time, or by the other's death.
package phase

import "fmt"

// Protocol is the version of the messages' meaning. Two processes that differ in it do not hand over; fields
// may be added without a new version.
const Protocol = 1

// Message is a message of the other process, as far as it moves a machine on.
type Message int

const (
	Hello Message = iota
	Prepared
	Restored
	Serving
	Refused
	Leaving
	Welcome
	Snapshot
	Commit
	Abort
	Settled
	Farewell
	messageCount
)

var messageNames = [messageCount]string{"hello", "prepared", "restored", "serving", "refused", "leaving", "welcome", "snapshot",
	"commit", "abort", "settled", "farewell"}

func (m Message) String() string {
	if m < 0 || m >= messageCount {
		return fmt.Sprintf("message %d", int(m))
	}
	return messageNames[m]
}

// Event is something that happened, one of the types below.
type Event interface{ isEvent() }

// UpgradeRequested is the event that an upgrade is asked for.
type UpgradeRequested struct{}

// SpawnFailed is the event that the new process could not be started; Why is the cause.
type SpawnFailed struct{ Reason string }

// MessageReceived is the event that the other process has sent a message. Text goes with Refused, Protocol with Hello and Welcome.
type MessageReceived struct {
	Message  Message
	Protocol int
	Text     string
}

// InvalidData is the event that the other process has sent what can't be read or is out of place.
type InvalidData struct{ Reason string }

// PeerExited is the event that the other process has ended, for certain; on the old side How tells its exit.
type PeerExited struct{ Detail string }

// PhaseTimedOut is the event that the present phase has lasted as long as it may.
type PhaseTimedOut struct{}

// CustomersCopied is the event that all customers have been copied ahead.
type CustomersCopied struct{}

// Drained is the event that nothing that was taken by this process is open any more.
type Drained struct{}

// PrepareDone is the event that the new process has what it needs of its own: configuration, parts, discovery.
type PrepareDone struct{}

// TakeoverFailed is the event that the new process can't take over.
type TakeoverFailed struct{ Reason string }

// SnapshotRestored is the event that the snapshot is in place.
type SnapshotRestored struct{}

// TerminateRequested is the event that this process has got SIGTERM.
type TerminateRequested struct{}

// ReloadRequested is the event that this process has got SIGHUP.
type ReloadRequested struct{}

func (UpgradeRequested) isEvent()   {}
func (SpawnFailed) isEvent()        {}
func (MessageReceived) isEvent()    {}
func (InvalidData) isEvent()        {}
func (PeerExited) isEvent()         {}
func (PhaseTimedOut) isEvent()      {}
func (CustomersCopied) isEvent()    {}
func (Drained) isEvent()            {}
func (PrepareDone) isEvent()        {}
func (TakeoverFailed) isEvent()     {}
func (SnapshotRestored) isEvent()   {}
func (TerminateRequested) isEvent() {}
func (ReloadRequested) isEvent()    {}

// Action is what a machine wants done, in order.
type Action int

const (
	// Of the old process.
	Spawn            Action = iota // start the binary that is on disk now
	SendWelcome                    // answer its Hello
	CopyCustomers                  // begin to copy customers, while serving
	Freeze                         // accept and read no more
	SendSnapshot                   // send the state and the listeners; from now on tell what becomes of what is open
	SendCommit                     // the new process serves; send on each connection as it falls idle
	Unfreeze                       // accept and read again: nothing was lost
	SendAbort                      // tell the new process that it is not wanted
	Kill                           // make sure that it has ended
	ReclaimListeners               // accept again after the successor's death, with what it sent unknown
	SendSettled                    // the probation is over
	SendTerminate                  // pass the end on
	SendReload                     // pass the reload on
	Drain                          // end as on SIGTERM
	DrainRemaining                 // end what is ours, in the time of a planned end: the new process goes on
	SendFarewell                   // all is over: tell and exit
	ReportDone                     // tell who asked: the upgrade has succeeded
	ReportFailed                   // tell who asked: it has not, with Failure

	// Of the new process.
	Prepare           // read the configuration, build the parts, reach discovery
	SendPrepared      // ready for the customers
	Restore           // put the state in place
	SendRestored      // it is in place
	Serve             // accept and read
	SendServing       // tell so
	SendRefused       // with Failure
	SendLeaving       // we were told to end
	ForgetPredecessor // the predecessor is gone: nothing more is told of what it had
	ReloadConfig      // read the configuration again
	Exit              // end at once; nothing was taken

	// Of both.
	StartTimer // the phase's time runs; the machine's State tells which
	StopTimer
	actionCount
)

var actionNames = [actionCount]string{"spawn", "send welcome", "copy ahead", "freeze", "send snapshot", "send commit", "unfreeze",
	"send abort", "kill", "reclaim", "send settled", "send terminate", "send reload", "drain", "end own", "say farewell", "report done",
	"report failed", "prepare", "send prepared", "restore", "send restored", "serve", "send serving", "send refused",
	"send leaving", "forget", "reload", "exit", "start clock", "stop clock"}

func (a Action) String() string {
	if a < 0 || a >= actionCount {
		return fmt.Sprintf("action %d", int(a))
	}
	return actionNames[a]
}
