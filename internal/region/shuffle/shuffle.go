// Package shuffle maintains a partial view of the agents: each agent knows a few neighbours that change over time, so
// that all agents together form one connected graph of bounded degree although no agent contacts all others.
//
// The exchange follows Cyclon (Voulgaris, Gavidia, van Steen, "CYCLON: Inexpensive Membership Management for
// Unstructured P2P Overlays", 2005): periodically a member swaps a sample of its view with its oldest neighbour. The
// protocol differs from Cyclon in three ways. Half of the slots prefer neighbours of the member's own region, and one
// slot is reserved for another region. A partner that answers stays a neighbour if there is a slot for it. Free slots
// are refilled from the members that the control machines know.
//
// A view is not a membership list: it shows neither which agents are live nor how many there are. The package does no
// I/O, reads no clock and starts no goroutine. docs/design/regional.md describes where views are used.
package shuffle

import (
	"math/rand/v2"
	"time"
)

const (
	// ViewSize is the number of neighbours in a full view (Cyclon's cache size). With more neighbours the graph stays
	// connected through more failures, but more exchanges are needed to refresh them.
	ViewSize = 8
	// ExchangeSize is the largest number of neighbours that one side sends in an exchange (Cyclon's shuffle length).
	// The initiator's own entry counts as one of them.
	ExchangeSize = 4
	// ExchangeInterval is the mean time between two exchanges that a member initiates.
	ExchangeInterval = 5 * time.Second

	// ownRegionSlots is the number of neighbours of the member's own region that are not evicted in favour of other
	// regions.
	ownRegionSlots = ViewSize / 2
	// otherRegionSlots is the number of neighbours of other regions that are not evicted in favour of the
	// member's own region.
	otherRegionSlots = 1
	// failureRetention is how long a member that failed is not inserted again, because samples of other members may
	// still contain it.
	failureRetention = 3 * ExchangeInterval
	// maxFailures bounds the number of failed members that are recorded.
	maxFailures = 64
	// maxCandidates bounds the number of members from the control machines that are recorded.
	maxCandidates = 1024
)

// Neighbour is the entry of one agent in the view of another.
type Neighbour struct {
	Host    string
	Address string // ip:port of the agent's peer service
	Zone    string
	Region  string
	Age     uint32 // number of exchanges since the agent itself sent this entry
}

// View is the partial view of one member. It is a state machine: Step takes an event and returns the actions that the
// caller must carry out. A view holds at most ViewSize neighbours without duplicates, and never its own member. It is
// not safe for concurrent use.
type View struct {
	self           Neighbour
	random         *rand.Rand
	neighbours     []Neighbour
	candidates     []Neighbour              // members from the control machines, used to refill free slots
	failedUntil    map[string]time.Duration // by host: end of the time in which samples from other members do not reinsert the host
	nextExchangeAt time.Duration
	started        bool
	pending        pendingExchange
}

// New returns an empty view that belongs to the member self.
func New(self Neighbour, random *rand.Rand) *View {
	self.Age = 0
	return &View{
		self:        self,
		random:      random,
		failedUntil: make(map[string]time.Duration),
	}
}

// Neighbours returns the current neighbours. The result is valid until the next Step and must not be modified.
func (v *View) Neighbours() []Neighbour { return v.neighbours }

// Step handles an event at time now of a monotonic clock, and returns the resulting actions.
func (v *View) Step(now time.Duration, event Event) []Action {
	switch event := event.(type) {
	case Tick:
		return v.tick(now)
	case MembersReceived:
		v.receiveMembers(now, event.Members)
	case ExchangeRequested:
		return v.answerExchange(now, event)
	case ExchangeAnswered:
		v.finishExchange(now, event)
	case ExchangeFailed:
		v.removeFailed(now, event.Host)
	}
	return nil
}
