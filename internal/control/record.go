package control

import (
	"encoding/binary"
	"fmt"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/chain"
	"fieldrelay/internal/quorum"
	"fieldrelay/internal/ring"
)

// Kinds of records in the ring.
const (
	recordIdentity         uint8 = 1 // pb.Message: From and, in a Heartbeat, Bootstrap
	recordPromise          uint8 = 2 // pb.Promise: the acceptor
	recordView             uint8 = 3 // basis, pb.View
	recordChange           uint8 = 4 // basis, pb.Change
	recordRepair           uint8 = 5 // basis, pb.Repair
	recordSynchronizedView uint8 = 6 // basis
)

// RecordError tells that the disk holds a record that cannot be read.
type RecordError struct {
	Kind  uint8
	Cause error
}

func (e *RecordError) Error() string { return fmt.Sprintf("record of kind %d: %v", e.Kind, e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// durable is everything that a machine has on disk.
type durableState struct {
	identity  string
	bootstrap bool // the disk was empty when the whole system started for the first time
	acceptor  *pb.Promise
	chain     chain.State
	migrated  bool // the state was of an earlier version
}

func newDurableState() durableState { return durableState{chain: chain.EmptyState()} }

// recoverState reads what a ring held.
func recoverState(recovered *ring.Recovered) (durableState, error) {
	state := newDurableState()
	records, err := splitSnapshot(recovered.Snapshot)
	if err != nil {
		return state, err
	}
	for _, record := range append(records, recovered.Records...) {
		if err := state.apply(record); err != nil {
			return state, &RecordError{Kind: record.Kind, Cause: err}
		}
	}
	state.chain.Newest, state.migrated = state.chain.Newest.MigrateTaken()
	return state, nil
}

func (d *durableState) apply(record ring.Record) error {
	switch record.Kind {
	case recordIdentity:
		message := &pb.Message{}
		if err := proto.Unmarshal(record.Payload, message); err != nil {
			return err
		}
		d.identity = message.GetFrom().GetIdentity()
		d.bootstrap = message.GetHeartbeat().GetBootstrap()
		return nil
	case recordPromise:
		d.acceptor = &pb.Promise{}
		return proto.Unmarshal(record.Payload, d.acceptor)
	default:
		write, err := decodeWrite(record)
		if err != nil {
			return err
		}
		return d.chain.Apply(write)
	}
}

// restoreAcceptor returns the acceptor for the view after the one in force.
func (d *durableState) restoreAcceptor() *quorum.Acceptor {
	next := d.chain.View.GetNumber() + 1
	if d.acceptor.GetViewNumber() != next {
		return quorum.NewAcceptor(next)
	}
	return quorum.RestoreAcceptor(d.acceptor)
}

func identityRecord(identity string, bootstrap bool) ring.Record {
	return encode(recordIdentity, nil, &pb.Message{
		From: &pb.Replica{Identity: identity},
		Body: &pb.Message_Heartbeat{Heartbeat: &pb.Heartbeat{Bootstrap: bootstrap}},
	})
}

func promiseRecord(acceptor *quorum.Acceptor) ring.Record {
	return encode(recordPromise, nil, acceptor.Record())
}

func writeRecord(write chain.Write) ring.Record {
	basis := binary.AppendUvarint(nil, write.SynchronizedView)
	switch {
	case write.View != nil:
		return encode(recordView, basis, write.View)
	case write.Change != nil:
		return encode(recordChange, basis, write.Change)
	case write.Repair != nil:
		return encode(recordRepair, basis, write.Repair)
	default:
		return ring.Record{Kind: recordSynchronizedView, Payload: basis}
	}
}

func decodeWrite(record ring.Record) (chain.Write, error) {
	basis, size := binary.Uvarint(record.Payload)
	if size <= 0 {
		return chain.Write{}, errors.New("no basis")
	}
	write := chain.Write{SynchronizedView: basis}
	var message proto.Message
	switch record.Kind {
	case recordView:
		write.View = &pb.View{}
		message = write.View
	case recordChange:
		write.Change = &pb.Change{}
		message = write.Change
	case recordRepair:
		write.Repair = &pb.Repair{}
		message = write.Repair
	case recordSynchronizedView:
		return write, nil
	default:
		return write, errors.New("unknown kind")
	}
	return write, proto.Unmarshal(record.Payload[size:], message)
}

// encode panics only if a message holds text that is not UTF-8, which no message that was received or parsed
// from JSON does.
func encode(kind uint8, prefix []byte, message proto.Message) ring.Record {
	payload, err := proto.MarshalOptions{}.MarshalAppend(prefix, message)
	if err != nil {
		panic(errors.Wrapf(err, "encode a record of kind %d", kind))
	}
	return ring.Record{Kind: kind, Payload: payload}
}

// joinSnapshot makes one payload of records: for each its kind, its length and its payload.
func joinSnapshot(records []ring.Record) []byte {
	size := 0
	for _, record := range records {
		size += len(record.Payload) + binary.MaxVarintLen64 + 1
	}
	payload := make([]byte, 0, size)
	for _, record := range records {
		payload = append(payload, record.Kind)
		payload = binary.AppendUvarint(payload, uint64(len(record.Payload)))
		payload = append(payload, record.Payload...)
	}
	return payload
}

func splitSnapshot(payload []byte) ([]ring.Record, error) {
	var records []ring.Record
	for len(payload) > 0 {
		kind := payload[0]
		length, size := binary.Uvarint(payload[1:])
		payload = payload[1:]
		if size <= 0 || uint64(len(payload)-size) < length {
			return nil, &RecordError{Kind: kind, Cause: errors.New("cut short")}
		}
		payload = payload[size:]
		records = append(records, ring.Record{Kind: kind, Payload: payload[:length]})
		payload = payload[length:]
	}
	return records, nil
}
