package control

import (
	"cmp"
	"strconv"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/coordination"
	"fieldrelay/internal/region/ring"
)

// NewMachine creates a Machine from the recovered content of the ring. The error is a *RecordError if a record cannot
// be decoded.
func NewMachine(config Config, recovered *ring.Recovered) (*Machine, error) {
	state, err := recoverState(recovered)
	if err != nil {
		return nil, err
	}
	local, isNew := newLocalMachine(config, state)
	machine := &Machine{
		config:  config,
		clock:   &clock{},
		local:   local,
		replica: chain.NewReplica(local.identity(), state.chain, local.incarnation),
	}
	machine.wireComponents()
	machine.voter.acceptor = state.restoreAcceptor()
	machine.disk.schedule = snapshotSchedule{
		// a snapshot at the start replaces all records of an earlier version of this program
		due:        isNew || state.migrated,
		maxRecords: cmp.Or(config.SnapshotRecords, snapshotRecords),
		lastBytes:  len(recovered.Snapshot),
	}
	machine.disk.schedule.add(recovered.Records)
	machine.coordination.restore(state.registers)
	machine.origin.lastID = config.Random.Uint64()
	machine.ids.last = config.Random.Uint64() >> 1 // halved so that it cannot overflow
	return machine, nil
}

// newLocalMachine uses the identity on disk, or draws a random identity if the disk is empty; isNew reports whether the
// identity is new.
func newLocalMachine(config Config, state durableState) (local *localMachine, isNew bool) {
	local = &localMachine{bootstrap: state.bootstrap, incarnation: config.Random.Uint64()}
	identity := state.identity
	if identity == "" {
		isNew = true
		identity = strconv.FormatUint(config.Random.Uint64(), 36)
		local.bootstrap = config.Bootstrap
	}
	local.replica = &pb.Replica{
		Host:           config.Self.GetHost(),
		Identity:       identity,
		Address:        config.Self.GetAddress(),
		Zone:           config.Self.GetZone(),
		Region:         config.Self.GetRegion(),
		ControlAddress: config.Self.GetControlAddress(),
	}
	return local, isNew
}

// wireComponents creates the components of the Machine and passes each component its dependencies.
func (m *Machine) wireComponents() {
	m.wirePeers()
	m.wireAgreement()
	m.wireOrders()
	m.wireCoordination()
}

func (m *Machine) wirePeers() {
	m.peers = &peerTable{clock: m.clock, local: m.local, known: make(map[string]*peer)}
	m.output = &stepOutput{local: m.local, peers: m.peers, replica: m.replica, deliverLocally: m.handle}
	m.disk = &diskQueue{clock: m.clock, output: m.output, snapshot: m.snapshot}
	m.staleness = &staleness{clock: m.clock, peers: m.peers, replica: m.replica}
	m.replication = &replication{replica: m.replica, output: m.output, disk: m.disk, staleness: m.staleness}
	m.leaving = &leaving{clock: m.clock}
	m.health = &localHealth{clock: m.clock, disk: m.disk, peers: m.peers, leaving: m.leaving, replica: m.replica}
	m.heartbeat = &heartbeats{
		clock: m.clock, local: m.local, peers: m.peers, replica: m.replica, health: m.health, leaving: m.leaving,
		output: m.output, contacts: m.config.Seeds, peerAddress: m.config.PeerAddress,
	}
}

func (m *Machine) wireAgreement() {
	m.electorate = &electorate{
		local: m.local, replica: m.replica, output: m.output, seeds: m.config.Seeds, peerAddress: m.config.PeerAddress,
	}
	m.rejoin = &rejoinBackoff{clock: m.clock, removals: make(map[string]removal)}
	m.planner = &viewPlanner{
		clock: m.clock, local: m.local, peers: m.peers, replica: m.replica, health: m.health, leaving: m.leaving,
		rejoin: m.rejoin, requirement: m.config.Requirement,
	}
	m.founding = &founding{
		clock: m.clock, local: m.local, peers: m.peers, electorate: m.electorate, seeds: m.config.Seeds,
		requirement: m.config.Requirement, random: m.config.Random,
	}
	m.voter = &voter{
		clock: m.clock, replica: m.replica, electorate: m.electorate, planner: m.planner, disk: m.disk, output: m.output,
		spuriousProposals: m.config.SpuriousProposals != nil,
	}
	m.proposer = &proposer{
		clock: m.clock, local: m.local, replica: m.replica, peers: m.peers, health: m.health, planner: m.planner,
		founding: m.founding, electorate: m.electorate, voter: m.voter, disk: m.disk, random: m.config.Random,
		spurious: m.config.SpuriousProposals,
	}
}

func (m *Machine) wireCoordination() {
	m.coordination = &coordinationHost{
		clock: m.clock, peers: m.peers, planner: m.planner, replica: m.replica, disk: m.disk, output: m.output,
	}
	m.coordination.engine = coordination.NewEngine(coordinationConfig(m.config, m.local), m.coordination)
	m.heartbeat.coordination = m.coordination
	m.planner.coordination = m.coordination
}

func (m *Machine) wireOrders() {
	m.ids = &idSequence{}
	m.checks = &quorumChecks{
		clock: m.clock, replica: m.replica, electorate: m.electorate, output: m.output, ids: m.ids,
	}
	m.confirmations = &confirmations{clock: m.clock, output: m.output, ids: m.ids}
	m.origin = &originOrders{clock: m.clock, local: m.local, peers: m.peers, replica: m.replica, output: m.output}
	m.head = &headOrders{
		clock: m.clock, local: m.local, replica: m.replica, replication: m.replication, output: m.output,
		checks: m.checks, confirmations: m.confirmations, requirement: m.config.Requirement,
	}
	m.reads = &chainReads{local: m.local, replica: m.replica, output: m.output, checks: m.checks}
}
