package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/event"
	"skylarkstand/core/mechanism"
)

// Answer is an exchange's answer. It belongs to one goroutine.
type Answer struct {
	jb  *job
	ctx context.Context
	at  *attempt
	// status and header are those of the first attempt that the caller got
	// something of.
	status     int
	header     http.Header
	confidence int
	ev         *events
	// held is the first piece, which was read before the answer was accepted.
	held []byte
	err  error
	// last is the id of the last event that was passed on.
	last string
	sent int
	// pause is the longest time between two events so far, and heardAt when the
	// last one came, of any attempt.
	pause   time.Duration
	heardAt time.Time
	whole   []byte
	done    bool
}

const (
	// wholeLimit is the size up to which an answer in one piece is held until
	// it is whole, so that one that breaks off can be asked for again in place
	// of reaching the caller as a torso.
	wholeLimit = 256 << 10
	// pieceSize is what larger ones are passed on in.
	pieceSize = 16 << 10
)

// answer makes the attempt's reply the answer. It returns nil when the body
// breaks before anything of it can be passed on and another attempt may follow.
func (jb *job) answer(ctx context.Context, at *attempt) *Answer {
	ans := &Answer{
		jb: jb, ctx: ctx, at: at, status: at.reply.Status, header: at.reply.Header,
		confidence: at.reply.Confidence, last: at.after,
	}
	if jb.rt.Stream && at.reply.Status < http.StatusMultipleChoices {
		ans.ev = newEvents(at.reply.Body)
		ans.held, ans.err = ans.event()
	} else {
		ans.held, ans.err = ans.readWhole()
	}
	if ans.err == nil || errors.Is(ans.err, io.EOF) {
		ans.first()
		return ans
	}
	at.blame(ans.err)
	at.drop(lost)
	return nil
}

// first lets the choice of models learn how long the caller waited beyond the
// reading of its own prompt, which a long one takes at an idle engine too. Half of
// the time counts at least: an entry that starts under load takes waits for reading.
func (ans *Answer) first() {
	jb, fw := ans.jb, ans.jb.fw
	if ans.ev == nil || len(jb.rt.Cascade) < 2 {
		return
	}
	fw.mu.Lock()
	defer fw.mu.Unlock()
	took := time.Since(jb.ex.Arrived)
	fw.ladder(jb.lane()).Begun(max(took-jb.reading, took/2), jb.rt.Aim)
}

// Status is the HTTP status of the answer.
func (ans *Answer) Status() int { return ans.status }

// Header is the answer's header.
func (ans *Answer) Header() http.Header { return ans.header }

// Stream reports whether the answer comes in events that the caller waits for.
func (ans *Answer) Stream() bool { return ans.ev != nil }

// Length returns the length of an answer that is whole already, or -1.
func (ans *Answer) Length() int {
	if ans.ev == nil && errors.Is(ans.err, io.EOF) {
		return len(ans.held)
	}
	return -1
}

// Next returns the next piece. The answer is whole only when it ends with
// io.EOF.
func (ans *Answer) Next() ([]byte, error) {
	if ans.held != nil {
		piece := ans.held
		ans.held = nil
		ans.passed(piece)
		return piece, nil
	}
	if ans.err != nil {
		return nil, ans.finish(ans.err)
	}
	var piece []byte
	var err error
	if ans.ev != nil {
		piece, err = ans.event()
	} else {
		piece, err = ans.chunk()
	}
	if err != nil {
		return nil, ans.finish(err)
	}
	ans.passed(piece)
	return piece, nil
}

func (ans *Answer) passed(piece []byte) {
	ans.sent += len(piece)
	if ans.ev != nil {
		ans.last = eventID(piece, ans.last)
	}
}

// readWhole reads an answer that comes in one piece, up to its limit.
func (ans *Answer) readWhole() ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(ans.at.reply.Body, wholeLimit))
	switch {
	case err != nil:
		return nil, err
	case len(data) == wholeLimit:
		return data, nil // More may follow; it is passed on as it comes.
	case len(data) == 0:
		return nil, io.EOF
	default:
		return data, io.EOF
	}
}

func (ans *Answer) chunk() ([]byte, error) {
	if ans.whole == nil {
		ans.whole = make([]byte, pieceSize)
	}
	for {
		n, err := ans.at.reply.Body.Read(ans.whole)
		if n > 0 {
			return ans.whole[:n], nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// event returns the next whole event; when the stream breaks, it goes on
// elsewhere if it may.
func (ans *Answer) event() ([]byte, error) {
	for {
		piece, err := ans.read()
		if err == nil {
			ans.at.heard()
			ans.paused(time.Now())
			return piece, nil
		}
		if errors.Is(err, io.EOF) {
			return nil, err
		}
		ok := ans.resume(err)
		if ans.sent > 0 {
			ans.jb.fw.meters.resumed(ok)
		}
		if !ok {
			return nil, err
		}
	}
}

// paused notes when an event came.
func (ans *Answer) paused(now time.Time) {
	if !ans.heardAt.IsZero() {
		ans.pause = max(ans.pause, now.Sub(ans.heardAt))
	}
	ans.heardAt = now
}

// read returns the next event of the present attempt, within the time that a
// stream may be silent.
func (ans *Answer) read() ([]byte, error) {
	if wait := stall(ans.jb.rt); wait > 0 {
		at := ans.at
		ti := time.AfterFunc(wait, func() { at.cancel(errStalled) })
		defer ti.Stop()
	}
	return ans.ev.next()
}

// resume goes on with a broken stream at another upstream, after the last event
// that the caller has. Nothing of the broken attempt may follow what the new
// one sends, so that one is dropped first.
func (ans *Answer) resume(cause error) bool {
	jb := ans.jb
	switch {
	case ans.sent == 0:
		return false // Nothing was passed on: a new attempt begins anew.
	case jb.rt.Repeat != core.Resumable || jb.off(mechanism.Resumption):
		jb.noRepeat = "the route's streams are not resumed"
		return false
	case ans.ctx.Err() != nil:
		jb.noRepeat = reason(ans.ctx)
		return false
	}
	for ve := lost; jb.mayRepeat(ans.ctx); {
		ans.at.blame(cause)
		ans.at.drop(ve)
		at, fl := jb.begin(ans.last)
		if fl != nil {
			return false
		}
		ve = at.run(ans.ctx)
		ans.at = at
		if (ve == taken || ve == unsure) && at.reply.Status == ans.status {
			event.Log(jb.fw.deps.Log, event.StreamResumed, "request", jb.ex.ID, "upstream", at.to.ID, "after", ans.last, "cause", cause.Error())
			ans.ev = newEvents(at.reply.Body)
			return true
		}
		cause = errors.New(at.why)
	}
	return false
}

// finish ends the answer and logs it once.
func (ans *Answer) finish(err error) error {
	ans.err = err
	if ans.done {
		return err
	}
	ans.done = true
	jb := ans.jb
	took := time.Since(jb.ex.Arrived)
	ve, code := taken, core.Code("")
	switch {
	case errors.Is(err, io.EOF):
		if ans.status >= http.StatusInternalServerError {
			ve = failed
		}
	case errors.Is(err, errCallerGone):
		// The server may not have noticed yet. Without this the upstream would be
		// blamed for an answer that nobody wanted.
		ans.at.cancel(nil)
		ve, code = lost, core.CodeCallerGone
		ans.at.blame(err)
	default:
		ve, code = lost, endCode(ans.ctx)
		ans.at.blame(err)
	}
	ans.at.end(ve)
	jb.fw.meters.ended(code, took)
	jb.fw.meters.answered(jb.service, ans.at.sent.Sub(jb.ex.Arrived), ans.at.began.Sub(jb.ex.Arrived))
	ans.log(code, took)
	return err
}

// errCallerGone ends an answer that its caller did not wait for.
var errCallerGone = errors.New("the caller left before the end")

// Close gives the answer up if it has not ended.
func (ans *Answer) Close() {
	if !ans.done {
		_ = ans.finish(errCallerGone)
	}
	if ans.at.reply != nil {
		ans.at.reply.Body.Close()
	}
	ans.at.cancel(nil)
	ans.jb.cancel()
}
