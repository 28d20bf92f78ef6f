package view

// Kind is what a message is.
type Kind uint8

// The kinds.
const (
	Query        Kind = iota + 1 // what do you know?
	QueryReply                   // an answer to Ask, Found and Begin
	FoundRequest                 // do you promise to join the group of this era?
	FoundPromise                 // yes, under this identity
	FoundCommit                  // the group is founded
	Invite                       // take the place of a voter that stays away: draw an identity and ask
	Raft                         // of the engine
	Survey                       // what do you know of the voters? Asked before a group is founded in the place of a lost one
	SurveyReply                  // an answer to it
)

// Stamp says which view its sender has, and how long ago that was surely the newest. It goes with answers: only who
// asked knows from when on it counts.
type Stamp struct {
	ID  ID     `cbor:"1,keyasint"`
	Age uint64 `cbor:"2,keyasint,omitempty"` // microseconds, and 1; 0: not known
}

// Message passes between members.
type Message struct {
	Kind        Kind   `cbor:"1,keyasint"`
	Seq         uint64 `cbor:"2,keyasint,omitempty"` // of the asker
	Have        ID     `cbor:"3,keyasint,omitzero"`  // Ask: the view it has
	Voter       uint64 `cbor:"4,keyasint,omitempty"` // identity of a voter that belongs to no group; Raft: of the sender
	To          uint64 `cbor:"5,keyasint,omitempty"` // Raft: identity of the receiver
	Group       Group  `cbor:"6,keyasint,omitzero"`
	View        *View  `cbor:"7,keyasint,omitempty"` // Told: if it is not what the asker has
	Stamp       Stamp  `cbor:"8,keyasint,omitzero"`  // Told
	Leader      string `cbor:"9,keyasint,omitempty"` // Told: who leads the voters, as far as is known
	Raft        []byte `cbor:"10,keyasint,omitempty"`
	AfterSurvey bool   `cbor:"11,keyasint,omitempty"` // Found, Promise: after a survey
}
