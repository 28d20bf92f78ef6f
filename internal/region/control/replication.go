package control

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/ring"
)

// replication translates the output of this machine's replica of the chain into actions, and passes the messages of its
// neighbours to the replica.
type replication struct {
	replica   *chain.Replica
	output    *stepOutput
	disk      *diskQueue
	staleness *staleness

	reported *catalog.Snapshot // state that the last Committed action reported
}

// perform carries out the output of the replica: messages, writes and commits.
func (r *replication) perform(output chain.Output) {
	for _, outgoing := range output.Messages {
		r.output.send(outgoing.To, outgoing.Message)
	}
	if len(output.Writes) > 0 {
		records := make([]ring.Record, 0, len(output.Writes))
		for _, write := range output.Writes {
			records = append(records, writeRecord(write))
		}
		r.disk.persist(records, true, nil)
	}
	if output.Committed {
		r.reportCommitted()
	}
}

func (r *replication) reportCommitted() {
	committed := r.replica.Committed()
	action := Committed{Snapshot: committed}
	if r.reported == nil {
		action.Changes = r.replica.RecentChanges()
	} else if changes, found := r.replica.ChangesSince(r.reported.Sequence()); found {
		action.Changes = changes
	}
	for index, change := range action.Changes {
		action.Changes[index] = catalog.ForAgents(change)
	}
	r.reported = committed
	r.staleness.update()
	r.output.add(action)
}

// receive passes a message of chain replication to the replica, and returns the view number in the message. The replica
// drops messages that are not of the view in force.
func (r *replication) receive(message *pb.Message) uint64 {
	from := message.GetFrom()
	switch body := message.GetBody().(type) {
	case *pb.Message_Append:
		r.perform(r.replica.Append(from, body.Append))
		return body.Append.GetViewNumber()
	case *pb.Message_Acknowledge:
		r.perform(r.replica.Acknowledged(from, body.Acknowledge))
		return body.Acknowledge.GetViewNumber()
	case *pb.Message_SyncRequest:
		r.perform(r.replica.SyncRequest(message))
		return body.SyncRequest.GetViewNumber()
	case *pb.Message_SyncResponse:
		r.perform(r.replica.SyncResponse(from, body.SyncResponse))
		return body.SyncResponse.GetViewNumber()
	default:
		return 0
	}
}

// fence tells the sender of a chain message of an earlier view that the view has been superseded, by sending it the
// view in force. number is the view number in the message.
func (r *replication) fence(to *pb.Replica, number uint64) {
	if view := viewInForce(r.replica); view != nil && number < view.GetNumber() {
		r.output.send(to, &pb.Message{Body: &pb.Message_Fenced{Fenced: &pb.Fenced{View: view}}})
	}
}
