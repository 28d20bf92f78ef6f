package registry

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Event is something that an Inventory is told.
type Event interface{ inventoryEvent() }

// Tick tells the time passing, several times a second.
type Tick struct {
	// LiveHosts names the hosts of the live control machines, this one included, in the order of the agreed view;
	// it is empty while no view is known.
	LiveHosts []string
	// Position is the place of this machine in that order if all machines were live.
	Position int
	// Partitioned: this machine does not hear a majority of the control machines.
	Partitioned bool
}

// PollDone ends the reading that the last StartPoll asked for.
type PollDone struct {
	SentAt  time.Duration // when the first call was sent
	Pages   int           // calls made
	Servers []*pb.Server
	Failed  bool // no whole list was read
}

// ListReceived is a list from another control machine.
type ListReceived struct{ List *pb.ServerList }

// VersionObserved is the version that another control machine (Peer) or an agent says it holds.
type VersionObserved struct {
	Version *pb.ListVersion
	Peer    bool
}

func (Tick) inventoryEvent()            {}
func (PollDone) inventoryEvent()        {}
func (ListReceived) inventoryEvent()    {}
func (VersionObserved) inventoryEvent() {}

// Action is something that the shell of an Inventory has to do.
type Action interface{ inventoryAction() }

// StartPoll asks for one reading of the platform's list, ended by PollDone. No second one is asked for before.
type StartPoll struct{}

// SendList asks for a message to all other control machines.
type SendList struct{ List *pb.ServerList }

// ListChanged tells that Current holds another version.
type ListChanged struct{}

func (StartPoll) inventoryAction()   {}
func (SendList) inventoryAction()    {}
func (ListChanged) inventoryAction() {}

// AgentLagging tells that an agent's proxy has begun to be late.
type AgentLagging struct {
	Host      string
	Reported  uint64 // sequence
	Committed uint64 // sequence
	Lag       time.Duration
	Ready     bool // as the agent says of its proxy
}

// AgentCaughtUp ends what AgentLagging began.
type AgentCaughtUp struct {
	Host     string
	Reported uint64 // sequence
	Longest  time.Duration
	Unheard  bool // the agent was not heard again, or by another control machine: it may be behind still
}

// ProxyBoundExceeded tells that a proxy whose agent was in contact broke the bound on changes that were acknowledged. It comes
// once in an episode.
type ProxyBoundExceeded struct {
	Host      string
	Reported  uint64 // sequence
	Committed uint64 // sequence
	Lag       time.Duration
	Bound     time.Duration
}

func (AgentLagging) inventoryAction()       {}
func (AgentCaughtUp) inventoryAction()      {}
func (ProxyBoundExceeded) inventoryAction() {}
