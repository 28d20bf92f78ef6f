package skew

import (
	"fieldrelay/internal/rules"
)

// Kind is what a message is.
type Kind uint8

// The kinds.
const (
	Draft          Kind = iota + 1 // from who pushes, to the leader: the edition, without a number
	Status                         // back: how far it has come
	Offer                          // try this edition; passed on once by each
	TrialReply                     // what came of the trial, to the leader
	ContentRequest                 // who has the content of this digest?
	ContentReply                   // this is it
)

// Message passes between members.
type Message struct {
	Kind      Kind           `cbor:"1,keyasint"`
	Edition   *rules.Edition `cbor:"2,keyasint,omitempty"` // Draft, Offer, Have
	Leader    string         `cbor:"3,keyasint,omitempty"` // Offer: who is to be answered
	TrialID   uint64         `cbor:"4,keyasint,omitempty"` // Offer: of the leader's trial; Reading: the same
	Digest    string         `cbor:"5,keyasint,omitempty"` // Status, Want
	Trial     []byte         `cbor:"6,keyasint,omitempty"` // Reading: of who reads it
	ReadError string         `cbor:"7,keyasint,omitempty"` // Reading: why it cannot be read
	Phase     Phase          `cbor:"8,keyasint,omitempty"` // Status
	Number    uint64         `cbor:"9,keyasint,omitempty"` // Status
	Reasons   []string       `cbor:"10,keyasint,omitempty"`
}
