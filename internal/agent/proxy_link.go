package agent

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/gossip"
)

// Times of the feed.
const (
	// exchangeInterval is the time between two exchanges with the proxy when there is no news.
	exchangeInterval = 250 * time.Millisecond
	// shutdownExchangeInterval stands for exchangeInterval while this agent has been told to end: it ends when the proxy has.
	shutdownExchangeInterval = 50 * time.Millisecond
	// proxyRetryInterval is the wait before the next try while the proxy is gone.
	proxyRetryInterval = 50 * time.Millisecond
	// exchangeTimeout ends an exchange with the proxy.
	exchangeTimeout = 2 * time.Second
	// minSharesInterval is the shortest time between two sendings of shares that changed.
	minSharesInterval = time.Second
)

// feed brings the proxy beside this agent up to date.
type proxyLink struct {
	inFlight              bool
	nextExchange          time.Duration // of the next exchange when there is no news
	status                *pb.ProxyStatus
	reachable             bool          // the last exchange succeeded
	unreachableSince      time.Duration // of the first failure in a row
	connectionRefused     bool          // nobody listened at the proxy's address in the last exchange
	shuttingDown          bool          // this agent has been told to end
	foundAt               time.Duration // when the proxy's incarnation was first heard of
	confirmed             bool          // the agreed view confirmed the state after foundAt
	confirmationDelivered bool
	sharesDeliveredAt     time.Duration // when the proxy was told shares last; 0: not in its life
	lastAttempt           deliveryAttempt
}

// attempt is what an Apply carried last: sent in vain it isn't sent again at once.
type deliveryAttempt struct {
	sequence  uint64
	list      *pb.ListVersion
	shares    uint64
	confirmed bool
	digests   bool
}

// next is the exchange that is due, nil if none is.
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

// missing is what the proxy lacks, nil if it lacks nothing. Nothing older than what the proxy holds is in it.
func (l *proxyLink) pendingUpdate(now time.Duration, replica *gossip.Replica, members *membership) (*pb.ApplyRequest, deliveryAttempt) {
	apply := &pb.ApplyRequest{}
	var attempt deliveryAttempt
	pending := l.addStateUpdate(apply, replica)
	if pending {
		attempt.sequence = replica.Sequence()
		attempt.digests = l.status.GetDigests() != nil
	}
	if gossip.CompareVersions(replica.ListVersion(), l.status.GetList()) > 0 {
		apply.List = replica.List(now)
		attempt.list = replica.ListVersion()
		pending = true
	}
	if l.sharesDue(now, members) {
		apply.Shares = members.shares
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

// addStateUpdate adds the changes that the proxy lacks, or a repair if it can't use changes.
func (l *proxyLink) addStateUpdate(apply *pb.ApplyRequest, replica *gossip.Replica) bool {
	if replica.Sequence() <= l.status.GetSequence() {
		return false
	}
	changes, available := replica.Since(l.status.GetSequence())
	if available && l.status.GetDigests() == nil {
		apply.Changes = changes
	} else {
		apply.Repair = replica.Snapshot().RepairFor(l.status.GetDigests())
	}
	return true
}

func (l *proxyLink) sharesDue(now time.Duration, members *membership) bool {
	if !members.received || proto.Equal(l.status.GetShares(), members.shares.GetVersion()) {
		return false
	}
	return l.sharesDeliveredAt == 0 || now >= l.sharesDeliveredAt+minSharesInterval
}

// done takes the end of an exchange and tells whether a proxy that was not known has been found.
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
		l.foundAt = now
		l.confirmed = false
		l.confirmationDelivered = false
		l.sharesDeliveredAt = 0
		l.lastAttempt = deliveryAttempt{}
		return true
	}
	if done.call.apply.GetShares() != nil {
		l.sharesDeliveredAt = now
	}
	l.confirmationDelivered = l.confirmationDelivered || done.call.apply.GetConfirmed()
	return false
}

// period is the time between two exchanges without news.
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

// lagging tells whether changes are on their way to the proxy.
func (l *proxyLink) lagging(replica *gossip.Replica) bool {
	return l.reachable && replica.Sequence() > l.status.GetSequence()
}

// ready tells whether the proxy takes requests, as far as is known.
func (l *proxyLink) ready() bool { return l.reachable && l.status.GetReady() }

// confirm notes that the agreed view holds nothing newer than this agent, as was asked at the time asked.
func (l *proxyLink) confirm(requestedAt time.Duration) {
	if l.status != nil && requestedAt >= l.foundAt {
		l.confirmed = true
	}
}

// awaitsConfirmation tells whether no call since the proxy was found has confirmed the state.
func (l *proxyLink) awaitsConfirmation() bool { return l.reachable && !l.confirmed }
