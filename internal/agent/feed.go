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
	// feedPeriod is the time between two exchanges with the proxy when there is no news.
	feedPeriod = 250 * time.Millisecond
	// endingPeriod stands for feedPeriod while this agent has been told to end: it ends when the proxy has.
	endingPeriod = 50 * time.Millisecond
	// feedRetry is the wait before the next try while the proxy is gone.
	feedRetry = 50 * time.Millisecond
	// feedTimeout ends an exchange with the proxy.
	feedTimeout = 2 * time.Second
	// sharesPeriod is the shortest time between two sendings of shares that changed.
	sharesPeriod = time.Second
)

// feed brings the proxy beside this agent up to date.
type feed struct {
	inFlight    bool
	due         time.Duration // of the next exchange when there is no news
	status      *pb.ProxyStatus
	reachable   bool          // the last exchange succeeded
	goneSince   time.Duration // of the first failure in a row
	refused     bool          // nobody listened at the proxy's address in the last exchange
	ending      bool          // this agent has been told to end
	seenAt      time.Duration // when the proxy's incarnation was first heard of
	confirmed   bool          // the agreed view confirmed the state after seenAt
	toldConfirm bool
	sharesAt    time.Duration // when the proxy was told shares last; 0: not in its life
	last        attempt
}

// attempt is what an Apply carried last: sent in vain it isn't sent again at once.
type attempt struct {
	sequence  uint64
	list      *pb.ListVersion
	shares    uint64
	confirmed bool
	digests   bool
}

// next is the exchange that is due, nil if none is.
func (f *feed) next(now time.Duration, held *gossip.Replica, members *membership) *feedCall {
	if f.inFlight {
		return nil
	}
	if !f.reachable {
		return f.statusIfDue(now)
	}
	apply, tried := f.missing(now, held, members)
	if apply == nil {
		return f.statusIfDue(now)
	}
	if tried == f.last && now < f.due {
		return nil
	}
	f.inFlight = true
	f.last = tried
	apply.ProxyIncarnation = f.status.GetIncarnation()
	return &feedCall{apply: apply, attempt: tried}
}

func (f *feed) statusIfDue(now time.Duration) *feedCall {
	if now < f.due {
		return nil
	}
	f.inFlight = true
	return &feedCall{}
}

// missing is what the proxy lacks, nil if it lacks nothing. Nothing older than what the proxy holds is in it.
func (f *feed) missing(now time.Duration, held *gossip.Replica, members *membership) (*pb.ApplyRequest, attempt) {
	apply := &pb.ApplyRequest{}
	var tried attempt
	wanted := f.addState(apply, held)
	if wanted {
		tried.sequence = held.Sequence()
		tried.digests = f.status.GetDigests() != nil
	}
	if gossip.CompareVersions(held.ListVersion(), f.status.GetList()) > 0 {
		apply.List = held.List(now)
		tried.list = held.ListVersion()
		wanted = true
	}
	if f.sharesDue(now, members) {
		apply.Shares = members.shares
		tried.shares = members.shares.GetVersion().GetRevision()
		wanted = true
	}
	if f.confirmed && !f.toldConfirm && held.Sequence() >= f.status.GetSequence() {
		apply.Confirmed = true
		tried.confirmed = true
		wanted = true
	}
	if !wanted {
		return nil, attempt{}
	}
	return apply, tried
}

// addState adds the changes that the proxy lacks, or a repair if it can't use changes.
func (f *feed) addState(apply *pb.ApplyRequest, held *gossip.Replica) bool {
	if held.Sequence() <= f.status.GetSequence() {
		return false
	}
	changes, kept := held.Since(f.status.GetSequence())
	if kept && f.status.GetDigests() == nil {
		apply.Changes = changes
	} else {
		apply.Repair = held.Snapshot().RepairFor(f.status.GetDigests())
	}
	return true
}

func (f *feed) sharesDue(now time.Duration, members *membership) bool {
	if !members.known || proto.Equal(f.status.GetShares(), members.shares.GetVersion()) {
		return false
	}
	return f.sharesAt == 0 || now >= f.sharesAt+sharesPeriod
}

// done takes the end of an exchange and tells whether a proxy that was not known has been found.
func (f *feed) done(now time.Duration, done feedDone) (found bool) {
	f.inFlight = false
	if done.err != nil {
		f.failed(now, done.err)
		return false
	}
	found = done.status.GetIncarnation() != f.status.GetIncarnation() || f.status == nil
	f.status = done.status
	f.reachable = true
	f.refused = false
	f.due = now + f.period()
	if found {
		f.seenAt = now
		f.confirmed = false
		f.toldConfirm = false
		f.sharesAt = 0
		f.last = attempt{}
		return true
	}
	if done.call.apply.GetShares() != nil {
		f.sharesAt = now
	}
	f.toldConfirm = f.toldConfirm || done.call.apply.GetConfirmed()
	return false
}

// period is the time between two exchanges without news.
func (f *feed) period() time.Duration {
	if f.ending {
		return endingPeriod
	}
	return feedPeriod
}

func (f *feed) failed(now time.Duration, err error) {
	if f.reachable || f.goneSince == 0 {
		f.goneSince = now
	}
	f.reachable = false
	f.refused = errors.Is(err, syscall.ECONNREFUSED)
	f.last = attempt{}
	f.due = now + feedRetry
}

// lacksChanges tells whether changes are on their way to the proxy.
func (f *feed) lacksChanges(held *gossip.Replica) bool {
	return f.reachable && held.Sequence() > f.status.GetSequence()
}

// ready tells whether the proxy takes requests, as far as is known.
func (f *feed) ready() bool { return f.reachable && f.status.GetReady() }

// confirm notes that the agreed view holds nothing newer than this agent, as was asked at the time asked.
func (f *feed) confirm(asked time.Duration) {
	if f.status != nil && asked >= f.seenAt {
		f.confirmed = true
	}
}

// awaitsConfirmation tells whether no call since the proxy was found has confirmed the state.
func (f *feed) awaitsConfirmation() bool { return f.reachable && !f.confirmed }
