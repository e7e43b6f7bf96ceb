// Package head checks the head of an HTTP/1.1 response for what the parser of net/http accepts although the protocol
// does not: a status that is none, a field whose name has a blank, and a framing that can be read in two ways. Such a
// response is broken as a whole, since neither its meaning nor the end of its body is known.
//
// # Usage
//
//	rs, err := http.ReadResponse(br, rq)
//	if err == nil {
//		err = head.Check(rs, raw) // head.ErrMalformed for a broken response
//	}
package head

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is the error of a response that the protocol does not allow.
var ErrMalformed = errors.New("malformed response")

// Check checks the head of a response to a request that asked for no upgrade. raw begins with the head as received; what
// follows it is ignored.
func Check(rs *http.Response, raw []byte) error {
	if rs.ProtoMajor != 1 {
		return fmt.Errorf("%w: it is of version %q", ErrMalformed, rs.Proto)
	}
	if !IsInterim(rs.StatusCode) && !IsFinal(rs.StatusCode) {
		return fmt.Errorf("%w: its status is %03d", ErrMalformed, rs.StatusCode)
	}
	if err := CheckFields(rs.Header); err != nil {
		return err
	}
	return checkFraming(rs, raw)
}

// IsFinal reports whether a status is that of an answer.
func IsFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }

const maxStatus = 599

// IsInterim reports whether a status is that of a response that the answer follows. The one that switches protocols is
// none, as nothing asks for that.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// CheckFields checks the names and values of the fields of a head or a trailer. net/http keeps a name with a blank, so
// that nobody who looks for the field finds it.
func CheckFields(hd http.Header) error {
	for name, vals := range hd {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: the name of its field %q has a blank or a control byte", ErrMalformed, name)
		}
		for _, val := range vals {
			if !httpguts.ValidHeaderFieldValue(val) {
				return fmt.Errorf("%w: its field %s has a control byte", ErrMalformed, name)
			}
		}
	}
	return nil
}

// checkFraming checks that the fields of a head leave no doubt where its body ends. net/http removes those that it does
// not heed, so that they must be looked for in the bytes.
func checkFraming(rs *http.Response, raw []byte) error {
	encoded, sized := framingFields(raw)
	length := rs.Header.Get("Content-Length")
	switch {
	case encoded && sized:
		return fmt.Errorf("%w: it has both a length and a transfer encoding", ErrMalformed)
	case encoded && !rs.ProtoAtLeast(1, 1):
		return fmt.Errorf("%w: it has a transfer encoding in HTTP/1.0", ErrMalformed)
	case IsInterim(rs.StatusCode) && (encoded || length != "" && length != "0"):
		return fmt.Errorf("%w: an interim response announces a body", ErrMalformed)
	}
	return nil
}

// framingFields reports whether a head has a transfer encoding, and a length.
func framingFields(raw []byte) (encoded, sized bool) {
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			break
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		encoded = encoded || bytes.EqualFold(name, []byte("Transfer-Encoding"))
		sized = sized || bytes.EqualFold(name, []byte("Content-Length"))
	}
	return encoded, sized
}
