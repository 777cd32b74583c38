// Package phase holds the two state machines of a handover: OldProcess for the running process and NewProcess for its
// successor. A machine takes events and returns actions; it does no input or output and has no timer of its own. Each
// belongs to the event loop of its process. They guarantee, in any order of events:
//
//   - At most one of the two processes accepts connections and reads requests.
//   - Until it sends Commit, the old process can carry on with nothing lost. It reports why it did.
//   - After Commit the old process takes the listeners back if the new one dies, as long as it is alive itself.
//   - Every phase ends: by an event, by its timeout or by the death of the other process.
package phase

import "fmt"

// Protocol is the version of the handover protocol. Processes with different versions refuse to hand over. Adding fields to
// messages needs no new version.
const Protocol = 1

// Message is a kind of message from the other process. Other messages either change no state, such as those with customers
// or connections, or arrive as events of their own, such as Terminate and Reload.
type Message int

const (
	// Sent by the new process.

	Hello    Message = iota // first message, with the protocol version
	Prepared                // it can receive customers and the snapshot
	Restored                // the snapshot is in place
	Serving                 // it accepts and reads requests
	Refused                 // it can't take over; carries the reason
	Leaving                 // it has begun to end, as on SIGTERM

	// Sent by the old process.

	Welcome  // answer to Hello, with the protocol version
	Snapshot // the state and the listeners
	Commit   // the new process is to serve
	Abort    // the old process carries on; carries the reason
	Settled  // the probation is over
	Farewell // the old process has nothing left and exits
	messageCount
)

// messageNames are parts of texts that operators and the other process read.
var messageNames = [messageCount]string{"hello", "prepared", "restored", "serving", "refused", "leaving", "welcome", "snapshot",
	"commit", "abort", "settled", "farewell"}

// String returns the message's name.
func (m Message) String() string {
	if m < 0 || m >= messageCount {
		return fmt.Sprintf("message %d", int(m))
	}
	return messageNames[m]
}

// Event is an input of a machine, one of the types below.
type Event interface{ isEvent() }

// UpgradeRequested asks the old process to begin an upgrade. It is ignored while one is in progress or the ingress is
// ending.
type UpgradeRequested struct{}

// SpawnFailed reports that the new process could not be started.
type SpawnFailed struct{ Reason string }

// MessageReceived reports a message of the other process.
type MessageReceived struct {
	Message  Message
	Protocol int    // version of the handover protocol; of Hello and Welcome
	Text     string // reason; of Refused and Abort
}

// InvalidData reports that the other process sent data that can't be decoded.
type InvalidData struct{ Reason string }

// PeerExited reports that the other process has certainly ended. In the old process, Detail says how: its exit status, or
// why it counts as ended.
type PeerExited struct{ Detail string }

// PhaseTimedOut reports that the time of the present phase is up.
type PhaseTimedOut struct{}

// CustomersCopied reports to the old process that all customers have been copied.
type CustomersCopied struct{}

// Drained reports to the old process that none of its connections and streams is open any more.
type Drained struct{}

// PrepareDone reports that the new process has read its configuration, built its parts and reached discovery.
type PrepareDone struct{}

// TakeoverFailed reports that the new process can't take over.
type TakeoverFailed struct{ Reason string }

// SnapshotRestored reports that the new process has restored the snapshot.
type SnapshotRestored struct{}

// TerminateRequested reports a SIGTERM, which the old process may have passed on to the new one.
type TerminateRequested struct{}

// ReloadRequested reports a SIGHUP, which the old process may have passed on to the new one.
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

// Action is an output of a machine: something that the process has to do. Actions are carried out in order.
type Action int

const (
	// Actions of the old process.

	Spawn         Action = iota // start the binary that is on disk now
	SendWelcome                 // answer Hello
	CopyCustomers               // begin to copy customers while serving
	Freeze                      // stop accepting and reading
	// SendSnapshot sends the state and the listeners. From then on the new process is told of each change of an open
	// stream.
	SendSnapshot
	// SendCommit makes the new process serve. Each connection is handed over as soon as it is idle.
	SendCommit
	Unfreeze         // accept and read again; nothing was lost
	SendAbort        // tell the new process that it must not serve
	Kill             // make sure that the new process ends
	ReclaimListeners // accept again after the new process died; what it sent upstream is unknown
	SendSettled      // tell the new process that the probation is over
	SendTerminate    // pass SIGTERM on to the new process
	SendReload       // pass SIGHUP on to the new process
	Drain            // end as on SIGTERM
	DrainRemaining   // end what this process still has, within the drain timeout; the new process serves on
	SendFarewell     // tell the new process that nothing is left, and exit
	ReportDone       // report success to the requester of the upgrade
	ReportFailed     // report Failure to the requester of the upgrade

	// Actions of the new process.

	Prepare           // read the configuration, build the parts, reach discovery
	SendPrepared      // tell the old process that customers can come
	Restore           // restore the snapshot
	SendRestored      // tell the old process that the snapshot is restored
	Serve             // accept and read
	SendServing       // tell the old process that this one serves
	SendRefused       // tell the old process Failure
	SendLeaving       // tell the old process that this one has begun to end
	ForgetPredecessor // the old process is gone: its open streams get no further news
	ReloadConfig      // read the configuration again
	Exit              // end at once; nothing was taken over

	StartTimer // old process: start the timeout of the phase in State
	StopTimer  // both processes: stop the timeout of the phase
	actionCount
)

// actionNames are only for tests and debugging.
var actionNames = [actionCount]string{
	"spawn", "send welcome", "copy customers", "freeze", "send snapshot", "send commit", "unfreeze", "send abort",
	"kill", "reclaim listeners", "send settled", "send terminate", "send reload", "drain", "drain remaining",
	"send farewell", "report done", "report failed", "prepare", "send prepared", "restore", "send restored",
	"serve", "send serving", "send refused", "send leaving", "forget predecessor", "reload", "exit", "start timer",
	"stop timer"}

// String returns the action's name.
func (a Action) String() string {
	if a < 0 || a >= actionCount {
		return fmt.Sprintf("action %d", int(a))
	}
	return actionNames[a]
}
