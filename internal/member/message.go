package member

// Kind is what a message asks or tells.
type Kind uint8

// The kinds.
const (
	Ping      Kind = iota + 1 // answer me
	Ack                       // an answer to Ping, or passed on for a PingReq
	PingReq                   // ask Target for me
	Nack                      // I asked, it has not answered
	Gossip                    // nothing but records
	Sync                      // all that I know; tell me all that you know
	SyncReply                 // all that I know, as an answer
)

// Message passes between members. All kinds but Table and SyncReply fit a datagram.
type Message struct {
	Kind    Kind     `cbor:"1,keyasint"`
	Seq     uint64   `cbor:"2,keyasint,omitempty"` // of the asker
	To      string   `cbor:"3,keyasint,omitempty"` // Ping: who is meant; another process does not answer
	Target  Record   `cbor:"4,keyasint,omitzero"`  // PingReq: whom to ask
	Digest  uint64   `cbor:"5,keyasint,omitempty"` // of the records of those present
	Updates []Record `cbor:"6,keyasint,omitempty"`
	Partial bool     `cbor:"7,keyasint,omitempty"` // SyncReply: not all that I know, ask one of those named
}
