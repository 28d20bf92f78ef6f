package control

import (
	"encoding/binary"
	"fmt"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/quorum"
	"fieldrelay/internal/region/ring"
)

// Kinds of records in the ring.
const (
	recordIdentity         uint8 = 1 // pb.Message with the identity in From and the bootstrap flag in a Heartbeat
	recordPromise          uint8 = 2 // pb.Promise with the state of the acceptor
	recordView             uint8 = 3 // number of the synchronized view, then pb.View
	recordChange           uint8 = 4 // number of the synchronized view, then pb.Change
	recordRepair           uint8 = 5 // number of the synchronized view, then pb.Repair
	recordSynchronizedView uint8 = 6 // number of the synchronized view
	recordRegister         uint8 = 7 // pb.RegisterRecord
)

// RecordError is returned for a record of the ring that cannot be decoded.
type RecordError struct {
	Kind  uint8 // kind of the record, which RecordName converts to a name
	Cause error
}

// Error names the kind of the record and the cause.
func (e *RecordError) Error() string { return fmt.Sprintf("record of kind %d: %v", e.Kind, e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// durableState is everything that a machine has on disk.
type durableState struct {
	identity  string
	bootstrap bool // the disk was empty when the cluster started for the first time
	acceptor  *pb.Promise
	chain     chain.State
	migrated  bool // the state was written by an earlier version and has been converted
	registers []*pb.RegisterRecord
}

func newDurableState() durableState { return durableState{chain: chain.EmptyState()} }

// recoverState decodes the content of a ring: the records of its snapshot, then those after it. On an error, the state
// contains the records before the faulty one.
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
	state.chain.Newest, state.migrated = state.chain.Newest.MigrateLegacyOrders()
	return state, nil
}

// apply adds one record. A record of the identity, the acceptor or the view supersedes the earlier records of its kind.
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
	case recordRegister:
		register := &pb.RegisterRecord{}
		d.registers = append(d.registers, register)
		return proto.Unmarshal(record.Payload, register)
	default:
		write, err := decodeWrite(record)
		if err != nil {
			return err
		}
		return d.chain.Apply(write)
	}
}

// restoreAcceptor returns the acceptor for the view after the view in force. Promises for earlier views have no effect
// any more.
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

func registerRecords(records []*pb.RegisterRecord) []ring.Record {
	encoded := make([]ring.Record, 0, len(records))
	for _, record := range records {
		encoded = append(encoded, encode(recordRegister, nil, record))
	}
	return encoded
}

func writeRecord(write chain.Write) ring.Record {
	prefix := binary.AppendUvarint(nil, write.SynchronizedView)
	switch {
	case write.View != nil:
		return encode(recordView, prefix, write.View)
	case write.Change != nil:
		return encode(recordChange, prefix, write.Change)
	case write.Repair != nil:
		return encode(recordRepair, prefix, write.Repair)
	default:
		return ring.Record{Kind: recordSynchronizedView, Payload: prefix}
	}
}

func decodeWrite(record ring.Record) (chain.Write, error) {
	synchronizedView, size := binary.Uvarint(record.Payload)
	if size <= 0 {
		return chain.Write{}, errors.New("the payload does not begin with the number of a synchronized view")
	}
	write := chain.Write{SynchronizedView: synchronizedView}
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
		return write, errors.New("the record kind is unknown to this version")
	}
	return write, proto.Unmarshal(record.Payload[size:], message)
}

// encode encodes a message as a record after a prefix of its payload.
func encode(kind uint8, prefix []byte, message proto.Message) ring.Record {
	return ring.Record{Kind: kind, Payload: appendMessage(prefix, kind, message)}
}

// appendMessage appends an encoded message to a payload. It panics only if the message holds text that is not UTF-8; no
// message that was received or parsed from JSON does.
func appendMessage(payload []byte, kind uint8, message proto.Message) []byte {
	payload, err := proto.MarshalOptions{}.MarshalAppend(payload, message)
	if err != nil {
		panic(errors.Wrapf(err, "encode a record of kind %d", kind))
	}
	return payload
}
