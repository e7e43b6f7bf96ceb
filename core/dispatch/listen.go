package dispatch

import (
	"bytes"

	"skylarkstand/core"
)

// listened is an answer that tells when it has ended whole, and that keeps a
// copy for its rating where one is wanted.
type listened struct {
	core.Answer
	copied *bytes.Buffer
	// ended gets the copy, or nil when none was wanted or the answer was too
	// long: a part of an answer would be rated as a bad one.
	ended func(us core.Usage, text []byte)
}

// Next implements [core.Answer].
func (li *listened) Next() ([]byte, error) {
	data, err := li.Answer.Next()
	if li.copied != nil {
		if li.copied.Len()+len(data) > maxCopied {
			li.copied = nil
		} else {
			li.copied.Write(data)
		}
	}
	if isEnd(err) && li.ended != nil {
		var text []byte
		if li.copied != nil {
			text = li.copied.Bytes()
		}
		li.ended(li.Usage(), text)
		li.ended = nil
	}
	return data, err
}
