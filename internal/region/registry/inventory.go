package registry

import (
	"math/rand/v2"
	"time"
)

// ServerInventory is the state machine by which one control machine takes part in maintaining the platform's server
// list: Step takes an event and returns the actions that the caller has to execute.
//
// Polling the platform is a singleton role: one machine, the owner, polls and sends the list to its peers. The owner is
// the first live machine in the order of the view. There is no lease. An owner publishes under an epoch above every
// epoch that it has observed, and lists of lower epochs are ignored, so the epoch acts as a fencing token against
// earlier owners. If the list is not confirmed in time, the next machines in order take over the role, one after
// another. Two machines may poll for a while; all machines then adopt the list of the higher version.
type ServerInventory struct {
	self   string
	rate   float64 // calls per second that the platform accepts from all machines together; 0: unknown
	random *rand.Rand

	startedAt time.Duration // time of the first step
	started   bool
	now       time.Duration // time of the last step

	// Fields of the last Tick.
	liveHosts   []string
	position    int
	partitioned bool

	// The current list, and knowledge of the versions of other machines.
	current        *ServerList   // newest list known; nil before the first list
	highestEpoch   uint64        // highest epoch observed, including this machine's own
	epochAnnounced bool          // a peer advertises a list, and this machine has not received any list yet
	fencedByPeer   bool          // a peer has a newer list than the one that this machine owns
	mustRaiseEpoch bool          // a higher version than this machine's outlived its owner; the next poll starts an epoch
	lastSentAt     time.Duration // time of the last send of the complete list

	// The singleton role.
	awaitsPreemption      bool          // this machine is the first in order, but not the owner
	awaitsPreemptionSince time.Duration // start of awaitsPreemption; valid only while that is set
	jitter                time.Duration // random part of the takeover delay, drawn again for each list

	// Polls.
	polling             bool // a poll is in flight
	nextPollAt          time.Duration
	consecutiveFailures int
	lastPages           int // number of calls of the last poll
}

// NewServerInventory returns the inventory of the control machine named self. rate is the number of calls per second
// that the platform accepts from all machines together, 0 if it is unknown.
func NewServerInventory(self string, rate float64, random *rand.Rand) *ServerInventory {
	inventory := &ServerInventory{self: self, rate: rate, random: random, lastPages: 1}
	inventory.drawJitter()
	return inventory
}

// Current returns the newest list known, nil before the first list.
func (i *ServerInventory) Current() *ServerList { return i.current }

// SetRate changes the number of calls per second that the platform accepts.
func (i *ServerInventory) SetRate(rate float64) { i.rate = rate }

// Step handles an event at the time now and returns the actions that follow from it, in order. The first step counts
// as the start of the process.
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

// setCurrent replaces the current list by a newer one and resets the flags about versions above the old list.
func (i *ServerInventory) setCurrent(list *ServerList) {
	i.current = list
	i.fencedByPeer = false
	i.mustRaiseEpoch = false
	i.drawJitter()
}
