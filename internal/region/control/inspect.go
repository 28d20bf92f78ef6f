package control

import (
	"fmt"
	"io/fs"
	"os"

	"github.com/cockroachdb/errors"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/ring"
)

// Inspection describes the state that a control machine would have if it started on a state folder. Inspecting writes
// nothing, so the machine may be running; a record that the machine is writing at that time may look torn.
type Inspection struct {
	Ring *ring.Report
	// Failure is the error with which a machine would fail to start: a *ring.CorruptError or a *RecordError. The fields
	// below then contain only the state from the records before the faulty one.
	Failure          error
	Identity         string      // identity of the machine; empty if the disk is empty
	Bootstrap        bool        // the disk was empty when the cluster started for the first time
	View             *pb.View    // newest view on disk; nil if there is none
	SynchronizedView uint64      // number of the last view whose committed changes are all in State
	Promise          *pb.Promise // promise and accepted proposal for the next view; nil: there are none
	State            *catalog.Snapshot
}

// NoStateError is returned by Inspect for a folder without state of a control machine.
type NoStateError struct{ Folder string }

// Error names the folder.
func (e *NoStateError) Error() string {
	return e.Folder + " holds no state of a control machine: a machine started on it would treat it as an empty disk"
}

// Inspect reads a control machine's state folder. The error is a *NoStateError, or says that the folder cannot be read.
func Inspect(stateDir string) (*Inspection, error) {
	folder := ringPath(stateDir, currentRing(stateDir))
	if _, err := os.Stat(folder); errors.Is(err, fs.ErrNotExist) {
		return nil, &NoStateError{Folder: stateDir}
	}
	report, err := ring.Check(folder)
	if err != nil {
		return nil, errors.Wrap(err, "read the ring")
	}
	return inspect(report), nil
}

func inspect(report *ring.Report) *Inspection {
	inspection := &Inspection{Ring: report, Failure: report.Failure, State: catalog.Empty()}
	if report.Recovered == nil {
		return inspection
	}
	state, err := recoverState(report.Recovered)
	inspection.Failure = err
	inspection.Identity = state.identity
	inspection.Bootstrap = state.bootstrap
	inspection.View = state.chain.View
	inspection.SynchronizedView = state.chain.SynchronizedView
	inspection.State = state.chain.Newest
	if acceptor := state.restoreAcceptor(); !acceptor.IsEmpty() {
		inspection.Promise = acceptor.Record()
	}
	return inspection
}

// RecordName names a kind of record in the ring.
func RecordName(kind uint8) string {
	switch kind {
	case recordIdentity:
		return "identity"
	case recordPromise:
		return "promise"
	case recordView:
		return "view"
	case recordChange:
		return "change"
	case recordRepair:
		return "repair"
	case recordSynchronizedView:
		return "basis"
	case recordRegister:
		return "register"
	default:
		return fmt.Sprintf("kind %d", kind)
	}
}
