package agent

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/gossip"
	"fieldrelay/internal/region/serverlist"
)

// Intervals and timeouts of the proxy link.
const (
	// exchangeInterval is the time between two exchanges with the proxy while there is no update for the proxy.
	exchangeInterval = 250 * time.Millisecond
	// shutdownExchangeInterval replaces exchangeInterval during the shutdown, which ends when the proxy has exited.
	shutdownExchangeInterval = 50 * time.Millisecond
	// proxyRetryInterval is the time between two exchanges while the proxy is unreachable.
	proxyRetryInterval = 50 * time.Millisecond
	// exchangeTimeout is the time within which the response of the proxy has to start.
	exchangeTimeout = 2 * time.Second
	// minQuotaMembersInterval is the minimum time between two deliveries of the quota members.
	minQuotaMembersInterval = time.Second
)

// proxyLink keeps the proxy of this agent up to date. One exchange at a time sends the proxy an update of everything
// that is missing according to its last status, or requests the status if nothing is missing.
type proxyLink struct {
	inFlight                bool
	nextExchange            time.Duration   // time of the next exchange when there is no update
	status                  *pb.ProxyStatus // last status received; nil: none has been received yet
	reachable               bool            // the last exchange succeeded
	unreachableSince        time.Duration   // time of the first of the consecutive failures
	connectionRefused       bool            // the last exchange failed because no process listened at the proxy's address
	shuttingDown            bool            // this agent is shutting down
	discoveredAt            time.Duration   // time at which the proxy process of status was first observed
	confirmed               bool            // a request to a control machine sent since discoveredAt has confirmed the state
	confirmationDelivered   bool
	quotaMembersDeliveredAt time.Duration // time at which this proxy process was last sent the quota members; 0: never
	lastAttempt             deliveryAttempt
}

// deliveryAttempt identifies the contents of an Apply request. Contents that the proxy did not apply are not sent again
// before the next exchange is due; newer contents are sent at once.
type deliveryAttempt struct {
	sequence             uint64
	list                 *pb.ListVersion
	quotaMembersRevision uint64
	confirmed            bool
	digests              bool
}

// nextCall returns the call that is due; nil if none is due.
func (l *proxyLink) nextCall(now time.Duration, replica *gossip.Replica, members *membership) *proxyCall {
	if l.inFlight {
		return nil
	}
	if !l.reachable {
		return l.statusCallIfDue(now)
	}
	apply, attempt := l.pendingUpdate(now, replica, members)
	if apply == nil {
		return l.statusCallIfDue(now)
	}
	if attempt == l.lastAttempt && now < l.nextExchange {
		return nil
	}
	l.inFlight = true
	l.lastAttempt = attempt
	apply.ProxyIncarnation = l.status.GetIncarnation()
	return &proxyCall{apply: apply, attempt: attempt}
}

func (l *proxyLink) statusCallIfDue(now time.Duration) *proxyCall {
	if now < l.nextExchange {
		return nil
	}
	l.inFlight = true
	return &proxyCall{}
}

// pendingUpdate returns the update that the proxy lacks; nil if the proxy lacks nothing. The update contains nothing
// older than the proxy has reported.
func (l *proxyLink) pendingUpdate(now time.Duration, replica *gossip.Replica, members *membership) (*pb.ApplyRequest, deliveryAttempt) {
	apply := &pb.ApplyRequest{}
	var attempt deliveryAttempt
	pending := l.addStateUpdate(apply, replica)
	if pending {
		attempt.sequence = replica.Sequence()
		attempt.digests = l.status.GetDigests() != nil
	}
	if serverlist.CompareVersions(replica.ListVersion(), l.status.GetList()) > 0 {
		apply.List = replica.List(now)
		attempt.list = replica.ListVersion()
		pending = true
	}
	if l.quotaMembersDue(now, members) {
		apply.QuotaMembers = members.quotaMembers
		attempt.quotaMembersRevision = members.quotaMembers.GetVersion().GetRevision()
		pending = true
	}
	if l.confirmed && !l.confirmationDelivered && replica.Sequence() >= l.status.GetSequence() {
		apply.Confirmed = true
		attempt.confirmed = true
		pending = true
	}
	if !pending {
		return nil, deliveryAttempt{}
	}
	return apply, attempt
}

// addStateUpdate adds the changes that the proxy lacks, or a repair if the changes are no longer available or the proxy
// cannot use changes, and reports whether the proxy lacks any change.
func (l *proxyLink) addStateUpdate(apply *pb.ApplyRequest, replica *gossip.Replica) bool {
	if replica.Sequence() <= l.status.GetSequence() {
		return false
	}
	changes, available := replica.ChangesSince(l.status.GetSequence())
	if available && l.status.GetDigests() == nil {
		apply.Changes = changes
	} else {
		apply.Repair = replica.Snapshot().RepairFor(l.status.GetDigests())
	}
	return true
}

// quotaMembersDue reports whether the proxy lacks the current quota members and minQuotaMembersInterval allows sending
// them.
func (l *proxyLink) quotaMembersDue(now time.Duration, members *membership) bool {
	if !members.received || proto.Equal(l.status.GetShares(), members.quotaMembers.GetVersion()) {
		return false
	}
	return l.quotaMembersDeliveredAt == 0 || now >= l.quotaMembersDeliveredAt+minQuotaMembersInterval
}

// handleDone processes the result of an exchange, and reports whether the exchange discovered another proxy process.
func (l *proxyLink) handleDone(now time.Duration, done proxyCallDone) (discovered bool) {
	l.inFlight = false
	if done.err != nil {
		l.handleFailure(now, done.err)
		return false
	}
	discovered = done.status.GetIncarnation() != l.status.GetIncarnation() || l.status == nil
	l.status = done.status
	l.reachable = true
	l.connectionRefused = false
	l.nextExchange = now + l.interval()
	if discovered {
		l.discoveredAt = now
		l.confirmed = false
		l.confirmationDelivered = false
		l.quotaMembersDeliveredAt = 0
		l.lastAttempt = deliveryAttempt{}
		return true
	}
	if done.call.apply.GetQuotaMembers() != nil {
		l.quotaMembersDeliveredAt = now
	}
	l.confirmationDelivered = l.confirmationDelivered || done.call.apply.GetConfirmed()
	return false
}

// interval returns the time between two exchanges while there is no update.
func (l *proxyLink) interval() time.Duration {
	if l.shuttingDown {
		return shutdownExchangeInterval
	}
	return exchangeInterval
}

func (l *proxyLink) handleFailure(now time.Duration, err error) {
	if l.reachable || l.unreachableSince == 0 {
		l.unreachableSince = now
	}
	l.reachable = false
	l.connectionRefused = errors.Is(err, syscall.ECONNREFUSED)
	l.lastAttempt = deliveryAttempt{}
	l.nextExchange = now + proxyRetryInterval
}

// lagging reports whether the proxy is reachable and has not reported all changes of the replica.
func (l *proxyLink) lagging(replica *gossip.Replica) bool {
	return l.reachable && replica.Sequence() > l.status.GetSequence()
}

// ready reports whether the proxy was reachable in the last exchange and reported that it accepts requests.
func (l *proxyLink) ready() bool { return l.reachable && l.status.GetReady() }

// confirm records that nothing newer than the replica is agreed, according to the response to a request sent at
// requestedAt. The confirmation is valid only for a proxy process first observed by requestedAt, since the response to
// an earlier request may be older than the state of that process.
func (l *proxyLink) confirm(requestedAt time.Duration) {
	if l.status != nil && requestedAt >= l.discoveredAt {
		l.confirmed = true
	}
}

// awaitsConfirmation reports whether the proxy is reachable and no request since its discovery has confirmed the state.
func (l *proxyLink) awaitsConfirmation() bool { return l.reachable && !l.confirmed }
