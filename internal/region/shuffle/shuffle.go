// Package shuffle keeps a partial view of the agents: a few neighbours that change over time, so that all agents together
// form one connected graph of bounded degree though none of them has contact with all.
//
// The exchange follows Cyclon (Voulgaris, Gavidia, van Steen, "CYCLON: Inexpensive Membership Management for Unstructured
// P2P Overlays", 2005): now and then a member swaps a sample of its view with its oldest neighbour. Three things differ.
// Half of the slots prefer neighbours of the member's own region, and one is reserved for another region. A partner that
// answers stays a neighbour while there is a slot for it. Free slots are refilled from the members that control knows.
//
// A view is not a membership list: it says neither which agents are live nor how many there are. Nothing here does I/O,
// reads a clock or starts a goroutine. docs/design/regional.md says where the views are used.
package shuffle

import (
	"math/rand/v2"
	"time"
)

const (
	// ViewSize is the number of neighbours in a full view (Cyclon's cache size). More neighbours keep the graph connected
	// through more failures, and cost more exchanges to refresh.
	ViewSize = 8
	// ExchangeSize is the largest number of neighbours that one side sends in an exchange (Cyclon's shuffle length). The side
	// that begins counts itself.
	ExchangeSize = 4
	// ExchangeInterval is the mean time between two exchanges that a member begins.
	ExchangeInterval = 5 * time.Second

	// ownRegionSlots is the number of neighbours of the own region that are not evicted for others.
	ownRegionSlots = ViewSize / 2
	// otherRegionSlots is the number of neighbours of other regions that are not evicted for others.
	otherRegionSlots = 1
	// failureRetention is how long a member that failed is not inserted again because others still have it.
	failureRetention = 3 * ExchangeInterval
	// maxFailures bounds the failed members that are recorded.
	maxFailures = 64
	// maxCandidates bounds the members from control that are recorded.
	maxCandidates = 1024
)

// Neighbour is one agent as another one knows it.
type Neighbour struct {
	Host    string
	Address string // ip:port of its peer service
	Zone    string
	Region  string
	Age     uint32 // in exchanges since the agent itself sent this entry
}

// View is the partial view of one member. It is a state machine: Step takes an event and returns the actions that the
// caller has to carry out. A view holds at most ViewSize neighbours, none of them twice, and never its own member. It is not
// safe for concurrent use.
type View struct {
	self           Neighbour
	random         *rand.Rand
	neighbours     []Neighbour
	candidates     []Neighbour              // members from control, to refill free slots
	failedUntil    map[string]time.Duration // by host; until then others can't bring it back
	nextExchangeAt time.Duration
	started        bool
	pending        pendingExchange
}

// New returns an empty view of the member self.
func New(self Neighbour, random *rand.Rand) *View {
	self.Age = 0
	return &View{
		self:        self,
		random:      random,
		failedUntil: make(map[string]time.Duration),
	}
}

// Neighbours returns the present neighbours. The result is valid until the next Step and must not be changed.
func (v *View) Neighbours() []Neighbour { return v.neighbours }

// Step handles an event at the time now of a monotonic clock, and returns the actions that follow from it.
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
