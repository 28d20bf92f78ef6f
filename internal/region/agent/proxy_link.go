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
	// exchangeInterval is the time between two exchanges with the proxy while there is no update for it.
	exchangeInterval = 250 * time.Millisecond
	// shutdownExchangeInterval replaces exchangeInterval during the shutdown, which ends when the proxy has ended.
	shutdownExchangeInterval = 50 * time.Millisecond
	// proxyRetryInterval is the time between two attempts while the proxy is unreachable.
	proxyRetryInterval = 50 * time.Millisecond
	// exchangeTimeout is the time in which the response to an exchange has to start.
	exchangeTimeout = 2 * time.Second
	// minSharesInterval is the shortest time between two deliveries of quota shares.
	minSharesInterval = time.Second
)

// proxyLink keeps the proxy beside this agent up to date. One exchange at a time brings the proxy what its last status
// lacks, or requests its status when it lacks nothing.
type proxyLink struct {
	inFlight              bool
	nextExchange          time.Duration   // when there is no update
	status                *pb.ProxyStatus // the last one received; nil at first
	reachable             bool            // the last exchange succeeded
	unreachableSince      time.Duration   // time of the first failure in a row
	connectionRefused     bool            // nothing listened at the proxy's address in the last exchange
	shuttingDown          bool            // this agent is
	discoveredAt          time.Duration   // when the proxy process of status was first observed
	confirmed             bool            // a request to control sent after foundAt has confirmed the state
	confirmationDelivered bool
	sharesDeliveredAt     time.Duration // when this proxy process was last sent shares; 0: never
	lastAttempt           deliveryAttempt
}

// deliveryAttempt names what an Apply carries. What the proxy didn't apply isn't sent again before the next exchange is
// due; anything newer is sent at once.
type deliveryAttempt struct {
	sequence  uint64
	list      *pb.ListVersion
	shares    uint64
	confirmed bool
	digests   bool
}

// nextCall returns the call that is due, nil if none is.
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

// pendingUpdate returns what the proxy lacks, nil if it lacks nothing. It holds nothing that is older than what the
// proxy has reported.
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
	if l.sharesDue(now, members) {
		apply.QuotaMembers = members.shares
		attempt.shares = members.shares.GetVersion().GetRevision()
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

// addStateUpdate adds the changes that the proxy lacks, or a repair if it can't use changes, and reports whether it
// lacked any.
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

// sharesDue reports whether the proxy lacks the present quota shares and may be sent them.
func (l *proxyLink) sharesDue(now time.Duration, members *membership) bool {
	if !members.received || proto.Equal(l.status.GetShares(), members.shares.GetVersion()) {
		return false
	}
	return l.sharesDeliveredAt == 0 || now >= l.sharesDeliveredAt+minSharesInterval
}

// handleDone processes the result of an exchange and reports whether it has discovered another proxy process.
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
		l.sharesDeliveredAt = 0
		l.lastAttempt = deliveryAttempt{}
		return true
	}
	if done.call.apply.GetQuotaMembers() != nil {
		l.sharesDeliveredAt = now
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

// lagging reports whether changes are on their way to the proxy.
func (l *proxyLink) lagging(replica *gossip.Replica) bool {
	return l.reachable && replica.Sequence() > l.status.GetSequence()
}

// ready reports whether the proxy accepts requests, as far as is known.
func (l *proxyLink) ready() bool { return l.reachable && l.status.GetReady() }

// confirm records that nothing newer than the replica is agreed, according to the response to a request sent at
// requestedAt. It counts only for a proxy process that was first observed before that: an earlier response may be older
// than what the process has.
func (l *proxyLink) confirm(requestedAt time.Duration) {
	if l.status != nil && requestedAt >= l.discoveredAt {
		l.confirmed = true
	}
}

// awaitsConfirmation reports whether no request since the proxy was discovered has confirmed the state.
func (l *proxyLink) awaitsConfirmation() bool { return l.reachable && !l.confirmed }
