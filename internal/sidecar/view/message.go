package view

// Kind is what a message requests or answers.
type Kind uint8

// The kinds of messages.
const (
	Query           Kind = iota + 1 // requests what the receiver knows of views and voters
	QueryReply                      // answers a Query
	FoundingRequest                 // requests a promise to join the group of an era
	FoundingReply                   // promises to join it under an identity, or refuses with the group that the sender belongs to
	FoundingCommit                  // the group is founded
	Invite                          // requests the receiver to draw an identity and to offer itself in the place of an absent voter
	Raft                            // carries a message of the Raft engine
	Survey                          // requests what the receiver knows of the voters, before a lost group is replaced
	SurveyReply                     // answers a Survey
)

// Stamp says which view its sender has, and how long ago that was surely the newest. It goes with answers: only the
// requester knows from when on the age counts, which is when it sent its request.
type Stamp struct {
	ID  ID     `cbor:"1,keyasint"`
	Age uint64 `cbor:"2,keyasint,omitempty"` // microseconds, and 1; 0: not known
}

// Message passes between members.
type Message struct {
	Kind        Kind   `cbor:"1,keyasint"`
	Seq         uint64 `cbor:"2,keyasint,omitempty"` // number that the requester gave; of a founding: the era
	Have        ID     `cbor:"3,keyasint,omitzero"`  // Query, FoundingReply: the view that the sender has
	Voter       uint64 `cbor:"4,keyasint,omitempty"` // identity of a voter that belongs to no group; Raft, SurveyReply: of the sender
	To          uint64 `cbor:"5,keyasint,omitempty"` // Raft: identity of the receiver
	Group       Group  `cbor:"6,keyasint,omitzero"`
	View        *View  `cbor:"7,keyasint,omitempty"` // QueryReply: if it is not what the requester has
	Stamp       Stamp  `cbor:"8,keyasint,omitzero"`  // QueryReply, SurveyReply
	Leader      string `cbor:"9,keyasint,omitempty"` // QueryReply: name of the voters' leader, as far as is known
	Raft        []byte `cbor:"10,keyasint,omitempty"`
	AfterSurvey bool   `cbor:"11,keyasint,omitempty"` // FoundingRequest, FoundingReply: a survey has come before
}
