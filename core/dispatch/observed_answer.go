package dispatch

import (
	"bytes"

	"skylarkstand/core"
)

// observedAnswer is an answer that calls a function when it has ended regularly, and that keeps a
// copy if it is to be rated.
type observedAnswer struct {
	core.Answer
	copied *bytes.Buffer
	// ended receives the copy, or nil if the answer is not to be rated or exceeds maxCopyBytes: a
	// truncated answer would get a bad rating.
	ended func(us core.Usage, text []byte)
}

// Next implements [core.Answer].
func (li *observedAnswer) Next() ([]byte, error) {
	data, err := li.Answer.Next()
	if li.copied != nil {
		if li.copied.Len()+len(data) > maxCopyBytes {
			li.copied = nil
		} else {
			li.copied.Write(data)
		}
	}
	if isEOF(err) && li.ended != nil {
		var text []byte
		if li.copied != nil {
			text = li.copied.Bytes()
		}
		li.ended(li.Usage(), text)
		li.ended = nil
	}
	return data, err
}
