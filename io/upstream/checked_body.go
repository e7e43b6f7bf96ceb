package upstream

import (
	"errors"
	"io"
	"net/http"

	"skylarkstand/io/head"
)

// checkedBody is the body of a response. It ends with io.EOF only if nothing shows that the response is broken.
type checkedBody struct {
	io.ReadCloser
	rs *http.Response
	co *conn
}

// Read implements io.Reader.
func (cb *checkedBody) Read(p []byte) (int, error) {
	n, err := cb.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if cause := cb.checkEnd(); cause != nil {
			return n, cause
		}
	}
	return n, err
}

// checkEnd returns why a response whose body has ended is broken.
//
// The kernel reports a reset to one call only. If that is the write of the request, the read of a response without
// framing sees nothing but the end of the connection.
func (cb *checkedBody) checkEnd() error {
	if endsWithConnection(cb.rs) && (!cb.co.endWrite() || cb.co.wasReset()) {
		return ErrBrokenOff
	}
	return head.CheckFields(cb.rs.Trailer)
}
