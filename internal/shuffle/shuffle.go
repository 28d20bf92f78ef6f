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

// Event is something that a View is told.
type Event interface{ isEvent() }

// Tick tells that time has passed.
type Tick struct{}

// MembersReceived tells the members that control has heard of.
type MembersReceived struct{ Members []Neighbour }

// ExchangeRequested is another member's exchange; it is answered by an Answer.
type ExchangeRequested struct {
	From   Neighbour
	Sample []Neighbour
}

// Answered is the answer to an Exchange.
type Answered struct {
	From   Neighbour
	Sample []Neighbour
}

// Failed tells that a member didn't answer.
type Failed struct{ Host string }

func (Tick) isEvent()              {}
func (MembersReceived) isEvent()   {}
func (ExchangeRequested) isEvent() {}
func (Answered) isEvent()          {}
func (Failed) isEvent()            {}

// Action is something that the caller of Step has to do.
type Action interface{ isAction() }

// Exchange sends a sample to a neighbour. Its answer comes back as Answered, its failure as Failed.
type Exchange struct {
	To     Neighbour
	From   Neighbour
	Sample []Neighbour
}

// Answer answers a Requested.
type Answer struct{ Sample []Neighbour }

func (Exchange) isAction() {}
func (Answer) isAction()   {}

// View is the partial view of one member. It is not safe for concurrent use.
type View struct {
	self       Neighbour
	random     *rand.Rand
	neighbours []Neighbour
	reserve    []Neighbour              // members told by control
	failedUntil   map[string]time.Duration // when a failed host may be taken in again
	nextExchangeAt       time.Duration            // time of the next exchange
	started    bool
	pending    pendingExchange
}

// pendingExchange is the exchange that waits for its answer.
type pendingExchange struct {
	host string // empty: none
	sent []Neighbour
}

// New makes an empty view of the member self.
func New(self Neighbour, random *rand.Rand) *View {
	self.Age = 0
	return &View{
		self:     self,
		random:   random,
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

// tick begins an exchange when one is due.
func (v *View) tick(now time.Duration) []Action {
	if !v.started {
		v.started = true
		v.nextExchangeAt = now + time.Duration(v.random.Int64N(int64(ExchangeInterval)))
	}
	if now < v.nextExchangeAt {
		return nil
	}
	v.nextExchangeAt = now + v.jittered(ExchangeInterval)
	v.expireFailures(now)
	v.refill(now)
	return v.beginExchange()
}

// jittered is a random time between 4/5 and 6/5 of a period.
func (v *View) jittered(period time.Duration) time.Duration {
	fifth := int64(period / 5)
	return period - time.Duration(fifth) + time.Duration(v.random.Int64N(2*fifth))
}

// known remembers the members told by control and fills free places with them.
func (v *View) receiveMembers(now time.Duration, members []Neighbour) {
	reserve := make([]Neighbour, 0, min(len(members), maxReserve))
	for _, member := range members {
		if len(reserve) == maxReserve {
			break
		}
		if member.Host == v.self.Host || member.Address == "" {
			continue
		}
		reserve = append(reserve, member)
	}
	v.reserve = reserve
	v.refill(now)
}

// beginExchange takes the oldest neighbour out of the view and sends it a sample.
func (v *View) beginExchange() []Action {
	if len(v.neighbours) == 0 {
		return nil
	}
	oldest := 0
	for i := range v.neighbours {
		v.neighbours[i].Age++
		if v.neighbours[i].Age > v.neighbours[oldest].Age {
			oldest = i
		}
	}
	partner := v.neighbours[oldest]
	v.remove(oldest)
	sample := v.sample(ExchangeSize-1, partner.Host)
	v.pending = pendingExchange{host: partner.Host, sent: sample}
	return []Action{Exchange{To: partner, From: v.self, Sample: sample}}
}

// requested answers another member's exchange and takes in what it told.
func (v *View) answerExchange(now time.Duration, request ExchangeRequested) []Action {
	delete(v.failedUntil, request.From.Host)
	sample := v.sample(ExchangeSize, request.From.Host)
	caller := request.From
	caller.Age = 0
	received := append([]Neighbour{caller}, bounded(request.Sample)...)
	v.merge(now, received, sample)
	return []Action{Answer{Sample: sample}}
}

// answered takes in what the partner of the pending exchange told.
func (v *View) finishExchange(now time.Duration, answer Answered) {
	if answer.From.Host == "" || answer.From.Host != v.pending.host {
		return
	}
	sent := v.pending.sent
	v.pending = pendingExchange{}
	delete(v.failedUntil, answer.From.Host)
	v.merge(now, bounded(answer.Sample), sent)
	if v.hasRoomFor(answer.From) {
		partner := answer.From
		partner.Age = 0
		v.merge(now, []Neighbour{partner}, sent)
	}
	v.refill(now)
}

// failed drops a member that didn't answer.
func (v *View) removeFailed(now time.Duration, host string) {
	if v.pending.host == host {
		v.pending = pendingExchange{}
	}
	for i := range v.neighbours {
		if v.neighbours[i].Host == host {
			v.remove(i)
			break
		}
	}
	if len(v.failedUntil) < maxFailures {
		v.failedUntil[host] = now + failureRetention
	}
	v.refill(now)
}

// expireFailures forgets failures that are old.
func (v *View) expireFailures(now time.Duration) {
	for host, until := range v.failedUntil {
		if until <= now {
			delete(v.failedUntil, host)
		}
	}
}

// bounded cuts a sample to the size that a member may send.
func bounded(sample []Neighbour) []Neighbour {
	return sample[:min(len(sample), ExchangeSize)]
}
