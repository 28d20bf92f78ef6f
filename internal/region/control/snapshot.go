package control

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/ring"
)

// snapshot encodes the complete state that the disk must contain once all pending writes are on disk.
func (m *Machine) snapshot() []byte {
	state := m.replica.State()
	records := []ring.Record{identityRecord(m.local.identity(), m.local.bootstrap)}
	if state.Newest.Sequence() > 0 {
		repair := state.Newest.ReplicaRepairFor(nil)
		records = append(records, writeRecord(chain.Write{Repair: repair, SynchronizedView: state.SynchronizedView}))
	}
	if state.View != nil {
		records = append(records, writeRecord(chain.Write{View: state.View, SynchronizedView: state.SynchronizedView}))
	}
	if !m.voter.acceptor.IsEmpty() {
		records = append(records, promiseRecord(m.voter.acceptor))
	}
	return joinSnapshot(records, m.coordination.engine.Records())
}

// recordPrefixBytes is the maximum size of a record in a snapshot without its payload.
const recordPrefixBytes = 1 + binary.MaxVarintLen64

// joinSnapshot encodes records, then registers, as one payload: for each its kind, the length of its payload and the
// payload. Registers are encoded in place, because they may be large.
func joinSnapshot(records []ring.Record, registers []*pb.RegisterRecord) []byte {
	size := 0
	for _, record := range records {
		size += recordPrefixBytes + len(record.Payload)
	}
	for _, register := range registers {
		size += recordPrefixBytes + proto.Size(register)
	}
	payload := make([]byte, 0, size)
	for _, record := range records {
		payload = append(payload, record.Kind)
		payload = binary.AppendUvarint(payload, uint64(len(record.Payload)))
		payload = append(payload, record.Payload...)
	}
	for _, register := range registers {
		payload = append(payload, recordRegister)
		payload = binary.AppendUvarint(payload, uint64(proto.Size(register)))
		payload = appendMessage(payload, recordRegister, register)
	}
	return payload
}

// splitSnapshot is the inverse of joinSnapshot.
func splitSnapshot(payload []byte) ([]ring.Record, error) {
	var records []ring.Record
	for len(payload) > 0 {
		kind := payload[0]
		length, size := binary.Uvarint(payload[1:])
		payload = payload[1:]
		if size <= 0 || uint64(len(payload)-size) < length {
			return nil, &RecordError{Kind: kind, Cause: errors.New("snapshot truncated within this record")}
		}
		payload = payload[size:]
		records = append(records, ring.Record{Kind: kind, Payload: payload[:length]})
		payload = payload[length:]
	}
	return records, nil
}
