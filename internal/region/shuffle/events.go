package shuffle

// Event is an input of a View. The types below implement it.
type Event interface{ isEvent() }

// Tick reports that time has passed. The caller must send it several times in each ExchangeInterval.
type Tick struct{}

// MembersReceived holds the members that a control machine knows. They replace the members received earlier.
type MembersReceived struct{ Members []Neighbour }

// ExchangeRequested is an exchange initiated by another member. The resulting action holds the answer.
type ExchangeRequested struct {
	From   Neighbour
	Sample []Neighbour
}

// ExchangeAnswered is the partner's answer to an Exchange.
type ExchangeAnswered struct {
	From   Neighbour
	Sample []Neighbour
}

// ExchangeFailed reports that a member did not answer.
type ExchangeFailed struct{ Host string }

func (Tick) isEvent()              {}
func (MembersReceived) isEvent()   {}
func (ExchangeRequested) isEvent() {}
func (ExchangeAnswered) isEvent()  {}
func (ExchangeFailed) isEvent()    {}

// Action is an output of a View that the caller of Step must carry out.
type Action interface{ isAction() }

// Exchange sends a sample of the view to a neighbour. The caller reports the answer or the failure as an event.
type Exchange struct {
	To     Neighbour
	From   Neighbour // this member
	Sample []Neighbour
}

// ExchangeReply answers an ExchangeRequested with a sample of the view.
type ExchangeReply struct{ Sample []Neighbour }

func (Exchange) isAction()      {}
func (ExchangeReply) isAction() {}
