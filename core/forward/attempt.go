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
	"skylarkstand/core/warmup"
)

// attempt is one call of an upstream, from its choice to its end.
type attempt struct {
	jb *job
	// number counts the request's attempts from 1.
	number int
	to     core.Host
	rq     balance.Request
	flight *balance.Flight
	// permit is what an attempt at a cold upstream needs; nil at a warm one.
	permit *warmup.Permit
	sent   time.Time
	after  string
	// left is the time that the upstream has; bounded is false when there is
	// no bound.
	left    time.Duration
	bounded bool
	// rank is the place in the upstream's queue.
	rank int
	// patience is how long the header may take; 0 is to the end. Read is the
	// expected wait for the prompts at the upstream.
	patience, read time.Duration

	ctx    context.Context
	cancel context.CancelCauseFunc
	reply  *core.Reply
	began  time.Time
	pieces int
	// heardAt is when the last piece came.
	heardAt time.Time
	why     string
	ended   bool
	// shown is set once it was told whether the attempt failed.
	shown atomic.Bool
}

// run calls the upstream and judges the header of its answer.
func (at *attempt) run(ctx context.Context) verdict {
	at.ctx, at.cancel = context.WithCancelCause(ctx)
	if at.patience > 0 {
		defer at.watch()()
	}
	defer at.watchOverdue()()
	re, err := at.jb.fw.access.Call(at.ctx, at.call())
	if err != nil {
		return at.fail(err)
	}
	at.reply, at.began = re, time.Now()
	at.permit.Release(at.began)
	at.header()
	ve := judge(re)
	if ve == taken && re.Status < http.StatusMultipleChoices && at.jb.doubts(re) {
		ve = unsure
	}
	switch ve {
	case taken:
	case unsure:
		at.why = fmt.Sprintf("confidence %d, below the %.0f that suffices now", re.Confidence, at.jb.sure)
	default:
		at.why = fmt.Sprintf("status %d", re.Status)
	}
	return ve
}

// pool separates what is compared between versions.
func (at *attempt) pool() string { return at.jb.rt.ID + "/" + string(at.rq.Model) }

// show hands on whether the attempt failed, the first time.
func (at *attempt) show(ou canary.Outcome) {
	if !at.shown.Swap(true) {
		at.observe(ou)
	}
}

func (at *attempt) observe(ou canary.Outcome) {
	ou.Service, ou.Version, ou.Pool = at.to.Service, at.to.Version, at.pool()
	at.jb.fw.parts.Canary.Observe(ou)
}

// pacePieces is how many pieces the pace of an answer is taken over, so that a
// single late one is no matter.
const pacePieces = 5

// heard notes a piece of the answer.
func (at *attempt) heard() {
	now := time.Now()
	if at.pieces > 0 {
		at.jb.fw.meters.gaps.RecordDuration(now.Sub(at.heardAt))
	}
	at.pieces++
	at.heardAt = now
	if at.pieces == pacePieces {
		ou := at.times()
		ou.Going = true
		at.observe(ou)
	}
	fw := at.jb.fw
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.picker.Heard(now, at.flight)
}

func (at *attempt) call() *core.Call {
	jb := at.jb
	ca := &core.Call{
		Exchange: jb.ex, To: at.to, Workspace: jb.workspace, Model: at.rq.Model,
		After: at.after, Priority: at.rank, Connections: jb.connections(),
	}
	if at.bounded {
		ca.Left = max(at.left-time.Since(at.sent), time.Millisecond)
	}
	return ca
}

// connections is this entry's part of those that one upstream accepts.
func (jb *job) connections() int {
	sv := jb.tb.Service(jb.service)
	if sv == nil || sv.MaxConnections <= 0 {
		return 0
	}
	return max(sv.MaxConnections/connectionPart, 1)
}

// connectionPart divides the connections that an upstream accepts: entries see
// unlike shares of the callers, the busiest up to twice the mean of four.
const connectionPart = 2

// fail judges a call without an answer.
func (at *attempt) fail(err error) verdict {
	at.blame(err)
	var fl *core.Failure
	if !errors.As(err, &fl) || fl.Ran != core.NotRun {
		return lost
	}
	if fl.Code == core.CodeCrashed {
		return absent
	}
	return unreached
}

// blame notes why the attempt brought no whole answer. What ended its context
// says more than the error of the connection that was dropped for it.
func (at *attempt) blame(err error) {
	at.why = err.Error()
	if fl := (*core.Failure)(nil); errors.As(err, &fl) {
		at.why = fl.Message
	}
	if at.ctx.Err() != nil {
		at.why = reason(at.ctx)
	}
}

// header lets the choice of upstreams learn from the header of an answer.
func (at *attempt) header() {
	fw := at.jb.fw
	fw.mu.Lock()
	defer fw.mu.Unlock()
	if at.reply.NotRun || at.reply.Stranger {
		if at.reply.Load != nil {
			fw.picker.Reported(at.began, at.flight, *at.reply.Load)
		}
		return
	}
	fw.picker.Begun(at.began, at.flight, at.rq, at.reply.Load)
}

// drop gives up an attempt whose answer is not used.
func (at *attempt) drop(ve verdict) {
	if ve.notRun() {
		at.jb.runs--
	}
	if at.reply != nil {
		at.finishBody(ve)
	}
	if ve == failed {
		at.suspected()
	}
	at.end(ve)
	at.cancel(nil)
}

// finishBody reads the short body of a refusal to its end, so that the
// connection can be kept, and drops any other: closing makes the upstream stop.
func (at *attempt) finishBody(ve verdict) {
	if ve == refused || ve == stranger || ve == failed {
		drain(at.reply.Body)
	}
	at.reply.Body.Close()
}

// end notes the attempt's end with all that learn from it.
func (at *attempt) end(ve verdict) {
	if at.ended {
		return
	}
	at.ended = true
	jb, now := at.jb, time.Now()
	at.permit.Release(now)
	gone := ve == lost && blameless(context.Cause(at.ctx))
	fw := jb.fw
	fw.mu.Lock()
	out := at.settle(now, ve)
	switch {
	case gone || jb.suspect == at:
		out = balance.Abandoned
	case errors.Is(context.Cause(at.ctx), errSilent):
		out = balance.Overdue
	}
	turn, failing := fw.picker.Ended(now, at.flight, out)
	fw.mu.Unlock()
	at.show(at.evidence(ve, gone))
	fw.parts.Canary.Ended(now, jb.ex.Session, at.to)
	fw.meters.attempt(ve)
	if ve != taken {
		event.Log(fw.deps.Log, event.AttemptEnded, "request", jb.ex.ID, "attempt", at.number, "upstream", at.to.ID,
			"address", at.to.Addr, "version", at.to.Version, "model", at.rq.Model, "verdict", ve.String(), "why", at.why,
			"took", now.Sub(at.sent), "pieces", at.pieces)
	}
	at.logTurn(turn, ve, failing)
}

// blameless reports whether an attempt was given up for reasons that say nothing
// about its upstream: the caller left, or this process stops.
func blameless(cause error) bool {
	return errors.Is(cause, context.Canceled) || errors.Is(cause, ErrStopping)
}

// evidence is what the attempt's end says about its upstream's version.
func (at *attempt) evidence(ve verdict, gone bool) canary.Outcome {
	ou := canary.Outcome{Whole: !at.jb.rt.Stream}
	if ou.Whole {
		ou = at.times()
	}
	ou.Neutral = gone || ve.notRun()
	ou.Failed = ve == failed || ve == lost
	return ou
}

// times are how long the answer took to begin and between its pieces.
func (at *attempt) times() canary.Outcome {
	ou := canary.Outcome{Whole: !at.jb.rt.Stream}
	if !at.began.IsZero() {
		ou.First = at.began.Sub(at.sent)
	}
	if at.pieces >= pacePieces {
		ou.Piece = time.Since(at.began) / time.Duration(at.pieces)
	}
	return ou
}
