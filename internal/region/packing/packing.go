// Package packing compresses large updates of the control state. A control machine compresses an update that many
// agents lack only once, and agents forward it in compressed form. Compression reduces a change of a thousand routes
// to about a tenth of its bytes, which matters because the links to the receiving machines are narrow.
//
// The package neither decides which updates an agent lacks nor applies them (see packages controlserver and gossip).
// docs/region/config-delivery.md, section "Time on the links", describes the savings.
package packing

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

const (
	// MinSize is the smallest size in bytes of an encoded update that is compressed.
	MinSize = 4 << 10
	// MaxSize is the largest size in bytes of an update that Decompress accepts.
	MaxSize = 64 << 20
	// maxInflation bounds the ratio of the size of data to the size of its DEFLATE form: a match of at most 258 bytes
	// takes at least two bits (RFC 1951).
	maxInflation = 1032
)

// MalformedError reports a compressed update that cannot be decompressed.
type MalformedError struct {
	Base, Sequence uint64 // sequences that the update declares
	Reason         string
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("decompress the update from sequence %d to %d: %s", e.Base, e.Sequence, e.Reason)
}

// compress returns the compressed form of an encoded update.
func compress(key Key, encoded []byte) *pb.CompressedUpdate {
	var deflated bytes.Buffer
	writer, err := flate.NewWriter(&deflated, flate.BestSpeed)
	if err != nil {
		panic(errors.Wrap(err, "packing: invariant broken: flate rejected the compression level BestSpeed"))
	}
	// Writes to a bytes.Buffer do not fail.
	_, _ = writer.Write(encoded)
	_ = writer.Close()
	return &pb.CompressedUpdate{
		Base:     key.Base,
		Sequence: key.Sequence,
		Size:     uint32(len(encoded)),
		Deflated: deflated.Bytes(),
		Repairs:  key.Complete || key.Digests != 0,
		Whole:    key.Complete,
	}
}

// Decompress returns the update in a compressed update. An error is a *MalformedError. Whatever size the update
// declares, Decompress allocates no more memory than the compressed bytes can expand to.
func Decompress(compressed *pb.CompressedUpdate) (*pb.StateUpdate, error) {
	size := int(compressed.GetSize())
	if size > MaxSize {
		return nil, malformed(compressed, fmt.Sprintf("declared size of %d bytes exceeds the limit of %d", size, MaxSize))
	}
	encoded := make([]byte, 0, min(size, maxInflation*len(compressed.GetDeflated())))
	reader := flate.NewReader(bytes.NewReader(compressed.GetDeflated()))
	buffer := bytes.NewBuffer(encoded)
	read, err := io.Copy(buffer, io.LimitReader(reader, int64(size)+1)) // one more byte, to detect a longer update
	if err != nil {
		return nil, malformed(compressed, err.Error())
	}
	if read != int64(size) {
		return nil, malformed(compressed, fmt.Sprintf("decompressed size differs from the declared %d bytes", size))
	}
	update := &pb.StateUpdate{}
	if err := proto.Unmarshal(buffer.Bytes(), update); err != nil {
		return nil, malformed(compressed, err.Error())
	}
	return update, nil
}

func malformed(compressed *pb.CompressedUpdate, reason string) error {
	return &MalformedError{Base: compressed.GetBase(), Sequence: compressed.GetSequence(), Reason: reason}
}
