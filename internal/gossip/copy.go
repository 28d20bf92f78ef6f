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
	snapshot *catalog.Snapshot
	history  *catalog.History
	packed   packedNews
	list     heldList
}

// NewReplica makes a copy that holds nothing.
func NewReplica() *Replica {
	return &Replica{snapshot: catalog.Empty(), history: catalog.NewHistory(0)}
}

// Snapshot is the control state held.
func (c *Replica) Snapshot() *catalog.Snapshot { return c.snapshot }

// Sequence is the number of the last change held.
func (c *Replica) Sequence() uint64 { return c.snapshot.Sequence() }

// Since are the changes after a sequence, false when not all of them are kept.
func (c *Replica) Since(sequence uint64) ([]*pb.Change, bool) { return c.history.Since(sequence) }

// ListVersion is the version of the server list held, nil when there is none.
func (c *Replica) ListVersion() *pb.ListVersion { return c.list.message.GetVersion() }

// ListConfirmedAt is when the platform was last known to have the list that is held.
func (c *Replica) ListConfirmedAt() time.Duration { return c.list.newsAt }

// List is the server list with its age at the time now, nil when there is none.
func (c *Replica) List(now time.Duration) *pb.ServerList { return c.list.aged(now) }

// ApplyChanges applies those changes that follow what is held and returns them; the others are left out.
func (c *Replica) ApplyChanges(changes []*pb.Change) (applied []*pb.Change) {
	for _, change := range changes {
		if change.GetSequence() != c.snapshot.Sequence()+1 {
			continue
		}
		next, err := c.snapshot.Apply(change)
		if err != nil {
			break
		}
		c.snapshot = next
		c.history.Add(change)
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
func (c *Replica) Restore(base *catalog.Snapshot, repair *pb.Repair) (bool, error) {
	if repair.GetSequence() <= c.snapshot.Sequence() {
		return false, nil
	}
	if base == nil {
		base = catalog.Empty()
		if ranges := len(repair.GetRanges()); ranges != catalog.RangeCount && c.Sequence() > 0 {
			return false, &PartialRepairError{Ranges: ranges}
		}
	}
	next, err := base.Restore(repair)
	if err != nil {
		return false, errors.Wrapf(err, "restore the control state at %d", repair.GetSequence())
	}
	c.snapshot = next
	c.history.Reset(next.Sequence())
	return true, nil
}

// OfferList takes a server list unless it is older than the one held. A list of the version held confirms it: only
// its age counts, whether it tells the servers or not.
func (c *Replica) OfferList(now time.Duration, list *pb.ServerList) ListOutcome {
	if list.GetVersion() == nil {
		return ListStale
	}
	readAt := readTime(now, list)
	offered := heldList{message: list, readAt: readAt, newsAt: readAt}
	switch CompareVersions(list.GetVersion(), c.ListVersion()) {
	case -1:
		return ListStale
	case 0:
		return c.confirm(offered.newsAt)
	}
	if sameContent(c.list, offered) {
		c.list = offered
		return ListConfirmed
	}
	c.list = offered
	return ListChanged
}

// confirm takes later news of the list held.
func (c *Replica) confirm(newsAt time.Duration) ListOutcome {
	if newsAt <= c.list.newsAt {
		return ListStale
	}
	c.list.newsAt = newsAt
	return ListConfirmed
}
