package shuffle

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
