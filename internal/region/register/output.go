package register

import pb "fieldrelay/api/fieldrelay/v1"

// Output carries out what a Replica or a Proposer asks for. Its methods may call the receiver of a message to this machine
// itself before they return.
type Output interface {
	// Send sends a message; it may be lost. Messages of one kind to one machine arrive in order, as far as they do.
	Send(to *pb.Replica, message *pb.Message)
	// Persist writes records, if there are any, and sends message once they, and all earlier ones, are durable.
	Persist(records []*pb.RegisterRecord, to *pb.Replica, message *pb.Message)
	// PersistAll writes Replica.Records in one piece, in place of all records so far.
	PersistAll()
	// CanPersist reports whether a write may still be queued. While it reports false, a Replica promises nothing.
	CanPersist() bool
	// Reply sends the result of a call to the machine where it arrived.
	Reply(to *pb.Replica, result *pb.CoordinationResult)
}
