package registry

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Event is an input of a ServerInventory: Tick, PollDone, ListReceived or VersionObserved.
type Event interface{ isEvent() }

// Tick reports that time has passed. It is due several times a second.
type Tick struct {
	// LiveHosts are the hosts of the live control machines, this one included, in the order of the view in force. The
	// list is empty while no view is known; this machine then does not poll.
	LiveHosts []string
	// Position is the index of this machine in the order of the view, whether the others are live or not.
	Position int
	// Partitioned reports that this machine has no contact with a majority of the control machines.
	Partitioned bool
}

// PollDone is the result of the poll that the last StartPoll requested.
type PollDone struct {
	SentAt  time.Duration // time at which the first call was sent
	Pages   int           // number of calls made
	Servers []*pb.Server
	Failed  bool // the poll did not read a complete list
}

// ListReceived is a list, or the confirmation of one, from another control machine.
type ListReceived struct{ List *pb.ServerList }

// VersionObserved is a list version that another control machine (Peer) or an agent advertises. A version without an
// owner consists of an epoch only, see ServerInventory.AdvertisedVersion.
type VersionObserved struct {
	Version *pb.ListVersion // nil: the sender has no list
	Peer    bool            // the sender is a control machine
}

func (Tick) isEvent()            {}
func (PollDone) isEvent()        {}
func (ListReceived) isEvent()    {}
func (VersionObserved) isEvent() {}

// Action is an output of a ServerInventory (StartPoll, SendList, ListChanged) or of a LagMonitor (AgentLagging,
// AgentCaughtUp, ProxyBoundExceeded).
type Action interface{ isAction() }

// StartPoll requests one poll of the platform's list. Its result is returned as PollDone; until then no other poll is
// requested.
type StartPoll struct{}

// SendList requests that a message be sent to all other control machines.
type SendList struct{ List *pb.ServerList }

// ListChanged reports that the version of ServerInventory.Current has changed.
type ListChanged struct{}

// AgentLagging reports that the proxy of an agent has begun to lag by more than LagThreshold. An AgentCaughtUp ends the
// episode.
type AgentLagging struct {
	Host      string
	Reported  uint64 // sequence that the proxy has applied
	Committed uint64 // newest committed sequence
	Lag       time.Duration
	Ready     bool // the agent reports that the proxy is ready
}

// AgentCaughtUp ends the episode that an AgentLagging began.
type AgentCaughtUp struct {
	Host        string
	Reported    uint64        // sequence that the proxy has applied
	LongestLag  time.Duration // longest lag in the episode
	LostContact bool          // this machine no longer receives the agent's reports: its proxy may still lag
}

// ProxyBoundExceeded reports that a proxy whose agent was in contact lagged by more than the deployment's bound. It is
// returned at most once per episode.
type ProxyBoundExceeded struct {
	Host      string
	Reported  uint64 // sequence that the proxy has applied
	Committed uint64 // newest committed sequence
	Lag       time.Duration
	Bound     time.Duration
}

func (StartPoll) isAction()          {}
func (SendList) isAction()           {}
func (ListChanged) isAction()        {}
func (AgentLagging) isAction()       {}
func (AgentCaughtUp) isAction()      {}
func (ProxyBoundExceeded) isAction() {}
