package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/balance"
	"skylarkstand/core/canary"
	"skylarkstand/core/event"
	"skylarkstand/core/retry"
	"skylarkstand/core/suspect"
	"skylarkstand/core/warmup"
)

// attempt is one call of an upstream, from the choice of the upstream to the end of its answer.
type attempt struct {
	jb *job
	// number counts the request's attempts from 1.
	number int
	to     core.Host
	rq     balance.Request
	flight *balance.Flight
	// permit allows an attempt at a cold upstream; nil at a warm one.
	permit *warmup.Permit
	// trial allows an attempt of a confined request; nil for any other.
	trial *suspect.Permit
	sent  time.Time
	// after is the id of the event after which a stream is to be resumed; empty for the beginning.
	after string
	// left is the time limit that is sent to the upstream; bounded is false when there is no
	// limit.
	left    time.Duration
	bounded bool
	// othersAtStart counts the calls that were known at the upstream when the attempt was sent.
	othersAtStart int
	// queueRank is the request's rank in the upstream's queue.
	queueRank int
	// headerTimeout is the limit for the response header; 0 means no limit of its own.
	// prefillWait is the expected time until the upstream has prefilled the prompts in its queue
	// and this one.
	headerTimeout, prefillWait time.Duration

	ctx    context.Context
	cancel context.CancelCauseFunc
	reply  *core.Reply
	began  time.Time
	chunks int
	// lastChunkAt is when the last chunk of the answer arrived.
	lastChunkAt time.Time
	// reason is why the attempt yielded no usable answer, for the log.
	reason string
	// ended is set once the attempt has ended, with the verdict and the time that it took.
	ended   bool
	verdict verdict
	took    time.Duration
	// budgeted is the attempt in the retry budget; nil until it is sent. withheld is set when the budget
	// refused it just before that.
	budgeted *retry.Attempt
	withheld bool
	// confined is set if it was withheld since its request must not be sent now: it crashes upstreams, as other
	// attempts have shown meanwhile.
	confined bool
	// acquitted is set once the answer has shown that the request crashes nothing.
	acquitted bool
	// atEnd is whether the upstream accepted connections when an unframed answer had ended.
	atEnd core.ConnectionState
	// outcomeReported is set once the outcome was reported to the canary guard.
	outcomeReported atomic.Bool
}

// run calls the upstream and classifies the header of its answer.
func (at *attempt) run(ctx context.Context) verdict {
	at.ctx, at.cancel = context.WithCancelCause(ctx)
	defer at.watchOverdue()()
	call, stop := at.newCall(), at.watchHeader()
	re, err := at.jb.fw.client.Call(at.ctx, call)
	stop()
	if err != nil {
		return at.failedVerdict(err)
	}
	at.reply, at.began = re, time.Now()
	at.budgeted.Confirm(at.began)
	at.recordAlive(at.began)
	at.permit.Release(at.began)
	at.recordHeader()
	at.observePrefill()
	at.recordSignals()
	ve := classify(re)
	if ve == taken && re.Status < http.StatusMultipleChoices && at.jb.shouldEscalate(re) {
		ve = unsure
	}
	switch ve {
	case taken:
	case unsure:
		at.reason = fmt.Sprintf("confidence %d is below the threshold of %.0f", re.Confidence, at.jb.threshold)
	default:
		at.reason = fmt.Sprintf("status %d", re.Status)
	}
	return ve
}

// pool is the key under which the canary guard compares versions: only attempts of the same
// route and model are compared.
func (at *attempt) pool() string { return at.jb.rt.ID + "/" + string(at.rq.Model) }

// reportOutcome reports the attempt's outcome to the canary guard, the first time it is called.
func (at *attempt) reportOutcome(ou canary.Outcome) {
	if !at.outcomeReported.Swap(true) {
		at.observe(ou)
	}
}

func (at *attempt) observe(ou canary.Outcome) {
	ou.Service, ou.Version, ou.Pool = at.to.Service, at.to.Version, at.pool()
	ou.Elapsed = time.Since(at.sent)
	at.jb.fw.components.Canary.Observe(ou)
}

// minRateChunks is the number of chunks over which the rate of an answer is measured, so that a
// single late chunk does not matter.
const minRateChunks = 5

// recordChunk records the arrival of a chunk of a streamed answer, which is one event.
func (at *attempt) recordChunk() {
	now := time.Now()
	at.recordAlive(now)
	if at.chunks > 0 {
		at.jb.fw.meters.gaps.RecordDuration(now.Sub(at.lastChunkAt))
	}
	at.chunks++
	at.lastChunkAt = now
	if at.chunks == minRateChunks {
		ou := at.timing()
		ou.Streaming = true
		at.observe(ou)
	}
	fw := at.jb.fw
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.picker.RecordData(now, at.flight)
}

// observePrefill reports to the canary guard how long the header took, for what an engine is asked to prefill.
func (at *attempt) observePrefill() {
	if at.reply.NotRun || at.reply.WrongUpstream || at.reply.Status >= http.StatusMultipleChoices {
		return
	}
	fw := at.jb.fw
	fw.mu.Lock()
	ratio := fw.picker.PrefillRatio(at.flight, at.began.Sub(at.sent), at.reply.Load)
	fw.mu.Unlock()
	if ratio > 0 {
		at.observe(canary.Outcome{Streaming: true, PrefillRatio: ratio})
	}
}

func (at *attempt) newCall() *core.Call {
	jb := at.jb
	ca := &core.Call{
		Exchange: jb.ex, To: at.to, Workspace: jb.workspace, Model: at.rq.Model,
		ResumeAfter: at.after, Priority: at.queueRank, MaxConnections: jb.maxConnections(), BeforeSend: at.beforeSend,
	}
	if at.bounded {
		ca.Timeout = max(at.left-time.Since(at.sent), time.Millisecond)
	}
	return ca
}

// maxConnections is this entry's share of the connections that one upstream accepts.
func (jb *job) maxConnections() int {
	sv := jb.tb.Service(jb.service)
	if sv == nil || sv.MaxConnections <= 0 {
		return 0
	}
	return max(sv.MaxConnections/connectionDivisor, 1)
}

// connectionDivisor divides the connections that an upstream accepts between the entries.
// Entries get unequal shares of the callers: the busiest up to twice the mean of four.
const connectionDivisor = 2

// failedVerdict classifies a call that returned no response header.
func (at *attempt) failedVerdict(err error) verdict {
	at.recordFailure(err)
	var fl *core.Failure
	if !errors.As(err, &fl) || fl.Ran != core.NotRun {
		if at.ctx.Err() == nil {
			at.budgeted.Confirm(time.Now()) // The connection has ended, so that nothing of it arrives later.
		}
		return lost
	}
	at.budgeted.NotSent()
	if fl.Code == core.CodeCrashed {
		at.jb.retryWindow().Gone(time.Now(), at.to.ID)
		return absent
	}
	return unreached
}

// recordFailure records why the attempt returned no complete answer. If its context was canceled,
// the cause is more specific than the resulting connection error.
func (at *attempt) recordFailure(err error) {
	at.reason = err.Error()
	if fl := (*core.Failure)(nil); errors.As(err, &fl) {
		at.reason = fl.Message
	}
	if at.ctx.Err() != nil {
		at.reason = endReason(at.ctx)
	}
}

// recordHeader updates the load balancer with the response header.
func (at *attempt) recordHeader() {
	fw := at.jb.fw
	fw.mu.Lock()
	defer fw.mu.Unlock()
	if at.reply.NotRun || at.reply.WrongUpstream {
		if at.reply.Load != nil {
			fw.picker.RecordReport(at.began, at.flight, *at.reply.Load)
		}
		return
	}
	fw.picker.RecordHeader(at.began, at.flight, at.rq, at.reply.Load)
}

// discard ends an attempt whose answer is not used.
func (at *attempt) discard(ve verdict) {
	if ve.notRun() {
		at.jb.runs--
	}
	if ve == refused || ve == stranger {
		at.jb.refusedAt = append(at.jb.refusedAt, at.to.Addr)
	}
	if at.reply != nil {
		at.closeBody(ve)
	}
	if ve == failed {
		at.deferVerdict()
	}
	at.end(ve)
	at.cancel(nil)
}

// closeBody reads the short body of a refusal to its end, so that the connection can be reused.
// Any other body is closed unread, which makes the upstream stop its work.
func (at *attempt) closeBody(ve verdict) {
	if ve == refused || ve == stranger || ve == failed {
		ti := time.AfterFunc(drainTimeout, func() { at.cancel(errStalled) })
		drain(at.reply.Body)
		ti.Stop()
	}
	at.reply.Body.Close()
}

// end reports the attempt's end to the load balancer, the canary guard, the metrics and the log.
func (at *attempt) end(ve verdict) {
	if at.ended {
		return
	}
	jb, now := at.jb, time.Now()
	at.ended, at.verdict, at.took = true, ve, now.Sub(at.sent)
	jb.previous = at
	at.permit.Release(now)
	neutral := ve == lost && notUpstreamFault(context.Cause(at.ctx))
	fw := jb.fw
	fw.mu.Lock()
	out := at.resolveDeferred(now, ve)
	switch {
	case neutral || jb.deferred == at:
		out = balance.Abandoned
	case errors.Is(context.Cause(at.ctx), errHeaderTimeout):
		out = balance.Overdue
	}
	change, failureRate := fw.picker.RecordEnd(now, at.flight, out)
	fw.signalAttemptEnded()
	fw.mu.Unlock()
	if ou := at.canaryOutcome(ve, neutral); ve == lost && !neutral {
		at.reportLost(ou)
	} else {
		at.reportOutcome(ou)
	}
	at.observeSuspect(now, ve)
	if at.reply != nil && at.reply.Load != nil && !ve.notRun() {
		fw.components.Canary.ObserveLoad(now, at.to, at.highestLoad(), ve == failed)
	}
	fw.components.Canary.AttemptEnded(now, jb.ex.Session, at.to)
	fw.meters.attempt(ve)
	if ve != taken {
		event.Log(fw.deps.Log, event.AttemptEnded, "request", jb.ex.ID, "attempt", at.number, "upstream", at.to.ID,
			"address", at.to.Addr, "version", at.to.Version, "model", at.rq.Model, "verdict", ve.String(), "why", at.reason,
			"took", at.took, "pieces", at.chunks, "load", at.reportedLoad(), "unframed", at.unframed(), "answer", at.answerOrigin(), "fingerprint", jb.traits.Whole().String())
	}
	at.logAvoidanceChange(change, ve, failureRate)
}

// highestLoad returns the load under which the answer was made: the one that the upstream reported, which is
// that of the end, or the one that was known at the start.
func (at *attempt) highestLoad() core.Load {
	lo := *at.reply.Load
	lo.Running = max(lo.Running, at.othersAtStart+1-lo.Queued)
	return lo
}

// unframed reports whether the end of the answer's connection ends the answer.
func (at *attempt) unframed() bool { return at.reply != nil && at.reply.EndsWithConnection }

// reportedLoad returns the load that the upstream reported in its response, for the log.
func (at *attempt) reportedLoad() string {
	if at.reply == nil || at.reply.Load == nil {
		return ""
	}
	lo := at.reply.Load
	return fmt.Sprintf("%d,%d,%d", lo.Running, lo.Queued, lo.Slots)
}

// notUpstreamFault reports whether an attempt was canceled for a reason that says nothing about
// its upstream: the caller disconnected, or this process stops.
func notUpstreamFault(cause error) bool {
	return errors.Is(cause, context.Canceled) || errors.Is(cause, ErrStopping)
}

// canaryOutcome returns the attempt's outcome for the canary guard.
func (at *attempt) canaryOutcome(ve verdict, neutral bool) canary.Outcome {
	ou := canary.Outcome{SingleChunk: !at.jb.rt.Stream}
	if ou.SingleChunk {
		ou = at.timing()
	}
	ou.Neutral = neutral || ve.notRun()
	ou.Failed = ve == failed || ve == lost
	return ou
}

// timing returns how long the answer took to begin and the mean time between its chunks.
func (at *attempt) timing() canary.Outcome {
	ou := canary.Outcome{SingleChunk: !at.jb.rt.Stream}
	if !at.began.IsZero() {
		ou.TimeToHeader = at.began.Sub(at.sent)
	}
	if at.chunks >= minRateChunks {
		ou.ChunkInterval = time.Since(at.began) / time.Duration(at.chunks)
	}
	return ou
}
