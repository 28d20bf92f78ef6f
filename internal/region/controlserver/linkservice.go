package controlserver

import (
	"context"
	"time"

	"connectrpc.com/connect"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/packing"
	"fieldrelay/internal/region/registry"
	"fieldrelay/internal/region/serverlist"
)

const (
	// maxWatchWait is the maximum time for which a long poll of an agent stays open without an update.
	maxWatchWait = time.Second

	// maxConcurrentWatches is the maximum number of long polls that are open at this machine at the same time.
	maxConcurrentWatches = 1024
)

// ShuttingDownError rejects a call because this process is shutting down.
type ShuttingDownError struct{}

// Error returns the message sent to the caller.
func (*ShuttingDownError) Error() string { return "this control machine is ending" }

// TooManyWatchesError rejects a call because maxConcurrentWatches are open already.
type TooManyWatchesError struct{}

// Error returns the message sent to the caller.
func (*TooManyWatchesError) Error() string { return "too many agents wait at this control machine" }

// AgentMissingError rejects a call that does not name its agent.
type AgentMissingError struct{}

// Error returns the message sent to the caller.
func (*AgentMissingError) Error() string { return "the call names no agent" }

// linkService implements the ControlLink service, from which agents receive updates. Each call is a long poll (RFC
// 6202): the response is sent immediately if there is an update for the agent, otherwise with the next update or after
// the wait that the agent requested. The service is safe for concurrent use; each call runs in the goroutine of its
// HTTP request.
type linkService struct {
	node         Node
	soft         *softState
	host         string // host name of this machine
	shuttingDown <-chan struct{}
	watchSlots   chan struct{} // one token per open call
	packer       packing.Compressor
	counters     *watchCounters
}

func newLinkService(node Node, soft *softState, host string, shuttingDown <-chan struct{}) *linkService {
	return &linkService{
		node:         node,
		soft:         soft,
		host:         host,
		shuttingDown: shuttingDown,
		watchSlots:   make(chan struct{}, maxConcurrentWatches),
		counters:     &watchCounters{},
	}
}

// Watch records the agent's report and responds when there is an update for the agent, at the latest after the wait
// that the agent requests, which is bounded by maxWatchWait.
func (l *linkService) Watch(ctx context.Context, request *connect.Request[pb.WatchRequest]) (*connect.Response[pb.WatchResponse], error) {
	select {
	case l.watchSlots <- struct{}{}:
		defer func() { <-l.watchSlots }()
	default:
		return nil, l.reject(connect.CodeResourceExhausted, &TooManyWatchesError{})
	}
	watch := request.Msg
	if watch.GetAgent().GetHost() == "" {
		return nil, l.reject(connect.CodeInvalidArgument, &AgentMissingError{})
	}
	if l.isShuttingDown() {
		return nil, l.reject(connect.CodeUnavailable, &ShuttingDownError{})
	}
	l.soft.ObserveAgent(watch.GetAgent(), watch.GetList())
	build := l.buildResponse
	if watch.GetProbe() {
		build = l.buildProbeResponse
	}
	response, err := l.awaitUpdate(ctx, watch, build)
	if err != nil {
		l.counters.canceled.Add(1)
		return nil, err
	}
	l.counters.count(watch, response)
	return connect.NewResponse(response), nil
}

// reject counts a rejected call and returns its error.
func (l *linkService) reject(code connect.Code, cause error) error {
	l.counters.rejected.Add(1)
	return connect.NewError(code, cause)
}

// responseBuilder returns the response as of now and whether it has an update and must therefore be sent immediately.
type responseBuilder func(watch *pb.WatchRequest) (response *pb.WatchResponse, hasUpdate bool)

// awaitUpdate builds responses until one of them has an update or the wait is over, and returns the last one. A change
// of this machine's authority counts as an update. The only error is that of a canceled ctx.
func (l *linkService) awaitUpdate(ctx context.Context, watch *pb.WatchRequest, build responseBuilder) (*pb.WatchResponse, error) {
	wait := time.NewTimer(min(time.Duration(watch.GetHoldMs())*time.Millisecond, maxWatchWait))
	defer wait.Stop()
	authoritative := l.node.Status().Authoritative
	for {
		// The channels are read before the response is built, so that no change after that is missed.
		stateChanged, softChanged := l.node.Changed(), l.soft.Changed()
		response, hasUpdate := build(watch)
		if hasUpdate || response.Authoritative != authoritative {
			return response, nil
		}
		select {
		case <-stateChanged:
		case <-softChanged:
		case <-wait.C:
			response, _ = build(watch) // built again, since the ages in it have changed
			return response, nil
		case <-l.shuttingDown:
			return response, nil
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

// buildProbeResponse builds the response to a probe, by which an agent looks for an authoritative control machine. The
// response carries no state.
func (l *linkService) buildProbeResponse(watch *pb.WatchRequest) (*pb.WatchResponse, bool) {
	status := l.node.Status()
	response := &pb.WatchResponse{Authoritative: status.Authoritative, MembersSource: l.host}
	if status.Committed != nil {
		response.Sequence = status.Committed.Sequence()
		response.Generation = status.Committed.Generation()
	}
	if status.View.GetNumber() > watch.GetViewNumber() {
		response.View = status.View // the agent can probe the voters of the view
	}
	return response, status.Authoritative || response.View != nil
}

// buildResponse returns the response as of now and whether it has an update that the agent lacks.
func (l *linkService) buildResponse(watch *pb.WatchRequest) (*pb.WatchResponse, bool) {
	status := l.node.Status()
	l.soft.ObserveCommitted(status.Committed)
	response := &pb.WatchResponse{Authoritative: status.Authoritative, MembersSource: l.host}
	if isFirstRequest(watch) && len(status.View.GetVoters()) > 0 {
		response.View = status.View
		if status.Committed != nil {
			// Without the sequence the agent would consider its empty replica up to date.
			response.Sequence = status.Committed.Sequence()
			response.Generation = status.Committed.Generation()
		}
		return response, true
	}
	hasUpdate := l.addState(response, watch, status.Committed)
	l.packer.CompressResponse(watch, response)
	if status.View.GetNumber() > watch.GetViewNumber() {
		response.View = status.View
		hasUpdate = true
	}
	snapshot := l.soft.Snapshot()
	hasUpdate = l.addList(response, watch, snapshot.list) || hasUpdate
	hasUpdate = l.addMembers(response, watch, snapshot) || hasUpdate
	return response, hasUpdate
}

// isFirstRequest reports whether an agent has neither a view nor state yet. The response to such an agent has the view
// and no large data: until its first response the agent also probes other control machines, and it cancels this call if
// one of them responds first.
func isFirstRequest(watch *pb.WatchRequest) bool {
	return watch.GetViewNumber() == 0 && watch.GetSequence() == 0
}

// addState adds the control state that the agent's replica lacks: the changes since its sequence if they are in the
// history, else a repair by the digests of the replica's ranges. If the agent sent no digests, they are requested. An
// empty replica gets a complete repair.
func (l *linkService) addState(response *pb.WatchResponse, watch *pb.WatchRequest, committed *catalog.Snapshot) bool {
	if committed == nil {
		return false
	}
	response.Sequence = committed.Sequence()
	response.Generation = committed.Generation()
	if committed.Sequence() <= watch.GetSequence() {
		return false
	}
	if watch.GetSequence() == 0 {
		response.Repair = committed.RepairFor(nil)
		return true
	}
	if changes, available := l.node.Since(watch.GetSequence()); available && len(changes) > 0 {
		response.Changes = changes
		last := changes[len(changes)-1]
		response.Sequence = last.GetSequence()
		response.Generation = last.GetGeneration()
		return true
	}
	if digests := watch.GetDigests(); digests != nil && digests.GetSequence() == watch.GetSequence() {
		response.Repair = committed.RepairFor(digests)
		return true
	}
	response.NeedDigests = true
	return true
}

// addList adds the server list if it is newer than the agent's list. For the same version it adds only the age of the
// list, which does not count as an update.
func (l *linkService) addList(response *pb.WatchResponse, watch *pb.WatchRequest, list *registry.ServerList) bool {
	if list == nil {
		return false
	}
	difference := serverlist.CompareVersions(list.Version(), watch.GetList())
	if difference > 0 {
		response.List = list.Message(l.soft.now())
		return true
	}
	if difference == 0 {
		response.List = list.Confirmation(l.soft.now())
	}
	return false
}

// addMembers adds the members if the agent has an older version of them, or a version of another control machine, since
// versions of different machines are not comparable.
func (l *linkService) addMembers(response *pb.WatchResponse, watch *pb.WatchRequest, snapshot *softSnapshot) bool {
	if !snapshot.converged {
		return false
	}
	if watch.GetMembersSource() == l.host && snapshot.isCurrent(watch.GetMembersVersion()) {
		return false
	}
	response.Members = snapshot.members.Message(l.soft.now())
	return true
}
