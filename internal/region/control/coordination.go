package control

import (
	"strconv"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/coordination"
)

// coordinationHost implements coordination.Host for this machine's coordination engine: it provides the connections,
// the disk, the identity and the view of this machine.
type coordinationHost struct {
	clock   *clock
	peers   *peerTable
	planner *viewPlanner
	replica *chain.Replica
	disk    *diskQueue
	output  *stepOutput

	engine *coordination.Engine
	// durableEpoch is the newest epoch whose registers are on this machine's disk; 0: none. Heartbeats advertise it.
	durableEpoch uint64
}

// coordinationConfig returns the configuration of the engine.
func coordinationConfig(config Config, local *localMachine) coordination.Config {
	return coordination.Config{
		Self:        local.replica,
		Incarnation: strconv.FormatUint(local.incarnation, 36),
		Retention:   config.WatchRetention,
		FirstID:     local.incarnation >> 1, // halved so that it cannot overflow
		Limits:      config.RegisterLimits,
	}
}

// restore loads the registers that were on disk.
func (h *coordinationHost) restore(records []*pb.RegisterRecord) {
	for _, record := range records {
		h.engine.Restore(record)
	}
	h.durableEpoch = h.engine.ActiveEpoch()
}

// IsLive implements coordination.Peers.
func (h *coordinationHost) IsLive(identity string) bool { return h.peers.isLive(identity) }

// IsLeaving implements coordination.Peers.
func (h *coordinationHost) IsLeaving(identity string) bool { return h.planner.isLeaving(identity) }

// Send implements coordination.Host.
func (h *coordinationHost) Send(to *pb.Replica, message *pb.Message) { h.output.send(to, message) }

// Persist implements coordination.Host.
func (h *coordinationHost) Persist(records []*pb.RegisterRecord, to *pb.Replica, message *pb.Message) {
	if len(records) == 0 && len(h.disk.pending) == 0 {
		h.output.send(to, message)
		return
	}
	replies := []chain.OutgoingMessage{{To: to, Message: message}}
	h.disk.enqueue(registerRecords(records), pendingWrite{forRegisters: true, replies: replies})
}

// PersistAll implements coordination.Host.
func (h *coordinationHost) PersistAll() {
	h.disk.persistSnapshot(pendingWrite{forRegisters: true, activeEpoch: h.engine.ActiveEpoch()})
}

// persisted records that a write is on disk; it reports whether the write has changed the durable epoch.
func (h *coordinationHost) persisted(done pendingWrite) bool {
	if done.activeEpoch <= h.durableEpoch {
		return false
	}
	h.durableEpoch = done.activeEpoch
	return true
}

// CanPersist implements coordination.Host.
func (h *coordinationHost) CanPersist() bool { return h.disk.acceptsRegisters() }

// ReplyToCaller implements coordination.Host.
func (h *coordinationHost) ReplyToCaller(request uint64, result *pb.CoordinationResult) {
	h.output.add(CallReply{Request: request, Result: result})
}

// HasMajority implements coordination.Host.
func (h *coordinationHost) HasMajority() bool { return h.peers.hasMajority(viewInForce(h.replica)) }

// IsStalled implements coordination.Host.
func (h *coordinationHost) IsStalled() bool { return h.clock.isStalled() }
