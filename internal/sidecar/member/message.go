package member

// Kind is the type of a message.
type Kind uint8

// The kinds of messages.
const (
	Ping      Kind = iota + 1 // requests an Ack
	Ack                       // answers a Ping, directly or relayed for a PingReq
	PingReq                   // requests a Ping of Target on the sender's behalf
	Nack                      // answers a PingReq: Target was pinged and has not answered in time
	Gossip                    // carries updates only
	Sync                      // carries the sender's records and requests those of the receiver
	SyncReply                 // answers a Sync with the sender's records
)

// Message is a message between members. All kinds except Sync and SyncReply fit into a datagram.
type Message struct {
	Kind    Kind     `cbor:"1,keyasint"`
	Seq     uint64   `cbor:"2,keyasint,omitempty"` // number of the request, chosen by the requester
	To      string   `cbor:"3,keyasint,omitempty"` // Ping: name of the receiver; a process with another name does not answer
	Target  Record   `cbor:"4,keyasint,omitzero"`  // PingReq: the process to ping
	Digest  uint64   `cbor:"5,keyasint,omitempty"` // digest of the records of the processes present, see presentDigest
	Updates []Record `cbor:"6,keyasint,omitempty"` // records that the message carries
	// Partial is set in a SyncReply with a few records only: the requester should send its Sync to one of those processes.
	Partial bool `cbor:"7,keyasint,omitempty"`
}
