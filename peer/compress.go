package peer

import (
	"compress/gzip"
	"io"

	"connectrpc.com/connect"
)

const (
	// minCompressedBytes is the length of a message from which it is compressed; most heartbeats are shorter.
	minCompressedBytes = 1024
	compressionName    = "gzip"
)

// newCompressor returns a compressor for speed, as instances may have a small share of a core.
func newCompressor() connect.Compressor {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic("peer: " + err.Error())
	}
	return w
}

func newDecompressor() connect.Decompressor { return &gzip.Reader{} }

// handlerOptions returns the options of the handler of calls.
func handlerOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithCompression(compressionName, newDecompressor, newCompressor),
		connect.WithCompressMinBytes(minCompressedBytes),
	)
}

// clientOptions returns the options of the clients of peers.
func clientOptions() connect.ClientOption {
	return connect.WithClientOptions(
		connect.WithAcceptCompression(compressionName, newDecompressor, newCompressor),
		connect.WithSendCompression(compressionName),
		connect.WithCompressMinBytes(minCompressedBytes),
	)
}
