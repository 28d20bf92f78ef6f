package catalog

import (
	"crypto/sha256"
	"encoding/binary"
	"unicode/utf8"

	pb "fieldrelay/api/fieldrelay/v1"
)

// PrepareReplace validates an order that puts a whole configuration in force and returns the change that the order
// makes to the snapshot. base is the generation that the order builds on, 0 for the first order. The change lists only
// the items that differ. The error is an OrderError: *AlreadyExecutedError, *ExecutionUnknownError, *ConflictError,
// *InvalidError or *TooLargeError.
func PrepareReplace(snapshot *Snapshot, base uint64, body []byte) (*pb.Change, error) {
	return prepare(snapshot, orderReplace, base, body)
}

// PrepareAmend validates an order that adds, replaces and removes named items of the configuration and returns the
// change that the order makes to the snapshot. The base and the error are as for PrepareReplace. The resulting
// configuration is validated as a whole.
func PrepareAmend(snapshot *Snapshot, base uint64, body []byte) (*pb.Change, error) {
	return prepare(snapshot, orderAmend, base, body)
}

// PrepareEvacuation returns the change that begins or ends the evacuation of a zone, or nil if the change would have no
// effect on the snapshot. It does not check whether the zone exists. The error is an *InvalidError if the name of the
// zone is empty or not UTF-8.
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

// orderKind is the kind of an order on the configuration. It is part of the order's digest.
type orderKind string

const (
	orderReplace orderKind = "replace"
	orderAmend   orderKind = "amend"
)

// prepare checks an order in a fixed sequence, which determines the response: first whether the order builds on the
// current generation or was executed before, then whether it can be parsed, then whether it is valid.
func prepare(snapshot *Snapshot, kind orderKind, base uint64, body []byte) (*pb.Change, error) {
	if base != snapshot.Generation() {
		return nil, snapshot.answerStale(kind, base, body)
	}
	object, err := parseObject(body)
	if err != nil {
		return nil, err
	}
	faults := &InvalidError{}
	writer := newChangeWriter(snapshot, parseGeneration(object, snapshot.Generation(), faults))
	if kind == orderAmend {
		writer.amend(object, faults)
	} else {
		writer.replace(parseDocument(object, faults))
	}
	if err := faults.orNil(); err != nil {
		return nil, err
	}
	return writer.finish(digestOrder(kind, base, body))
}

// answerStale returns the response to an order on a generation other than the current one. The order is a retry if the
// same order was executed on that generation. It can never be executed if another order was executed on that
// generation, or if that generation was never in force.
func (s *Snapshot) answerStale(kind orderKind, base uint64, body []byte) error {
	if !s.executed.covers(base) {
		return &ExecutionUnknownError{Base: base, Oldest: s.executed.baseGeneration}
	}
	if order, found := s.executed.executedOn(base); found && order.digest == digestOrder(kind, base, body) {
		return &AlreadyExecutedError{Generation: order.generation}
	}
	return &ConflictError{Base: base, Current: s.generation}
}

// digestOrder returns the truncated SHA-256 of an order and the generation that it builds on.
func digestOrder(kind orderKind, base uint64, body []byte) orderDigest {
	digest := sha256.New()
	digest.Write([]byte(kind))
	var number [9]byte // a zero byte that terminates the kind, then the generation
	binary.BigEndian.PutUint64(number[1:], base)
	digest.Write(number[:])
	digest.Write(body)
	var sum [sha256.Size]byte
	return orderDigest(digest.Sum(sum[:0])[:orderDigestBytes])
}
