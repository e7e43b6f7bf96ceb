package execute

import (
	"errors"
	"io"

	"skylarkstand/core"
	"skylarkstand/core/claim"
)

// held is an answer that gives its slot back.
type held struct {
	core.Answer
	exit func()
}

// Close gives the attempt up and frees the slot.
func (he *held) Close() {
	he.Answer.Close()
	he.exit()
}

// stored is an answer that is whole in memory.
type stored struct {
	ans  claim.Answer
	read bool
	// replayOf is set when another attempt ran the operation. The caller gets
	// its answer, and the operation is charged once for both.
	replayOf core.AttemptID
}

func newStored(ans claim.Answer) *stored { return &stored{ans: ans} }

func newReplay(out claim.Outcome) *stored { return &stored{ans: out.Answer, replayOf: out.Attempt} }

func (st *stored) Next() ([]byte, error) {
	if st.read || len(st.ans.Body) == 0 {
		return nil, io.EOF
	}
	st.read = true
	return st.ans.Body, nil
}

func (st *stored) Usage() core.Usage   { return core.Usage{} }
func (st *stored) Status() int         { return st.ans.Status }
func (st *stored) ContentType() string { return st.ans.ContentType }
func (st *stored) Close()              {}

// ReplayOf implements [core.Answer].
func (st *stored) ReplayOf() core.AttemptID { return st.replayOf }

// readStored reads a whole answer.
func readStored(ans core.Answer, limit int) (claim.Answer, error) {
	var body []byte
	for {
		data, err := ans.Next()
		if errors.Is(err, io.EOF) {
			return claim.Answer{Status: ans.Status(), ContentType: ans.ContentType(), Body: body}, nil
		}
		if err != nil {
			return claim.Answer{}, err
		}
		if len(body)+len(data) > limit {
			return claim.Answer{}, &core.Failure{Code: core.CodeTooLarge, Ran: core.RanFailed, Message: "the service's answer is too large to be kept"}
		}
		body = append(body, data...)
	}
}
