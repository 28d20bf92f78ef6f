package catalog

import (
	"unicode/utf8"

	pb "fieldrelay/api/fieldrelay/v1"
)

// PrepareReplace checks an order that puts a whole configuration in force and returns the change that it
// makes to the snapshot. base is the generation that the order builds on, 0 for the first. The change lists
// only what differs. The error is an OrderError: *AlreadyExecutedError, *ConflictError or *InvalidError.
func PrepareReplace(snapshot *Snapshot, base uint64, body []byte) (*pb.Change, error) {
	return prepare(snapshot, orderReplace, base, body)
}

// PrepareAmend checks an order that adds, replaces and removes named items of the configuration and returns
// the change that it makes to the snapshot. base and error are as for PrepareReplace; the configuration that
// results is checked as a whole.
func PrepareAmend(snapshot *Snapshot, base uint64, body []byte) (*pb.Change, error) {
	return prepare(snapshot, orderAmend, base, body)
}

// PrepareEvacuation returns the change that begins or ends the evacuation of a zone, or nil when the
// snapshot is like that already. The zone's name is not checked; an error is returned (*InvalidError) only
// when it is empty or not UTF-8.
func PrepareEvacuation(snapshot *Snapshot, zone string, begin bool) (*pb.Change, error) {
	if zone == "" || !utf8.ValidString(zone) {
		return nil, invalid("", "zone", "is not a name")
	}
	if snapshot.Evacuated(zone) == begin {
		return nil, nil
	}
	change := &pb.Change{Sequence: snapshot.Sequence() + 1, Generation: snapshot.Generation()}
	if !begin {
		change.Removals = []*pb.ItemKey{{Kind: KindEvacuation, Name: zone}}
		return change, nil
	}
	change.Upserts = []*pb.Item{{
		Kind:     KindEvacuation,
		Name:     zone,
		Order:    change.Sequence,
		Sequence: change.Sequence,
	}}
	return change, nil
}
