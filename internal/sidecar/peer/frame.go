// Package peer implements the channel between the sidecars of a fleet: frames in CBOR, sent in datagrams, or over streams if they
// are too long for a datagram. A frame may be lost either way. The package only transports frames and makes no decisions about
// their content.
//
// The channel is internal to a network that the operator trusts: it is neither encrypted nor authenticated.
// docs/design/fleet.md describes the design.
package peer

import (
	"errors"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"fieldrelay/internal/sidecar/member"
	"fieldrelay/internal/sidecar/quota"
	"fieldrelay/internal/sidecar/verdict"
	"fieldrelay/internal/sidecar/versionskew"
	"fieldrelay/internal/sidecar/view"
)

// The versions of the channel's protocol that this program supports. Two peers use the lower one of their highest versions.
const (
	Version    = 1
	MinVersion = 1
)

// Length limits, in bytes.
const (
	MaxDatagram = 1400      // longest frame in a datagram
	MaxFrame    = 256 << 10 // longest frame in a stream
)

// Frame is the unit that sidecars send to each other. A receiver ignores unknown fields.
type Frame struct {
	Version      uint8               `cbor:"1,keyasint"`            // highest protocol version that the sender supports
	MinVersion   uint8               `cbor:"2,keyasint"`            // lowest protocol version that the sender supports
	Fleet        string              `cbor:"3,keyasint"`            // name of the sender's fleet; frames of other fleets are rejected
	From         member.Record       `cbor:"4,keyasint"`            // the sender's record of itself
	Member       *member.Message     `cbor:"5,keyasint,omitempty"`  // message of package member
	View         *view.Message       `cbor:"6,keyasint,omitempty"`  // message of package view
	Stamp        *view.Stamp         `cbor:"7,keyasint,omitempty"`  // stamp of the sender's view, sent with an Ack
	Report       *quota.Report       `cbor:"8,keyasint,omitempty"`  // report from a holder of quota shares
	Grant        *quota.Grant        `cbor:"9,keyasint,omitempty"`  // grant to a holder of quota shares
	Suspensions  []verdict.Statement `cbor:"10,keyasint,omitempty"` // statements on suspended execute nodes
	TablesDigest uint64              `cbor:"11,keyasint,omitempty"` // digest of the sender's statements, sent with a Ping or Ack
	// Opinions are members' ratings of execute nodes.
	Opinions []verdict.Opinion `cbor:"12,keyasint,omitempty"`
	// Draining holds statements on draining execute nodes.
	Draining []verdict.Statement  `cbor:"13,keyasint,omitempty"`
	Rules    *versionskew.Message `cbor:"14,keyasint,omitempty"` // message of package versionskew
}

// The errors of Encode, Decode and Datagram.
var (
	ErrFleet   = errors.New("peer: frame from another fleet")
	ErrVersion = errors.New("peer: no common protocol version")
	ErrTooLong = errors.New("peer: frame too long")
)

// modes returns the CBOR modes for encoding and decoding frames.
var modes = sync.OnceValues(func() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err) // unreachable: the options are constant and valid
	}
	dec, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1 << 14, MaxMapPairs: 64,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
})

// Encode encodes a frame, without a length prefix. It sets the frame's versions.
func Encode(f Frame) ([]byte, error) {
	f.Version, f.MinVersion = Version, MinVersion
	enc, _ := modes()
	b, err := enc.Marshal(f)
	if err == nil && len(b) > MaxFrame {
		err = fmt.Errorf("%w: %d bytes", ErrTooLong, len(b))
	}
	return b, err
}

// Decode decodes a frame that was received by a member of the given fleet. With the errors ErrFleet and ErrVersion it also
// returns the decoded frame, so that the caller knows the sender.
func Decode(b []byte, fleet string) (Frame, error) {
	var f Frame
	if len(b) > MaxFrame {
		return f, ErrTooLong
	}
	_, dec := modes()
	if err := dec.Unmarshal(b, &f); err != nil {
		return Frame{}, fmt.Errorf("peer: decode frame: %w", err)
	}
	switch {
	case f.Version < MinVersion || f.MinVersion > Version:
		return f, fmt.Errorf("%w: sender supports %d to %d, this program %d to %d", ErrVersion, f.MinVersion, f.Version, MinVersion, Version)
	case f.Fleet != fleet:
		return f, ErrFleet
	}
	return f, f.From.Valid()
}
