package control

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
)

// stepOutput collects the actions of one Step, in the order in which the shell must carry them out, and addresses
// messages.
type stepOutput struct {
	local   *localMachine
	peers   *peerTable
	replica *chain.Replica
	// deliverLocally handles a message that this machine sends to itself; it is called before send returns.
	deliverLocally func(*pb.Message)

	actions []Action
}

func (o *stepOutput) add(action Action) { o.actions = append(o.actions, action) }

// takeActions returns the collected actions and clears the list.
func (o *stepOutput) takeActions() []Action {
	actions := o.actions
	o.actions = nil
	return actions
}

// send sends a message to a replica. A message to this machine itself is handled at once, so a caller must not rely on
// state that this handling may change.
func (o *stepOutput) send(to *pb.Replica, message *pb.Message) {
	if to.GetIdentity() == o.local.identity() {
		o.sendToSelf(message)
		return
	}
	o.sendTo(o.peers.addressOf(to), to.GetIdentity(), message)
}

func (o *stepOutput) sendToSelf(message *pb.Message) {
	message.From = o.local.replica
	o.deliverLocally(message)
}

// sendTo sends a message to an address. The receiver drops the message if the given identity is not its own;
// an empty identity matches any receiver. Nothing is sent to an empty address or to the address of this machine.
func (o *stepOutput) sendTo(address, identity string, message *pb.Message) {
	if address == "" || address == o.local.replica.GetAddress() {
		return
	}
	o.add(Send{Address: address, Message: &pb.Message{
		From:       o.local.replica,
		ToIdentity: identity,
		Cluster:    viewInForce(o.replica).GetCluster(),
		Body:       message.GetBody(),
	}})
}

// sendView sends the view in force to a machine that acted in an earlier view.
func (o *stepOutput) sendView(to *pb.Replica) {
	o.send(to, decidedMessage(viewInForce(o.replica)))
}

func decidedMessage(view *pb.View) *pb.Message {
	return &pb.Message{Body: &pb.Message_Decided{Decided: &pb.Decided{View: view}}}
}

// sendResult sends the result of an order to its origin.
func (o *stepOutput) sendResult(to *pb.Replica, result *pb.OrderResult) {
	o.send(to, &pb.Message{Body: &pb.Message_OrderResult{OrderResult: result}})
}
