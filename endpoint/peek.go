package endpoint

import "net"

// peekReader reads a connection and can wait for its next bytes without handing them on.
type peekReader struct {
	nc     net.Conn
	buffer [peekBytes]byte
	start  int
	end    int
}

// peekBytes is the size of the first read of an answer.
const peekBytes = 4 << 10

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

// Read returns what is buffered, or reads on.
func (r *peekReader) Read(p []byte) (int, error) {
	if r.start == r.end {
		return r.nc.Read(p)
	}
	n := copy(p, r.buffer[r.start:r.end])
	r.start += n
	return n, nil
}
