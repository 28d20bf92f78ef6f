package agent

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/gossip"
	"fieldrelay/internal/region/shuffle"
)

// action is a call that the core requests. The result of the call is posted to the core as an event. A call to another
// agent is dropped, and no event posted, while maxPeerCalls calls to other agents are in flight.
type action interface{ isAction() }

// watchKind is the kind of a Watch call to a control machine.
type watchKind int

const (
	watchLongPoll watchKind = iota // waits at the control machine for an update
	watchNotice                    // returns at once, concurrently with the long poll
	watchProbe                     // checks whether the machine has authority; the response carries no state
)

type (
	// watchCall calls Watch on a control machine. The request reports this machine's record and requests updates.
	watchCall struct {
		id          uint64
		kind        watchKind
		address     string
		request     *pb.WatchRequest
		base        *catalog.Snapshot // state that the request's digests describe; nil if the request has no digests
		started     time.Duration
		dialTimeout time.Duration // maximum time for a connection to be established
		timeout     time.Duration // maximum time until the response starts
	}
	// proxyCall calls Apply on the proxy, or Status when there is nothing to apply.
	proxyCall struct {
		apply   *pb.ApplyRequest // update for the proxy; nil: the call is Status
		attempt deliveryAttempt
	}
	// shuffleCall exchanges samples of the partial views with another agent.
	shuffleCall struct{ shuffle.Exchange }
	// pushCall forwards an update to another agent.
	pushCall struct{ gossip.Push }
	// compareCall compares the versions of the replicas with another agent.
	compareCall struct{ gossip.Compare }
)

func (watchCall) isAction()   {}
func (proxyCall) isAction()   {}
func (shuffleCall) isAction() {}
func (pushCall) isAction()    {}
func (compareCall) isAction() {}
