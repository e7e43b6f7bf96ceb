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

// headLimit fails once more than left bytes have been read; a negative left is no limit. It is set for
// each header: http.ReadResponse keeps all of one, however long.
type headLimit struct {
	rd   io.Reader
	left int
}

const noLimit = -1

// Read implements io.Reader.
func (hl *headLimit) Read(p []byte) (int, error) {
	if hl.left == 0 {
		return 0, ErrLongHeader
	}
	if hl.left > 0 {
		p = p[:min(len(p), hl.left)]
	}
	n, err := hl.rd.Read(p)
	if hl.left > 0 {
		hl.left -= n
	}
	return n, err
}
