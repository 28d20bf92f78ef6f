package registry

import (
	"math/rand/v2"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Times of the duty of reading the platform's list. Each call to the platform has its price, and all control
// machines together stay far under its rate.
const (
	// PollInterval is the time between two readings of the list.
	PollInterval = time.Second

	// PollTimeout is the longest time from sending the first call of a reading to the whole receipt of its
	// last answer; a reading that took longer is thrown away.
	PollTimeout = 1500 * time.Millisecond

	// staleThreshold is the age of the news at which the next machine takes the duty over.
	staleThreshold = 2 * time.Second

	// rankDelay is how much longer each further machine waits for the one before it.
	rankDelay = 700 * time.Millisecond

	// maxJitter is added to every wait.
	maxJitter = 300 * time.Millisecond

	// introduction is the time after the start in which a machine that has no list only listens: whoever holds one
	// sends it at the first heartbeat.
	startupListenWindow = 60 * time.Millisecond

	// callsPerInitialPoll is the number of calls to the platform that the first reading of a machine may need: so many
	// machines read the list at once, right after the introduction, as the platform's rate allows for. A proxy
	// serves nothing without a list, and a call costs less than one request that is refused.
	callsPerInitialPoll = 10

	// initialPollStagger is how long the next machines wait for those before them to read the first list.
	initialPollStagger = 250 * time.Millisecond

	// minInitialRetryDelay is the shortest wait before a machine without a list tries again to read it; as much again is
	// added at random.
	minInitialRetryDelay = 300 * time.Millisecond

	// settling is the time after the start for which a machine waits for a list that another one says it holds, and
	// before which it does not take the duty over.
	startupGracePeriod = time.Second

	// preemptionDelay is how long a machine is the first in order, with another one in the duty, before it takes
	// the duty back.
	preemptionDelay = 3 * time.Second

	// maxTakeoverBackoff bounds the wait between failing readings of a machine that does not have the duty.
	maxTakeoverBackoff = 2 * time.Second

	// resendInterval is the shortest time between two sendings of the whole list to machines that lag.
	resendInterval = 500 * time.Millisecond

	// initialResendInterval stands for resendInterval if the machine that lags has no list at all: it has just started, after
	// the last sending, and the edge waits.
	initialResendInterval = 100 * time.Millisecond

	// initialEpochRange is the number of epochs out of which the first one is drawn.
	initialEpochRange = 1 << 32

	// rateDivisor is the part of the platform's rate (one call in so many) that the machine in the duty uses.
	rateDivisor = 3

	// partitionedRateDivisor is how much less of the rate a machine uses that does not hear most of the others: each part of a
	// core that is cut into many reads the list for itself.
	partitionedRateDivisor = 4
)

// ServerInventory is one control machine's part in keeping the list of servers: it merges lists of others and reads
// the platform's list itself while it has the duty. The first live machine in the agreed order has the duty,
// under an epoch higher than any that it has seen; lists under lower epochs are refused. When the news grows
// old, the next machines try in turn.
type ServerInventory struct {
	self   string
	rate   float64 // calls a second that the platform accepts from all machines
	random *rand.Rand

	current      *ServerList
	highestEpoch uint64 // epoch seen

	polling             bool
	nextPollAt          time.Duration
	consecutiveFailures int // in a row
	lastPages           int

	startedAt         time.Duration
	started           bool
	now               time.Duration // of the last step
	epochAnnounced    bool          // another control machine holds a list that has not come yet
	liveHosts         []string
	position          int           // in order if all machines were live
	partitioned       bool          // a majority is not heard
	firstInOrderSince time.Duration // since when this machine was the first in order and another one had the duty
	firstInOrder      bool
	jitter            time.Duration
	lastSentAt        time.Duration // when the whole list was last sent to the other control machines

	// fenced tells that another control machine holds a list above this machine's own.
	fencedByPeer bool
	// overtaken tells that an agent holds a list above this machine's own.
	newerVersionAtAgent bool
}

// NewServerInventory returns the inventory of the control machine named self. rate is the number of calls a second
// that the platform accepts, 0 if that is unknown.
func NewServerInventory(self string, rate float64, random *rand.Rand) *ServerInventory {
	inventory := &ServerInventory{self: self, rate: rate, random: random, lastPages: 1}
	inventory.drawJitter()
	return inventory
}

// Current is the newest list known, nil before the first.
func (i *ServerInventory) Current() *ServerList { return i.current }

// AdvertisedVersion is the version to tell the other control machines: the one held, or only an epoch, without a holder, if
// a higher one was seen, or if this machine has had the duty in vain: whoever can read the list then goes above it.
func (i *ServerInventory) AdvertisedVersion() *pb.ListVersion {
	if i.highestEpoch > i.current.Version().GetEpoch() || i.ownsStaleList(i.now) {
		return &pb.ListVersion{Epoch: i.highestEpoch}
	}
	return i.current.Version()
}

// SetRate changes the number of calls a second that the platform accepts.
func (i *ServerInventory) SetRate(rate float64) { i.rate = rate }

// Step takes an event and returns what is to be done.
func (i *ServerInventory) Step(now time.Duration, event Event) []Action {
	if !i.started {
		i.started = true
		i.startedAt = now
	}
	i.now = now
	switch event := event.(type) {
	case Tick:
		i.liveHosts, i.position, i.partitioned = event.LiveHosts, event.Position, event.Partitioned
		return i.tick(now)
	case PollDone:
		return i.finishPoll(now, event)
	case ListReceived:
		return i.receiveList(now, event.List)
	case VersionObserved:
		return i.observeVersion(now, event)
	}
	return nil
}
