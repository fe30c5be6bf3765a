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

// compressor compresses with a writer that it holds from the first write of a message to its end.
//
// A writer is large beside the heap of an idle instance, so that allocating one for each
// message would start a collection each time.
type compressor struct {
	to     io.Writer
	writer *gzip.Writer
}

// idleWriter holds a writer that is not in use.
var idleWriter = make(chan *gzip.Writer, 1)

func newCompressor() connect.Compressor { return &compressor{} }

// Reset begins a message that is written to w.
func (c *compressor) Reset(w io.Writer) {
	c.to = w
	if c.writer != nil {
		c.writer.Reset(w)
	}
}

// Write compresses p.
func (c *compressor) Write(p []byte) (int, error) {
	if c.writer == nil {
		c.writer = takeWriter()
		c.writer.Reset(c.to)
	}
	return c.writer.Write(p)
}

// Close ends the message and gives up the writer; a message without a write is empty.
func (c *compressor) Close() error {
	if c.writer == nil {
		return nil
	}
	err := c.writer.Close()
	select {
	case idleWriter <- c.writer:
	default:
	}
	c.writer = nil
	return err
}

// takeWriter returns a writer for speed, as instances may have a small share of a core.
func takeWriter() *gzip.Writer {
	select {
	case w := <-idleWriter:
		return w
	default:
	}
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
