// Package head checks the head of an HTTP/1.1 response for what the parser of net/http accepts although the protocol
// does not. Such a response is broken as a whole, since neither its meaning nor the end of its body is known.
//
// # Usage
//
//	rs, err := http.ReadResponse(br, rq)
//	if err == nil {
//		err = head.Check(rs) // head.ErrMalformed for a broken response
//	}
package head

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is the error of a response that the protocol does not allow.
var ErrMalformed = errors.New("malformed response")

// Check checks the head of a response to a request that asked for no upgrade.
func Check(rs *http.Response) error {
	if !IsInterim(rs.StatusCode) && !IsFinal(rs.StatusCode) {
		return fmt.Errorf("%w: its status is %03d", ErrMalformed, rs.StatusCode)
	}
	return CheckFields(rs.Header)
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
