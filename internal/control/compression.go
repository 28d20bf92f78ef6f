package control

import (
	"compress/gzip"
	"io"
	"math"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

const (
	gzipName = "gzip"
	// compressFrom is the size in bytes from which on a delivery is compressed: configurations shrink to a tenth.
	compressFrom = 16 << 10
)

// newCompressor makes one that is quick and keeps little memory.
func newCompressor() connect.Compressor {
	compressor, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(errors.Wrap(err, "control: the level of compression")) // it is a constant of the library
	}
	return compressor
}

func newDecompressor() connect.Decompressor { return &gzip.Reader{} }

// CompressedDeliveries lets a handler of control machines' messages read compressed ones. Its own answers are empty.
func CompressedDeliveries() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithCompression(gzipName, newDecompressor, newCompressor),
		connect.WithCompressMinBytes(math.MaxInt32),
	)
}

// compressing are the options of a client whose large deliveries are compressed.
func compressing() connect.ClientOption {
	return connect.WithClientOptions(
		connect.WithAcceptCompression(gzipName, newDecompressor, newCompressor),
		connect.WithSendGzip(),
		connect.WithCompressMinBytes(compressFrom),
	)
}

// plain are the options of a client for machines that read no compressed deliveries.
func plain() connect.ClientOption { return connect.WithAcceptCompression(gzipName, nil, nil) }
