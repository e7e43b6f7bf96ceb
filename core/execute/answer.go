package execute

import (
	"errors"
	"io"

	"skylarkstand/core"
	"skylarkstand/core/claim"
)

// slotAnswer is an answer that calls release when it is closed, to free its slot or to leave the
// exclusive gate.
type slotAnswer struct {
	core.Answer
	release func()
}

// Close aborts the attempt and calls release.
func (sa *slotAnswer) Close() {
	sa.Answer.Close()
	sa.release()
}

// storedAnswer is an answer that is completely in memory.
type storedAnswer struct {
	ans  claim.Answer
	read bool
	// replayOf is set if another attempt ran the operation. The caller gets that attempt's answer,
	// and the operation is charged once for both.
	replayOf core.AttemptID
}

func newStoredAnswer(ans claim.Answer) *storedAnswer { return &storedAnswer{ans: ans} }

func newReplayAnswer(out claim.Outcome) *storedAnswer {
	return &storedAnswer{ans: out.Answer, replayOf: out.Attempt}
}

func (st *storedAnswer) Next() ([]byte, error) {
	if st.read || len(st.ans.Body) == 0 {
		return nil, io.EOF
	}
	st.read = true
	return st.ans.Body, nil
}

func (st *storedAnswer) Usage() core.Usage   { return core.Usage{} }
func (st *storedAnswer) Status() int         { return st.ans.Status }
func (st *storedAnswer) ContentType() string { return st.ans.ContentType }
func (st *storedAnswer) Close()              {}

// ReplayOf implements [core.Answer].
func (st *storedAnswer) ReplayOf() core.AttemptID { return st.replayOf }

// readAnswer reads a complete answer of at most limit bytes.
func readAnswer(ans core.Answer, limit int) (claim.Answer, error) {
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
