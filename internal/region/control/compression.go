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
	// minCompressedBytes is the minimum size of a delivery that is compressed. Compression reduces a configuration to
	// about a tenth of its size.
	minCompressedBytes = 16 << 10
)

// newCompressor returns a gzip compressor at the fastest level, which also uses little memory.
func newCompressor() connect.Compressor {
	compressor, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(errors.Wrap(err, "control: create a gzip writer at level BestSpeed")) // cannot fail: the level is valid
	}
	return compressor
}

func newDecompressor() connect.Decompressor { return &gzip.Reader{} }

// CompressedDeliveries lets the handler of control machines' messages read compressed requests. Its responses are empty
// and not compressed.
func CompressedDeliveries() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithCompression(gzipName, newDecompressor, newCompressor),
		connect.WithCompressMinBytes(math.MaxInt32),
	)
}

// compressedClient returns the options of a client that compresses large deliveries.
func compressedClient() connect.ClientOption {
	return connect.WithClientOptions(
		connect.WithAcceptCompression(gzipName, newDecompressor, newCompressor),
		connect.WithSendGzip(),
		connect.WithCompressMinBytes(minCompressedBytes),
	)
}

// plainClient returns the options of a client for machines that cannot read compressed deliveries.
func plainClient() connect.ClientOption { return connect.WithAcceptCompression(gzipName, nil, nil) }
