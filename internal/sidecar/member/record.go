package member

import (
	"errors"
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// State is the believed state of a process. Of two records with the same incarnation and boot, the one with the higher state
// takes precedence.
type State uint8

// The states, in ascending order of precedence.
const (
	Alive   State = iota
	Suspect       // did not answer a probe; may still refute the suspicion
	Failed        // did not refute the suspicion before its deadline
	Left          // announced its shutdown
)

var stateNames = [...]string{"alive", "suspect", "failed", "left"}

// String returns the state's name, as it is shown to operators.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Limits on data from other processes.
const (
	MaxMembers    = 2048 // maximum number of known processes, including those that failed or left
	MaxNameBytes  = 40   // maximum length of a process's name
	MaxAddrBytes  = 64   // maximum length of an address
	MaxZoneBytes  = 40   // maximum length of a zone's name
	MaxReadsBytes = 128  // maximum length of Record.Reads
)

// Record describes a process. It is part of the wire format.
type Record struct {
	Name string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint,omitempty"` // host:port, for datagrams and streams
	// Boot identifies the start of the process, see NewBoot.
	Boot uint64 `cbor:"3,keyasint,omitempty"`
	// Incarnation is increased only by the process itself, to refute what other processes report about it.
	Incarnation uint64 `cbor:"4,keyasint,omitempty"`
	// State is the believed state of the process in that incarnation.
	State State `cbor:"5,keyasint,omitempty"`
	// SuspectedBy is the name of a process that suspects the recorded process; empty unless the state is Suspect.
	SuspectedBy string `cbor:"6,keyasint,omitempty"`
	// Supersedes is the boot of another process of the same name, whose incarnation this process has exceeded. Only a process
	// that has received a record of the other process can set it.
	Supersedes uint64 `cbor:"7,keyasint,omitempty"`
	// Zone is the failure domain of the process, as reported by the process itself.
	Zone string `cbor:"8,keyasint,omitempty"`
	// Reads lists the formats of rules that the process reads, as reported by the process itself; empty: none.
	Reads string `cbor:"9,keyasint,omitempty"`
}

// Present reports whether the process counts as a member: its state is Alive or Suspect.
func (r Record) Present() bool { return r.State <= Suspect }

// supersedes reports whether r takes precedence over other, a record of the same name.
func (r Record) supersedes(other Record) bool {
	switch {
	case r.Incarnation != other.Incarnation:
		return r.Incarnation > other.Incarnation
	case r.Boot != other.Boot:
		return r.Boot > other.Boot
	}
	return r.State > other.State
}

// Valid returns an error if the record exceeds the limits on data from other processes.
func (r Record) Valid() error {
	switch {
	case r.Name == "" || len(r.Name) > MaxNameBytes || len(r.SuspectedBy) > MaxNameBytes:
		return fmt.Errorf("member: invalid record: Name or SuspectedBy has an invalid length: Name has %d bytes, 1 to %d are allowed", len(r.Name), MaxNameBytes)
	case len(r.Addr) > MaxAddrBytes || len(r.Zone) > MaxZoneBytes || len(r.Reads) > MaxReadsBytes:
		return errors.New("member: invalid record: address, zone or rule formats too long")
	case r.State > Left:
		return errors.New("member: invalid record: unknown state")
	}
	return nil
}

// recordHash returns a hash of a record's name, boot and incarnation. Digests of tables on different processes are compared, and
// are made of these hashes; the function is therefore part of the wire format.
func recordHash(r Record) uint64 {
	h := xxhash.Sum64String(r.Name) ^ bits.RotateLeft64(r.Boot, 17)
	h = (h ^ r.Incarnation) * 0x9e3779b97f4a7c15
	return h ^ h>>29
}
