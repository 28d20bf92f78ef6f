package control

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/quorum"
)

// HeartbeatInterval is the time between two heartbeats to each other machine.
const HeartbeatInterval = 2 * TickInterval

// heartbeats sends the heartbeats of this machine, which advertise that it is up, its view and its sequence.
type heartbeats struct {
	clock   *clock
	local   *localMachine
	peers   *peerTable
	replica *chain.Replica
	health  *localHealth
	leaving *leaving
	output  *stepOutput
	// coordination provides the epoch of the registers that this machine has on disk.
	coordination *coordinationHost
	contacts     []string // operator API addresses of the seeds, which are contacted until isConnectedVoter
	peerAddress  func(controlAddress string) string
}

// isDue reports whether heartbeats are sent at this tick. A machine that knows no view sends them at every tick.
func (h *heartbeats) isDue() bool {
	return viewInForce(h.replica) == nil || h.clock.ticks%uint64(HeartbeatInterval/TickInterval) == 0
}

// sendAll sends one heartbeat to each address: those of the voters, then those of the other live peers, then those of
// the seeds unless isConnectedVoter.
func (h *heartbeats) sendAll() {
	message := h.message()
	sent := make(map[string]bool)
	for _, voter := range viewInForce(h.replica).GetVoters() {
		address := h.peers.addressOf(voter)
		sent[address] = true
		h.output.sendTo(address, voter.GetIdentity(), message)
	}
	for _, identity := range h.peers.identities() {
		address := h.peers.known[identity].replica.GetAddress()
		if h.peers.isLive(identity) && !sent[address] {
			sent[address] = true
			h.output.sendTo(address, identity, message)
		}
	}
	if h.isConnectedVoter() {
		return
	}
	for _, seed := range h.contacts {
		if address := h.peerAddress(seed); !sent[address] {
			sent[address] = true
			h.output.sendTo(address, "", message)
		}
	}
}

func (h *heartbeats) message() *pb.Message {
	advertised := h.replica.Advertised()
	return &pb.Message{Body: &pb.Message_Heartbeat{Heartbeat: &pb.Heartbeat{
		ViewNumber:     advertised.ViewNumber,
		Sequence:       advertised.Sequence,
		Committed:      h.replica.Committed().Sequence(),
		StorageHealthy: h.health.canServe(),
		Synchronised:   advertised.Synchronized,
		Bootstrap:      h.local.bootstrap && viewInForce(h.replica) == nil,
		Incarnation:    h.local.incarnation,
		Leaving:        h.leaving.begun,
		RegisterEpoch:  h.coordination.durableEpoch,
	}}}
}

// isConnectedVoter reports whether this machine is a voter in contact with a majority of the voters, so that it need
// not contact the seeds.
func (h *heartbeats) isConnectedVoter() bool {
	view := viewInForce(h.replica)
	return quorum.VoterIndex(view, h.local.replica) != quorum.NotFound && h.peers.hasMajority(view)
}
