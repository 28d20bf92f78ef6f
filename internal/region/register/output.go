package register

import pb "fieldrelay/api/fieldrelay/v1"

// Output performs the actions that a Replica or a Proposer requests. If a message is addressed to this machine, a
// method may deliver it before the method returns.
type Output interface {
	// Send sends a message, which may be lost. Messages of the same kind to the same machine are not
	// reordered.
	Send(to *pb.Replica, message *pb.Message)
	// Persist writes the records, if any, and sends the message once these and all earlier records are durable.
	Persist(records []*pb.RegisterRecord, to *pb.Replica, message *pb.Message)
	// PersistAll writes Replica.Records atomically, replacing all earlier records.
	PersistAll()
	// CanPersist reports whether another write may be queued. While it returns false, a Replica makes no promises.
	CanPersist() bool
	// Reply sends the result of a call to the machine that received the call from its caller.
	Reply(to *pb.Replica, result *pb.CoordinationResult)
}
