package gossip

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
)

// Replica is an agent's copy of the control state and of the server list. Its versions only rise, whoever offers
// what and in whatever order. It is not safe for concurrent use; the snapshots it hands out are.
type Replica struct {
	snapshot   *catalog.Snapshot
	history    *catalog.History
	compressed compressedUpdates
	list       storedList
}

// NewReplica makes a copy that holds nothing.
func NewReplica() *Replica {
	return &Replica{snapshot: catalog.Empty(), history: catalog.NewHistory(0)}
}

// Snapshot is the control state held.
func (r *Replica) Snapshot() *catalog.Snapshot { return r.snapshot }

// Sequence is the number of the last change held.
func (r *Replica) Sequence() uint64 { return r.snapshot.Sequence() }

// Since are the changes after a sequence, false when not all of them are kept.
func (r *Replica) Since(sequence uint64) ([]*pb.Change, bool) { return r.history.Since(sequence) }

// ListVersion is the version of the server list held, nil when there is none.
func (r *Replica) ListVersion() *pb.ListVersion { return r.list.message.GetVersion() }

// ListConfirmedAt is when the platform was last known to have the list that is held.
func (r *Replica) ListConfirmedAt() time.Duration { return r.list.confirmedAt }

// List is the server list with its age at the time now, nil when there is none.
func (r *Replica) List(now time.Duration) *pb.ServerList { return r.list.messageAt(now) }

// ApplyChanges applies those changes that follow what is held and returns them; the others are left out.
func (r *Replica) ApplyChanges(changes []*pb.Change) (applied []*pb.Change) {
	for _, change := range changes {
		if change.GetSequence() != r.snapshot.Sequence()+1 {
			continue
		}
		next, err := r.snapshot.Apply(change)
		if err != nil {
			break
		}
		r.snapshot = next
		r.history.Add(change)
		applied = append(applied, change)
	}
	return applied
}

// PartialRepairError refuses a repair that leaves ranges out though it answers no digests.
type PartialRepairError struct {
	Ranges int // in the repair
}

func (e *PartialRepairError) Error() string {
	return fmt.Sprintf("a repair of %d ranges answers no digests", e.Ranges)
}

// Restore takes a repair that was made against the digests of base; without a base it must be whole. It tells
// whether the copy moved: a repair that is no newer than the copy changes nothing. A *catalog.RepairError or a
// *PartialRepairError is returned for a repair that can't be used.
func (r *Replica) Restore(base *catalog.Snapshot, repair *pb.Repair) (bool, error) {
	if repair.GetSequence() <= r.snapshot.Sequence() {
		return false, nil
	}
	if base == nil {
		base = catalog.Empty()
		if ranges := len(repair.GetRanges()); ranges != catalog.RangeCount && r.Sequence() > 0 {
			return false, &PartialRepairError{Ranges: ranges}
		}
	}
	next, err := base.Restore(repair)
	if err != nil {
		return false, errors.Wrapf(err, "restore the control state at %d", repair.GetSequence())
	}
	r.snapshot = next
	r.history.Reset(next.Sequence())
	return true, nil
}

// OfferList takes a server list unless it is older than the one held. A list of the version held confirms it: only
// its age counts, whether it tells the servers or not.
func (r *Replica) OfferList(now time.Duration, list *pb.ServerList) ListOutcome {
	if list.GetVersion() == nil {
		return ListStale
	}
	readAt := readTime(now, list)
	offered := storedList{message: list, readAt: readAt, confirmedAt: readAt}
	switch CompareVersions(list.GetVersion(), r.ListVersion()) {
	case -1:
		return ListStale
	case 0:
		return r.confirmList(offered.confirmedAt)
	}
	if sameContent(r.list, offered) {
		r.list = offered
		return ListConfirmed
	}
	r.list = offered
	return ListChanged
}

// confirm takes later news of the list held.
func (r *Replica) confirmList(confirmedAt time.Duration) ListOutcome {
	if confirmedAt <= r.list.confirmedAt {
		return ListStale
	}
	r.list.confirmedAt = confirmedAt
	return ListConfirmed
}
