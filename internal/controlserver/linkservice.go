package controlserver

import (
	"context"
	"time"

	"connectrpc.com/connect"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/packing"
	"fieldrelay/internal/registry"
)

const (
	// maxWatchWait bounds the time for which an agent's call is held without news.
	maxWatchWait = time.Second

	// maxConcurrentWatches bounds the agents that wait at this machine.
	maxConcurrentWatches = 1024
)

// ShuttingDownError refuses a call because this process is ending.
type ShuttingDownError struct{}

func (*ShuttingDownError) Error() string { return "this control machine is ending" }

// TooManyWatchesError refuses a call because as many agents as allowed wait already.
type TooManyWatchesError struct{}

func (*TooManyWatchesError) Error() string { return "too many agents wait at this control machine" }

// AgentMissingError refuses a call that does not name its agent.
type AgentMissingError struct{}

func (*AgentMissingError) Error() string { return "the call names no agent" }

// link serves the agents.
type linkService struct {
	node         Node
	soft         *softState
	host         string // of this machine
	shuttingDown <-chan struct{}
	watchSlots   chan struct{} // one token for each call under way
	packer       packing.Packer
	counters     *watchCounters
}

func newLinkService(node Node, soft *softState, host string, ending <-chan struct{}) *linkService {
	return &linkService{
		node:         node,
		soft:         soft,
		host:         host,
		shuttingDown: ending,
		watchSlots:   make(chan struct{}, maxConcurrentWatches),
		counters:     &watchCounters{},
	}
}

// Watch registers the agent and answers when something is newer than what it holds, at the latest after the
// hold that it asks for.
func (l *linkService) Watch(ctx context.Context, request *connect.Request[pb.WatchRequest]) (*connect.Response[pb.WatchResponse], error) {
	select {
	case l.watchSlots <- struct{}{}:
		defer func() { <-l.watchSlots }()
	default:
		l.counters.rejected.Add(1)
		return nil, connect.NewError(connect.CodeResourceExhausted, &TooManyWatchesError{})
	}
	held := request.Msg
	if held.GetAgent().GetHost() == "" {
		l.counters.rejected.Add(1)
		return nil, connect.NewError(connect.CodeInvalidArgument, &AgentMissingError{})
	}
	if l.isShuttingDown() {
		l.counters.rejected.Add(1)
		return nil, connect.NewError(connect.CodeUnavailable, &ShuttingDownError{})
	}
	l.soft.ObserveAgent(held.GetAgent(), held.GetList())
	compose := l.compose
	if held.GetProbe() {
		compose = l.composeProbe
	}
	answer, err := l.await(ctx, held, compose)
	if err != nil {
		l.counters.canceled.Add(1)
		return nil, err
	}
	l.counters.count(held, answer)
	return connect.NewResponse(answer), nil
}

// composer makes the answer as of now, and tells whether it has to be sent at once.
type composer func(held *pb.WatchRequest) (answer *pb.WatchResponse, news bool)

// await composes answers until one holds news or the hold is over.
func (l *linkService) await(ctx context.Context, held *pb.WatchRequest, compose composer) (*pb.WatchResponse, error) {
	hold := time.NewTimer(min(time.Duration(held.GetHoldMs())*time.Millisecond, maxWatchWait))
	defer hold.Stop()
	authoritative := l.node.Status().Authoritative
	for {
		// The channels come first: a change after them is not missed.
		stateChanged, softChanged := l.node.Changed(), l.soft.Changed()
		answer, news := compose(held)
		if news || answer.Authoritative != authoritative {
			return answer, nil
		}
		select {
		case <-stateChanged:
		case <-softChanged:
		case <-hold.C:
			answer, _ = compose(held) // with the ages of now
			return answer, nil
		case <-l.shuttingDown:
			return answer, nil
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

func (l *linkService) isShuttingDown() bool {
	select {
	case <-l.shuttingDown:
		return true
	default:
		return false
	}
}

// composeProbe answers an agent that asks which control machine to turn to.
func (l *linkService) composeProbe(held *pb.WatchRequest) (*pb.WatchResponse, bool) {
	status := l.node.Status()
	answer := &pb.WatchResponse{Authoritative: status.Authoritative, MembersSource: l.host}
	if status.Committed != nil {
		answer.Sequence = status.Committed.Sequence()
		answer.Generation = status.Committed.Generation()
	}
	if status.View.GetNumber() > held.GetViewNumber() {
		answer.View = status.View // it names others that may be asked
	}
	return answer, status.Authoritative || answer.View != nil
}

// compose returns the answer as of now and whether it holds something that the agent does not.
func (l *linkService) compose(held *pb.WatchRequest) (*pb.WatchResponse, bool) {
	status := l.node.Status()
	l.soft.ObserveCommitted(status.Committed)
	answer := &pb.WatchResponse{Authoritative: status.Authoritative, MembersSource: l.host}
	if isFirstRequest(held) && len(status.View.GetVoters()) > 0 {
		answer.View = status.View
		if status.Committed != nil {
			// The agent must not take the nothing that it holds for confirmed.
			answer.Sequence = status.Committed.Sequence()
			answer.Generation = status.Committed.Generation()
		}
		return answer, true
	}
	news := l.addState(answer, held, status.Committed)
	l.packer.PackAnswer(held, answer)
	if status.View.GetNumber() > held.GetViewNumber() {
		answer.View = status.View
		news = true
	}
	picture := l.soft.Snapshot()
	news = l.addList(answer, held, picture.list) || news
	news = l.addMembers(answer, held, picture) || news
	return answer, news
}

// isFirstRequest tells whether an agent knows nothing yet. It is told of the control machines before anything large: until one
// has answered it probes the others, and gives the call up for the first of them that does.
func isFirstRequest(held *pb.WatchRequest) bool {
	return held.GetViewNumber() == 0 && held.GetSequence() == 0
}

// addState adds what the agent's copy of the control state lacks.
func (l *linkService) addState(answer *pb.WatchResponse, held *pb.WatchRequest, committed *catalog.Snapshot) bool {
	if committed == nil {
		return false
	}
	answer.Sequence = committed.Sequence()
	answer.Generation = committed.Generation()
	if committed.Sequence() <= held.GetSequence() {
		return false
	}
	if held.GetSequence() == 0 {
		answer.Repair = committed.RepairFor(nil)
		return true
	}
	if changes, kept := l.node.Since(held.GetSequence()); kept && len(changes) > 0 {
		answer.Changes = changes
		last := changes[len(changes)-1]
		answer.Sequence = last.GetSequence()
		answer.Generation = last.GetGeneration()
		return true
	}
	if digests := held.GetDigests(); digests != nil && digests.GetSequence() == held.GetSequence() {
		answer.Repair = committed.RepairFor(digests)
		return true
	}
	answer.NeedDigests = true
	return true
}

// addList adds the list of servers if it is newer than the agent's, else only how old its news is.
func (l *linkService) addList(answer *pb.WatchResponse, held *pb.WatchRequest, list *registry.ServerList) bool {
	if list == nil {
		return false
	}
	difference := registry.CompareVersions(list.Version(), held.GetList())
	if difference > 0 {
		answer.List = list.Message(l.soft.now())
		return true
	}
	if difference == 0 {
		answer.List = list.Confirmation(l.soft.now())
	}
	return false
}

// addMembers adds the members if the agent holds another version of them.
func (l *linkService) addMembers(answer *pb.WatchResponse, held *pb.WatchRequest, picture *softSnapshot) bool {
	if !picture.converged {
		return false
	}
	if held.GetMembersSource() == l.host && picture.isCurrent(held.GetMembersVersion()) {
		return false
	}
	answer.Members = picture.members.Message(l.soft.now())
	return true
}
