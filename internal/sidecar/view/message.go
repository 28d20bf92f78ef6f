package view

// Kind is the type of a message.
type Kind uint8

// The kinds of messages.
const (
	Query           Kind = iota + 1 // requests the receiver's view, lease age and voter group
	QueryReply                      // answers a Query
	FoundingRequest                 // requests a promise to join the group of an era
	FoundingReply                   // promises to join the group under an identity, or refuses and names the group that the sender knows
	FoundingCommit                  // announces that the group is founded
	Invite                          // requests that the receiver generate an identity and offer itself as a voter
	Raft                            // carries a message of the Raft engine
	Survey                          // requests the receiver's state as a voter and member, before a lost group is replaced
	SurveyReply                     // answers a Survey
)

// Stamp states which view its sender has, and how long ago that view was certainly the newest. Stamps are sent with answers
// only: the age counts from the time at which the request was sent, which only the requester knows.
type Stamp struct {
	ID  ID     `cbor:"1,keyasint"`
	Age uint64 `cbor:"2,keyasint,omitempty"` // age in microseconds, plus 1; 0: not known
}

// Message is a message between members.
type Message struct {
	Kind        Kind   `cbor:"1,keyasint"`
	Seq         uint64 `cbor:"2,keyasint,omitempty"`  // number of the request, chosen by the requester; of a founding message: the era
	Have        ID     `cbor:"3,keyasint,omitzero"`   // Query, FoundingReply: ID of the sender's view
	Voter       uint64 `cbor:"4,keyasint,omitempty"`  // identity of a voter without a group; Raft, SurveyReply: identity of the sender
	To          uint64 `cbor:"5,keyasint,omitempty"`  // Raft: identity of the receiver
	Group       Group  `cbor:"6,keyasint,omitzero"`   // group of voters that the sender knows; Raft: its era only
	View        *View  `cbor:"7,keyasint,omitempty"`  // QueryReply: the sender's view, if the requester has another; SurveyReply: the view without its members
	Stamp       Stamp  `cbor:"8,keyasint,omitzero"`   // QueryReply, SurveyReply: stamp of the sender's view
	Leader      string `cbor:"9,keyasint,omitempty"`  // in answers: name of the voters' leader; empty: not known
	Raft        []byte `cbor:"10,keyasint,omitempty"` // Raft: encoded message of the Raft engine
	AfterSurvey bool   `cbor:"11,keyasint,omitempty"` // FoundingRequest, FoundingReply: the founding follows a survey
}
