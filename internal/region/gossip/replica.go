package gossip

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/serverlist"
)

// Replica is an agent's replica of the control state and of the server list. Its sequence and its list version never
// decrease, whatever updates are applied and in whatever order. A Replica is not safe for concurrent use; the snapshots
// that it returns are.
type Replica struct {
	snapshot   *catalog.Snapshot
	history    *catalog.History
	compressed compressedUpdates
	list       storedList
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{snapshot: catalog.Empty(), history: catalog.NewHistory(0)}
}

// Snapshot returns the control state.
func (r *Replica) Snapshot() *catalog.Snapshot { return r.snapshot }

// Sequence returns the sequence number of the last change applied, 0 before the first change.
func (r *Replica) Sequence() uint64 { return r.snapshot.Sequence() }

// ChangesSince returns the changes after a sequence; false if the history does not reach back to that sequence.
func (r *Replica) ChangesSince(sequence uint64) ([]*pb.Change, bool) {
	return r.history.Since(sequence)
}

// ListVersion returns the version of the server list, nil if there is none.
func (r *Replica) ListVersion() *pb.ListVersion { return r.list.message.GetVersion() }

// ListConfirmedAt returns the time at which the platform was last known to have the list.
func (r *Replica) ListConfirmedAt() time.Duration { return r.list.confirmedAt }

// List returns the server list with its age at the time now, nil if there is none.
func (r *Replica) List(now time.Duration) *pb.ServerList { return r.list.messageAt(now) }

// ApplyChanges applies changes, which must be ordered by sequence, and returns the applied ones. It skips changes that
// do not directly follow the present sequence, and stops at a change that cannot be applied.
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

// PartialRepairError rejects a repair that does not have all ranges although it was made without digests.
type PartialRepairError struct {
	Ranges int // number of ranges in the repair
}

// Error returns a message with the number of ranges in the repair.
func (e *PartialRepairError) Error() string {
	return fmt.Sprintf("partial repair of %d ranges without base digests", e.Ranges)
}

// Restore applies a repair that was made against the digests of base. If base is nil, the repair must have all ranges,
// unless the replica is empty. Restore reports whether the replica advanced: a repair that is not newer than the
// replica is ignored. The error for an unusable repair is or wraps a *catalog.RepairError or is a *PartialRepairError;
// the replica is then unchanged.
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
		return false, errors.Wrapf(err, "restore the control state at sequence %d", repair.GetSequence())
	}
	r.snapshot = next
	r.history.Reset(next.Sequence())
	return true, nil
}

// OfferList stores a server list received at the time now, unless it is older than the present list. A list of the
// present version confirms the present list: only its age is used, with or without servers.
func (r *Replica) OfferList(now time.Duration, list *pb.ServerList) ListOutcome {
	if list.GetVersion() == nil {
		return ListStale
	}
	readAt := readTime(now, list)
	offered := storedList{message: list, readAt: readAt, confirmedAt: readAt}
	switch serverlist.CompareVersions(list.GetVersion(), r.ListVersion()) {
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

// confirmList records that the platform had the present list at confirmedAt, unless a later confirmation is known.
func (r *Replica) confirmList(confirmedAt time.Duration) ListOutcome {
	if confirmedAt <= r.list.confirmedAt {
		return ListStale
	}
	r.list.confirmedAt = confirmedAt
	return ListConfirmed
}
