package versionskew

import "fieldrelay/internal/sidecar/rules"

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	Draft          Kind = iota + 1 // to the leader: edition that is pushed at the sender, without a number
	Status                         // answers a Draft: phase of the edition
	Offer                          // requests a trial of an edition; each member forwards an offer once
	TrialReply                     // answers an Offer, to the leader
	ContentRequest                 // requests the content of an edition by its digest
	ContentReply                   // answers a ContentRequest
)

// Message is a message between the machines of two members.
type Message struct {
	Kind      Kind           `cbor:"1,keyasint"`
	Edition   *rules.Edition `cbor:"2,keyasint,omitempty"`  // Draft, Offer, ContentReply: the edition with its content
	Leader    string         `cbor:"3,keyasint,omitempty"`  // Offer: name of the member to reply to
	TrialID   uint64         `cbor:"4,keyasint,omitempty"`  // Offer, TrialReply: random number of the leader's trial
	Digest    string         `cbor:"5,keyasint,omitempty"`  // Status, TrialReply, ContentRequest: digest of the edition
	Trial     []byte         `cbor:"6,keyasint,omitempty"`  // TrialReply: the sender's decisions of the cases
	ReadError string         `cbor:"7,keyasint,omitempty"`  // TrialReply: why the sender cannot read the edition
	Phase     Phase          `cbor:"8,keyasint,omitempty"`  // Status: phase of the edition
	Number    uint64         `cbor:"9,keyasint,omitempty"`  // Status: number of the edition
	Reasons   []string       `cbor:"10,keyasint,omitempty"` // Status: reasons against the edition, as text
}
