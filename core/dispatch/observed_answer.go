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
func (oa *observedAnswer) Next() ([]byte, error) {
	data, err := oa.Answer.Next()
	if oa.copied != nil {
		if oa.copied.Len()+len(data) > maxCopyBytes {
			oa.copied = nil
		} else {
			oa.copied.Write(data)
		}
	}
	if isEOF(err) && oa.ended != nil {
		var text []byte
		if oa.copied != nil {
			text = oa.copied.Bytes()
		}
		oa.ended(oa.Usage(), text)
		oa.ended = nil
	}
	return data, err
}
