package upstream

import (
	"errors"
	"io"

	"skylarkstand/io/limited"
)

const (
	// maxHeader bounds one header, in bytes.
	maxHeader = limited.MaxHeader
	// maxInterim is how many interim responses are skipped before a connection is closed.
	maxInterim = 8
	// maxSkippedBody bounds the body of a response to another request, in bytes.
	maxSkippedBody = 1 << 20
)

// ErrLongHeader is the cause if the header of a response does not end within its limit.
var ErrLongHeader = errors.New("the header of the response is too long")

// headReader reads a connection. While a header is read it fails once more than maxHeader bytes have arrived, since
// http.ReadResponse keeps all of one, and keeps what arrives for [head.Check].
type headReader struct {
	rd     io.Reader
	inHead bool
	left   int
	seen   []byte
	// err is the last error of a read while a header was read.
	err error
}

// begin begins a header of which some bytes have been read before.
func (hr *headReader) begin(buffered []byte) {
	hr.inHead, hr.left, hr.err = true, maxHeader, nil
	hr.seen = append(hr.seen[:0], buffered...)
}

// end ends the header and returns its bytes, and what has arrived of the body. They are valid until the next call of
// begin.
func (hr *headReader) end() []byte {
	hr.inHead = false
	seen := hr.seen
	if cap(seen) > readBufferSize {
		hr.seen = nil // Kept connections hold no more than a usual header.
	}
	return seen
}

// Read implements io.Reader.
func (hr *headReader) Read(p []byte) (int, error) {
	if !hr.inHead {
		return hr.rd.Read(p)
	}
	if hr.left == 0 {
		hr.err = ErrLongHeader
		return 0, hr.err
	}
	n, err := hr.rd.Read(p[:min(len(p), hr.left)])
	hr.left -= n
	hr.seen = append(hr.seen, p[:n]...)
	hr.err = err
	return n, err
}
