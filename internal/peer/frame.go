// Package peer is the channel between sidecars: frames in CBOR, datagrams for
// what may be lost and streams for what is too long for one. It decides
// nothing. It is an internal channel on a network that the operator trusts:
// nothing in it is encrypted or signed.
package peer

import (
	"errors"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"fieldrelay/internal/member"
	"fieldrelay/internal/quota"
	"fieldrelay/internal/skew"
	"fieldrelay/internal/verdict"
	"fieldrelay/internal/view"
)

// The versions of the channel that this program speaks. Both sides speak the lower one of their highest.
const (
	Version    = 1
	MinVersion = 1
)

// Bounds, in bytes.
const (
	MaxDatagram = 1400
	MaxFrame    = 256 << 10
)

// Frame is what passes between two sidecars. Fields that a reader does not know are passed over.
type Frame struct {
	Version      uint8               `cbor:"1,keyasint"`            // the highest that the sender speaks
	MinVersion   uint8               `cbor:"2,keyasint"`            // the lowest that it reads
	Fleet        string              `cbor:"3,keyasint"`            // of another fleet nothing is taken
	From         member.Record       `cbor:"4,keyasint"`            // the sender, by its own word
	Member       *member.Message     `cbor:"5,keyasint,omitempty"`  // of the failure detector
	View         *view.Message       `cbor:"6,keyasint,omitempty"`  // of the agreement
	Stamp        *view.Stamp         `cbor:"7,keyasint,omitempty"`  // with an Ack: the sender's view
	Report       *quota.Report       `cbor:"8,keyasint,omitempty"`  // of a holder of parts of limits
	Grant        *quota.Grant        `cbor:"9,keyasint,omitempty"`  // to it
	Suspensions  []verdict.Statement `cbor:"10,keyasint,omitempty"` // on execute nodes
	TablesDigest uint64              `cbor:"11,keyasint,omitempty"` // with a Ping and an Ack: the digest of the sender's words
	// Opinions are what members think of execute nodes.
	Opinions []verdict.Opinion `cbor:"12,keyasint,omitempty"`
	// Draining are words on execute nodes that drain.
	Draining []verdict.Statement `cbor:"13,keyasint,omitempty"`
	Rules    *skew.Message       `cbor:"14,keyasint,omitempty"` // of the checker of rules
}

// What keeps a frame from being taken.
var (
	ErrFleet   = errors.New("peer: of another fleet")
	ErrVersion = errors.New("peer: no version in common")
	ErrTooLong = errors.New("peer: frame too long")
)

var modes = sync.OnceValues(func() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	dec, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1 << 14, MaxMapPairs: 64,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
})

// Encode is a frame's bytes, without a length. The version fields are filled in.
func Encode(f Frame) ([]byte, error) {
	f.Version, f.MinVersion = Version, MinVersion
	enc, _ := modes()
	b, err := enc.Marshal(f)
	if err == nil && len(b) > MaxFrame {
		err = fmt.Errorf("%w: %d bytes", ErrTooLong, len(b))
	}
	return b, err
}

// Decode reads a frame for a member of fleet. A frame of another fleet or version gives its sender with the error.
func Decode(b []byte, fleet string) (Frame, error) {
	var f Frame
	if len(b) > MaxFrame {
		return f, ErrTooLong
	}
	_, dec := modes()
	if err := dec.Unmarshal(b, &f); err != nil {
		return Frame{}, fmt.Errorf("peer: not a frame: %w", err)
	}
	switch {
	case f.Version < MinVersion || f.MinVersion > Version:
		return f, fmt.Errorf("%w: %d to %d, here %d to %d", ErrVersion, f.MinVersion, f.Version, MinVersion, Version)
	case f.Fleet != fleet:
		return f, ErrFleet
	}
	return f, f.From.Valid()
}
