// Package shuffle keeps a partial view of the agents: a few neighbours that change over time, so that the agents
// together form one connected graph of bounded degree though none of them talks to all.
//
// The exchange follows Cyclon: now and then a member swaps a sample of its view with its oldest neighbour. Half of
// the places prefer neighbours of the member's own region, one place is kept for another region. Members that do
// not answer are dropped. The machine does no I/O and reads no clock.
package shuffle

import (
	"math/rand/v2"
	"time"
)

const (
	// ViewSize is the number of neighbours in a full view.
	ViewSize = 8
	// ExchangeSize is the largest number of neighbours that one side tells the other in an exchange.
	ExchangeSize = 4
	// ExchangeInterval is the mean time between two exchanges that a member begins.
	ExchangeInterval = 5 * time.Second

	// ownRegionSlots is how many neighbours of the own region are kept while so many are known.
	ownRegionSlots = ViewSize / 2
	// otherRegionSlots is how many neighbours of other regions are kept while so many are known.
	otherRegionSlots = 1
	// failureRetention is how long a member that failed isn't taken in again on the word of others.
	failureRetention = 3 * ExchangeInterval
	// maxFailures bounds how many failed members are remembered.
	maxFailures = 64
	// maxReserve bounds how many members told by control are remembered.
	maxReserve = 1024
)

// Neighbour is one agent as others know it.
type Neighbour struct {
	Host    string
	Address string // ip:port of its peer service
	Zone    string
	Region  string
	Age     uint32 // in exchanges since the entry was made by the agent itself
}

// View is the partial view of one member. It is not safe for concurrent use.
type View struct {
	self           Neighbour
	random         *rand.Rand
	neighbours     []Neighbour
	reserve        []Neighbour              // members told by control
	failedUntil    map[string]time.Duration // when a failed host may be taken in again
	nextExchangeAt time.Duration            // time of the next exchange
	started        bool
	pending        pendingExchange
}

// New makes an empty view of the member self.
func New(self Neighbour, random *rand.Rand) *View {
	self.Age = 0
	return &View{
		self:        self,
		random:      random,
		failedUntil: make(map[string]time.Duration),
	}
}

// Neighbours are the present neighbours. The caller must not change the slice, and it is valid until the next Step.
func (v *View) Neighbours() []Neighbour { return v.neighbours }

// Step handles one event at the time now of a steady clock.
func (v *View) Step(now time.Duration, event Event) []Action {
	switch event := event.(type) {
	case Tick:
		return v.tick(now)
	case MembersReceived:
		v.receiveMembers(now, event.Members)
	case ExchangeRequested:
		return v.answerExchange(now, event)
	case Answered:
		v.finishExchange(now, event)
	case Failed:
		v.removeFailed(now, event.Host)
	}
	return nil
}
