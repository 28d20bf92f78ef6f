package catalog

import (
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Unmarshal decodes the stored form of a state. The error is a *RepairError if the data is malformed.
func Unmarshal(data []byte) (*Snapshot, error) {
	repair := &pb.Repair{}
	if err := proto.Unmarshal(data, repair); err != nil {
		return nil, &RepairError{Reason: err.Error()}
	}
	return Empty().Restore(repair)
}

// Last returns the sequence at which the history ends.
func (h *History) Last() uint64 { return h.last }
