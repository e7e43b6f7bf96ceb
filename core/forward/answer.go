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
	"skylarkstand/core/retry"
)

// Answer is the answer of an exchange. It must be used by one goroutine at a time.
type Answer struct {
	jb  *job
	ctx context.Context
	at  *attempt
	// status and header are those of the first attempt of which the caller received something.
	status     int
	header     http.Header
	confidence int
	ev         *events
	// pending is the first chunk, which is read before the answer is accepted.
	pending []byte
	err     error
	// lastEventID is the id of the last event that the caller received.
	lastEventID string
	sentBytes   int
	// longestGap is the longest time between two events so far, across attempts, and lastEventAt
	// is when the last event arrived.
	longestGap  time.Duration
	lastEventAt time.Time
	progress    progress
	// refusedUntil is until when no other attempt is begun for a stream that makes no progress, since none could be.
	refusedUntil time.Time
	chunkBuf     []byte
	// held is what of the answer is in memory. bodyBytes counts the bytes of an answer that is not a stream.
	held      heldBuffer
	bodyBytes int
	done      bool
}

const (
	// bufferLimit is the size in bytes up to which an answer that is not a stream is buffered
	// until it is complete, so that one that breaks off can be retried and no truncated answer
	// reaches the caller.
	bufferLimit = 256 << 10
	// maxAnswerSize bounds an answer that is not a stream, in bytes.
	maxAnswerSize = 64 << 20
	// chunkSize is the maximum size in bytes of the chunks in which the rest of a larger answer
	// is passed on.
	chunkSize = 16 << 10
)

// newAnswer makes an attempt's reply the answer. It returns nil when the body breaks before
// anything of it can be passed on and another attempt may follow.
func (jb *job) newAnswer(ctx context.Context, at *attempt) *Answer {
	ans := &Answer{
		jb: jb, ctx: ctx, at: at, status: at.reply.Status, header: at.reply.Header,
		confidence: at.reply.Confidence, lastEventID: at.after, held: heldBuffer{budget: &jb.fw.buffers},
	}
	if jb.rt.Stream && isEventStream(at.reply) {
		ans.ev = newEvents(at.reply, &ans.held)
		ans.pending, ans.err = ans.nextEvent()
	} else {
		ans.pending, ans.err = ans.readBuffered()
	}
	if ans.err == nil || errors.Is(ans.err, io.EOF) {
		ans.recordFirstEvent()
		return ans
	}
	ans.held.release()
	at.recordFailure(ans.err)
	at.discard(lost)
	return nil
}

// recordFirstEvent updates the escalation policy with the time that the caller waited for its
// first event, less the prefill of its own prompt, which takes long for a long prompt even at an
// idle engine. At least half of the time counts: an entry that starts under load mistakes
// queueing for prefill time.
func (ans *Answer) recordFirstEvent() {
	jb, fw := ans.jb, ans.jb.fw
	if ans.ev == nil || len(jb.rt.Cascade) < 2 {
		return
	}
	fw.mu.Lock()
	defer fw.mu.Unlock()
	took := time.Since(jb.ex.Arrived)
	fw.escalationPolicy(jb.trafficClass()).ObserveWait(max(took-jb.prefillTime, took/2), jb.rt.TargetLatency)
}

// Status returns the HTTP status of the answer.
func (ans *Answer) Status() int { return ans.status }

// Header returns the header of the answer.
func (ans *Answer) Header() http.Header { return ans.header }

// tail returns the number of bytes after the last complete event of a stream, for the log.
func (ans *Answer) tail() int {
	if ans.ev == nil {
		return 0
	}
	return ans.ev.tail
}

// Stream reports whether the answer is an event stream, which is passed on event by event.
func (ans *Answer) Stream() bool { return ans.ev != nil }

// Length returns the length in bytes of an answer that is complete already, or -1.
func (ans *Answer) Length() int {
	if ans.ev == nil && errors.Is(ans.err, io.EOF) {
		return len(ans.pending)
	}
	return -1
}

// Next returns the next chunk of the answer: an event of a stream; of another answer what
// readBuffered read, then what readChunk reads. The answer is complete only when it ends with
// io.EOF.
func (ans *Answer) Next() ([]byte, error) {
	if ans.pending != nil {
		chunk := ans.pending
		ans.pending = nil
		ans.recordDelivered(chunk)
		return chunk, nil
	}
	if ans.err != nil {
		return nil, ans.finish(ans.err)
	}
	var chunk []byte
	var err error
	if ans.ev != nil {
		chunk, err = ans.nextEvent()
	} else {
		ans.held.release() // The caller has what readBuffered read.
		chunk, err = ans.readChunk()
	}
	if err != nil {
		return nil, ans.finish(err)
	}
	ans.recordDelivered(chunk)
	return chunk, nil
}

func (ans *Answer) recordDelivered(chunk []byte) {
	ans.sentBytes += len(chunk)
	if ans.ev != nil {
		ans.lastEventID = eventID(chunk, ans.lastEventID)
	}
}

// readBuffered reads an answer that is not a stream, up to bufferLimit or to what there is memory for.
func (ans *Answer) readBuffered() ([]byte, error) {
	const firstSize = 512
	data := make([]byte, 0, firstSize)
	for {
		if len(data) == cap(data) {
			size := min(2*cap(data), bufferLimit)
			if len(data) == size || !ans.held.grow(size) {
				ans.bodyBytes = len(data)
				return data, nil // More may follow; readChunk passes it on.
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := ans.at.reply.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case err == nil:
		case !errors.Is(err, io.EOF):
			return nil, err
		case !ans.at.isWhole(len(data) == 0):
			return nil, errNoEnd
		case len(data) == 0:
			return nil, io.EOF
		default:
			return data, io.EOF
		}
	}
}

var errLongAnswer = errors.New("the answer is longer than 64 MB")

func (ans *Answer) readChunk() ([]byte, error) {
	if ans.chunkBuf == nil {
		ans.chunkBuf = make([]byte, chunkSize)
	}
	for {
		n, err := ans.at.reply.Body.Read(ans.chunkBuf)
		if ans.bodyBytes += n; ans.bodyBytes > maxAnswerSize {
			return nil, errLongAnswer
		}
		switch {
		case n > 0:
			return ans.chunkBuf[:n], nil
		case errors.Is(err, io.EOF) && !ans.at.isWhole(false):
			return nil, errNoEnd
		case err != nil:
			return nil, err
		}
	}
}

// nextEvent returns the next complete event. When the stream breaks, it resumes at another upstream
// if that is allowed.
func (ans *Answer) nextEvent() ([]byte, error) {
	for {
		began := time.Now()
		chunk, err := ans.readEvent()
		if err == nil && !ans.progress.observe(chunk, time.Since(began)) {
			err = errNoProgress
		}
		if err == nil {
			if ans.ev.begun { // A comment before the first event is no sign of progress.
				ans.at.recordChunk()
			}
			ans.recordEventTime(time.Now())
			return chunk, nil
		}
		if errors.Is(err, io.EOF) {
			if ans.at.isWhole(false) {
				return nil, err
			}
			err = errNoEnd
		}
		ok := ans.resume(err)
		if ans.sentBytes > 0 {
			ans.jb.fw.meters.resumed(ok)
		}
		if !ok {
			return nil, err
		}
	}
}

// recordEventTime records when an event arrived.
func (ans *Answer) recordEventTime(now time.Time) {
	if !ans.lastEventAt.IsZero() {
		ans.longestGap = max(ans.longestGap, now.Sub(ans.lastEventAt))
	}
	ans.lastEventAt = now
}

// readEvent returns the next event of the current attempt. It cancels the attempt when the
// stream makes no progress for too long and another upstream can go on with it.
func (ans *Answer) readEvent() ([]byte, error) {
	if wait := stallTimeout(ans.jb.rt); wait > 0 {
		wait = max(wait-ans.progress.waited, time.Until(ans.refusedUntil))
		wd := &watchdog{at: ans.at, cause: errStalled, choose: ans.beginSuccessor}
		defer wd.start(wait)()
	}
	return ans.ev.next()
}

// resume continues a broken stream at another upstream, after the last event that the caller
// received. The broken attempt is discarded first: nothing of it may follow what the new one
// sends.
func (ans *Answer) resume(cause error) bool {
	jb := ans.jb
	switch {
	case ans.sentBytes == 0:
		return false // Nothing was passed on: a retry starts from the beginning.
	case jb.rt.Retry != core.Resumable || jb.disabled(mechanism.StreamResumption):
		jb.noRetryReason = "the route's streams are not resumed"
		return false
	case ans.ctx.Err() != nil:
		jb.noRetryReason = endReason(ans.ctx)
		return false
	}
	for ve := lost; jb.reserved != nil || jb.mayRetry(ans.ctx, retry.Resumption); {
		ans.at.recordFailure(cause)
		ans.at.discard(ve)
		at, fl := jb.nextAttempt(ans.ctx, ans.lastEventID)
		if fl != nil {
			return false
		}
		ve = at.run(ans.ctx)
		ans.at = at
		if (ve == taken || ve == unsure) && at.reply.Status == ans.status && isEventStream(at.reply) {
			event.Log(jb.fw.deps.Log, event.StreamResumed, "request", jb.ex.ID, "upstream", at.to.ID, "after", ans.lastEventID, "cause", cause.Error())
			ans.ev = newEvents(at.reply, &ans.held)
			ans.progress.restart()
			return true
		}
		cause = errors.New(at.reason)
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
		// The HTTP server may not have noticed the disconnect yet. Without this cancel, the
		// failure would count against the upstream.
		ans.at.cancel(nil)
		ve, code = lost, core.CodeCallerGone
		ans.at.recordFailure(err)
	default:
		ve, code = lost, endCode(ans.ctx)
		ans.at.recordFailure(err)
	}
	ans.at.end(ve)
	jb.fw.meters.ended(code, took)
	jb.fw.meters.answered(jb.service, ans.at.sent.Sub(jb.ex.Arrived), ans.at.began.Sub(jb.ex.Arrived))
	ans.log(code, took)
	return err
}

// errCallerGone ends an answer that its caller did not receive completely.
var errCallerGone = errors.New("the caller left before the end")

// Close cancels the answer if it has not ended, and frees its resources.
func (ans *Answer) Close() {
	if !ans.done {
		_ = ans.finish(errCallerGone)
	}
	if ans.at.reply != nil {
		ans.at.reply.Body.Close()
	}
	ans.at.cancel(nil)
	ans.held.release()
	ans.jb.end()
}
