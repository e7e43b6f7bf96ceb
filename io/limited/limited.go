// Package limited reads what a peer sends up to a limit, so that one that never stops sending cannot
// exhaust the memory of the process.
//
// # Usage
//
//	raw, err := limited.ReadAll(rs.Body, limited.MaxMessage) // limited.ErrTooLong beyond the limit
package limited

import (
	"encoding/json"
	"errors"
	"io"
)

const (
	// MaxMessage is the default limit in bytes of a whole message, such as a page of the store or a list
	// of hosts. The platform's values have up to a megabyte, its pages some hundred items.
	MaxMessage = 16 << 20
	// MaxHeader is the limit in bytes of a peer's header.
	MaxHeader = 64 << 10
)

// ErrTooLong is the error of a message that is longer than its limit.
var ErrTooLong = errors.New("the message is longer than its limit")

// ReadAll reads until io.EOF, or returns [ErrTooLong] once more than limit bytes have arrived.
func ReadAll(rd io.Reader, limit int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(rd, limit+1))
	if err == nil && int64(len(raw)) > limit {
		return nil, ErrTooLong
	}
	return raw, err
}

// DecodeJSON decodes a message of up to [MaxMessage] bytes into out.
func DecodeJSON(rd io.Reader, out any) error {
	raw, err := ReadAll(rd, MaxMessage)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, out)
}
