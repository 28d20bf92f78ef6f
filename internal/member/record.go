package member

import (
	"errors"
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// State is what is believed of a process. At one incarnation the higher state counts.
type State uint8

// The states, in their order.
const (
	Alive   State = iota
	Suspect       // did not answer somebody; it can refute that
	Failed        // did not refute in time
	Left          // said that it goes
)

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

var stateNames = [...]string{"alive", "suspect", "failed", "left"}

// Bounds of what is taken from others.
const (
	MaxMembers    = 2048 // processes known at once, with those that failed or left
	MaxNameBytes  = 40   // bytes of a name
	MaxAddrBytes  = 64   // bytes of an address
	MaxZoneBytes  = 40   // bytes of a zone's name
	MaxReadsBytes = 128  // bytes of what it reads
	maxUpdates    = 6    // records in a datagram, so that it stays within 1,400 bytes
	maxQueued     = 4 * MaxMembers
)

// Record is what is known of a process.
type Record struct {
	Name        string `cbor:"1,keyasint"`
	Addr        string `cbor:"2,keyasint,omitempty"` // host:port, of datagrams and of streams
	Boot        uint64 `cbor:"3,keyasint,omitempty"` // of this start: the later of two starts has the higher one
	Incarnation uint64 `cbor:"4,keyasint,omitempty"` // only the process itself raises it
	// State is what is believed of it at that incarnation.
	State State `cbor:"5,keyasint,omitempty"`
	// SuspectedBy is who suspects it.
	SuspectedBy string `cbor:"6,keyasint,omitempty"`
	// Supersedes is the boot of another process of this name above which this one went: only who has heard of that
	// process can say so.
	Supersedes uint64 `cbor:"7,keyasint,omitempty"`
	Zone       string `cbor:"8,keyasint,omitempty"` // where it stands, by its own word
	// Reads is which formats of rules it reads, by its own word; empty: none.
	Reads string `cbor:"9,keyasint,omitempty"`
}

// Present tells whether the process belongs to those that are there.
func (r Record) Present() bool { return r.State <= Suspect }

// newer tells whether r overrules q, which is of the same name.
func (r Record) supersedes(q Record) bool {
	switch {
	case r.Incarnation != q.Incarnation:
		return r.Incarnation > q.Incarnation
	case r.Boot != q.Boot:
		return r.Boot > q.Boot
	}
	return r.State > q.State
}

// Valid tells what keeps a record from being taken.
func (r Record) Valid() error {
	switch {
	case r.Name == "" || len(r.Name) > MaxNameBytes || len(r.SuspectedBy) > MaxNameBytes:
		return fmt.Errorf("member: a name of %d bytes, 1 to %d are taken", len(r.Name), MaxNameBytes)
	case len(r.Addr) > MaxAddrBytes || len(r.Zone) > MaxZoneBytes || len(r.Reads) > MaxReadsBytes:
		return errors.New("member: address, zone or formats too long")
	case r.State > Left:
		return errors.New("member: unknown state")
	}
	return nil
}

func recordHash(r Record) uint64 {
	h := xxhash.Sum64String(r.Name) ^ bits.RotateLeft64(r.Boot, 17)
	h = (h ^ r.Incarnation) * 0x9e3779b97f4a7c15
	return h ^ h>>29
}
