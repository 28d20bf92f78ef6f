// Package packing compresses large news of the control state. A control machine packs what many agents lack once for all
// of them, and agents pass it on as it came: a change of a thousand routes is a tenth as long packed, and the links
// of the machines that it has to reach are narrow.
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
	// MinSize is the size in bytes from which on news is worth packing.
	MinSize = 4 << 10
	// MaxSize bounds the size in bytes of news that is unpacked.
	MaxSize = 64 << 20
	// maxInflation bounds how much longer data is than its DEFLATE form: a match of 258 bytes takes two bits or more.
	maxInflation = 1032
)

// MalformedError refuses packed news that can't be used.
type MalformedError struct {
	Base, Sequence uint64
	Reason         string
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("packed news from %d to %d: %s", e.Base, e.Sequence, e.Reason)
}

// pack compresses encoded news.
func pack(key Key, encoded []byte) *pb.PackedNews {
	var deflated bytes.Buffer
	writer, err := flate.NewWriter(&deflated, flate.BestSpeed)
	if err != nil {
		panic(errors.Wrap(err, "packing: the level of compression")) // it is a constant of the library
	}
	// Writing to memory doesn't fail.
	_, _ = writer.Write(encoded)
	_ = writer.Close()
	return &pb.PackedNews{
		Base:     key.Base,
		Sequence: key.Sequence,
		Size:     uint32(len(encoded)),
		Deflated: deflated.Bytes(),
		Repairs:  key.Whole || key.Digests != 0,
		Whole:    key.Whole,
	}
}

// Unpack gives the news back. The error is a *MalformedError if that is not possible.
func Unpack(packed *pb.PackedNews) (*pb.StateNews, error) {
	size := int(packed.GetSize())
	if size > MaxSize {
		return nil, malformed(packed, fmt.Sprintf("%d bytes are more than %d", size, MaxSize))
	}
	encoded := make([]byte, 0, min(size, maxInflation*len(packed.GetDeflated())))
	reader := flate.NewReader(bytes.NewReader(packed.GetDeflated()))
	buffer := bytes.NewBuffer(encoded)
	read, err := io.Copy(buffer, io.LimitReader(reader, int64(size)+1))
	if err != nil {
		return nil, malformed(packed, err.Error())
	}
	if read != int64(size) {
		return nil, malformed(packed, fmt.Sprintf("it does not hold the %d bytes that it tells", size))
	}
	news := &pb.StateNews{}
	if err := proto.Unmarshal(buffer.Bytes(), news); err != nil {
		return nil, malformed(packed, err.Error())
	}
	return news, nil
}

func malformed(packed *pb.PackedNews, reason string) error {
	return &MalformedError{Base: packed.GetBase(), Sequence: packed.GetSequence(), Reason: reason}
}
