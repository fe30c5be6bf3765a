package endpoint

import "net"

// peekReader reads from a connection and can wait for its next bytes without consuming them.
type peekReader struct {
	nc     net.Conn
	buffer [peekBufferSize]byte
	start  int
	end    int
}

// peekBufferSize is the maximum number of bytes that fill reads.
const peekBufferSize = 4 << 10

// fill waits until at least one byte is buffered.
func (r *peekReader) fill() error {
	if r.start < r.end {
		return nil
	}
	n, err := r.nc.Read(r.buffer[:])
	r.start = 0
	r.end = n
	if n > 0 {
		return nil
	}
	return err
}

// Read returns buffered bytes, or reads from the connection when none are buffered.
func (r *peekReader) Read(p []byte) (int, error) {
	if r.start == r.end {
		return r.nc.Read(p)
	}
	n := copy(p, r.buffer[r.start:r.end])
	r.start += n
	return n, nil
}
