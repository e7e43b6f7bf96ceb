package upstream

import (
	"errors"
	"io"
	"slices"

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
	// left is the number of bytes that may still arrive, seen are those that have, and err is the error of the last read.
	left int
	seen []byte
	err  error
}

// begin begins a header of which some bytes have been read before.
func (hr *headReader) begin(buffered []byte) {
	hr.inHead, hr.left, hr.err = true, maxHeader, nil
	hr.seen = slices.Clone(buffered)
}

// end ends the header and returns its bytes, and what has arrived of the body.
func (hr *headReader) end() []byte {
	seen := hr.seen
	hr.inHead, hr.seen = false, nil // An idle connection holds nothing of its last header.
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
