package agent

import (
	"context"
	"io"
	"sync"

	"github.com/hashicorp/yamux"

	"skylarkstand/core"
	"skylarkstand/core/event"
	"skylarkstand/core/meter"
	"skylarkstand/io/frame"
	"skylarkstand/io/head"
	protocol "skylarkstand/io/link"
)

// answer reads the response frames of one attempt.
type answer struct {
	ln    *link
	st    *yamux.Stream
	rd    *frame.Reader
	id    core.AttemptID
	ctx   context.Context
	stop  func() bool
	once  sync.Once
	first *frame.Frame

	usage    core.Usage
	status   int
	ctype    string
	replayOf core.AttemptID
}

func newAnswer(ctx context.Context, ln *link, st *yamux.Stream, id core.AttemptID) *answer {
	return &answer{
		ln: ln, st: st, rd: frame.NewReader(st), id: id, ctx: ctx,
		// When the caller disconnects, closing the stream makes the agent cancel the attempt.
		stop: context.AfterFunc(ctx, func() { st.Close() }),
	}
}

// awaitFirst waits for the first frame. A failure at this point becomes the error of Dispatch, so
// that another upstream can be tried.
func (an *answer) awaitFirst() error {
	fr, err := an.read()
	if err != nil {
		return err
	}
	switch body := fr.Body.(type) {
	case *frame.Frame_Failure:
		an.ln.recordState(body.Failure.State)
		return protocol.FailureFromFrame(body.Failure)
	case *frame.Frame_Chunk:
		an.first, an.status, an.ctype = fr, int(body.Chunk.Status), body.Chunk.ContentType
	}
	if !head.IsFinal(an.status) {
		return core.OutcomeUnknown("upstream %s began its answer without a status", an.ln.host.ID)
	}
	return nil
}

// read returns the next frame of this attempt.
//
// A frame of another attempt on this stream would deliver another caller's answer. It cannot happen
// while both sides follow the protocol; it is dropped and counted nevertheless, because nothing
// after this point could detect it.
func (an *answer) read() (*frame.Frame, error) {
	for {
		fr, err := an.rd.Read()
		if err != nil {
			if an.ctx.Err() != nil {
				return nil, &core.Failure{Code: core.CodeCallerGone, Ran: core.RanUnknown, Message: "the caller gave up or its deadline passed"}
			}
			return nil, core.OutcomeUnknown("the link to upstream %s was lost before the answer was whole", an.ln.host.ID)
		}
		if attemptOf(fr) == string(an.id) {
			return fr, nil
		}
		event.Log(an.ln.deps.Log, event.ForeignFrame, "upstream", an.ln.host.ID, "attempt", an.id)
		meter.ForeignFrames.Inc(an.ln.deps.Metrics)
	}
}

func attemptOf(fr *frame.Frame) string {
	switch body := fr.Body.(type) {
	case *frame.Frame_Chunk:
		return body.Chunk.Attempt
	case *frame.Frame_End:
		return body.End.Attempt
	case *frame.Frame_Failure:
		return body.Failure.Attempt
	default:
		return ""
	}
}

// Next implements [core.Answer].
func (an *answer) Next() ([]byte, error) {
	fr := an.first
	an.first = nil
	if fr == nil {
		var err error
		if fr, err = an.read(); err != nil {
			return nil, err
		}
	}
	switch body := fr.Body.(type) {
	case *frame.Frame_Chunk:
		return body.Chunk.Data, nil
	case *frame.Frame_End:
		an.usage = core.Usage{Prompt: core.TokensWithin(body.End.PromptTokens), Generated: core.TokensWithin(body.End.GeneratedTokens)}
		an.replayOf = core.AttemptID(body.End.ReplayOf)
		an.ln.recordState(body.End.State)
		an.Close()
		return nil, io.EOF
	case *frame.Frame_Failure:
		an.ln.recordState(body.Failure.State)
		fl := protocol.FailureFromFrame(body.Failure)
		if fl.Ran == core.NotRun { // What has answered has run.
			return nil, core.OutcomeUnknown("upstream %s refused the attempt after it had begun its answer", an.ln.host.ID)
		}
		return nil, fl
	default:
		return nil, core.OutcomeUnknown("upstream %s sent an unknown frame", an.ln.host.ID)
	}
}

// Usage implements [core.Answer].
func (an *answer) Usage() core.Usage { return an.usage }

// ReplayOf returns, once Next has returned io.EOF, the earlier attempt whose stored answer this is,
// or an empty id.
func (an *answer) ReplayOf() core.AttemptID { return an.replayOf }

// Status implements [core.Answer].
func (an *answer) Status() int { return an.status }

// ContentType implements [core.Answer].
func (an *answer) ContentType() string { return an.ctype }

// Close implements [core.Answer].
func (an *answer) Close() {
	an.once.Do(func() {
		an.stop()
		an.st.Close()
		an.ln.ownInFlight.Add(-1)
	})
}
