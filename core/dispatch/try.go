package dispatch

import (
	"context"
	"errors"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/ledger"
	"skylarkstand/core/retry"
)

// try sends an attempt to one upstream after another until one accepts it. After an attempt with
// an unknown outcome, it continues only if the work is retryable.
func (dis *Dispatcher) try(ctx context.Context, sn *declaration.Snapshot, rq *Request, at core.Attempt, retryable bool) (core.Answer, *lineItem, error) {
	at.Request, at.Workspace, at.Generation, at.Body = rq.ID, rq.Workspace, sn.Number, rq.Body
	at.Priority = rq.Priority
	attempts := retry.NewAttempts(dis.budget)
	var tried []core.UpstreamID
	var last *core.Failure
	ran := false
	for {
		ch, ok := dis.pl.pick(sn, rq, &at, tried)
		if !ok {
			break
		}
		tried = append(tried, ch.ID)
		at.ID = core.AttemptID(core.NewID())
		if at.Deadline, ok = timeLeft(ctx, rq); !ok {
			if last == nil {
				last = core.Refuse(core.CodeDeadline, time.Second, "the deadline passed before an upstream was asked")
			}
			break
		}
		ans, err := dis.pl.send(ctx, dis.ups, ch, &at)
		if err == nil {
			dis.budget.Succeeded()
			return ans, &lineItem{upstream: ch.ID, Line: ledger.Line{Attempt: at.ID}}, nil
		}
		last = asFailure(err)
		ran = ran || last.Ran != core.NotRun
		if ctx.Err() != nil || !attempts.MayRetry(last, retryable) {
			break
		}
	}
	if last == nil {
		last = dis.refuseUnplaced(sn, rq, &at)
	}
	if ran && last.Ran == core.NotRun {
		// An earlier attempt reached an upstream, so the request as a whole may have run although
		// the last attempt did not.
		last = &core.Failure{Code: last.Code, Ran: core.RanUnknown, Message: last.Message, RetryAfter: last.RetryAfter}
	}
	return nil, nil, last
}

// refuseUnplaced returns the refusal, with its reason, of work for which no upstream was found.
func (dis *Dispatcher) refuseUnplaced(sn *declaration.Snapshot, rq *Request, at *core.Attempt) *core.Failure {
	dis.pl.mu.Lock()
	defer dis.pl.mu.Unlock()
	cands := dis.pl.candidates(at.Target, at.Service)
	if len(cands) > 0 && len(allowed(sn, rq.Workspace, cands)) == 0 {
		return core.Refuse(core.CodeNoRegion, 0, "no upstream is in a region that the workspace allows and in a zone that is not evacuated")
	}
	return core.Refuse(core.CodeNoUpstream, time.Second, "no upstream takes this work now")
}

// timeLeft returns the remaining time until a request's deadline, 0 if it has none, or false if
// the deadline has passed. The agent refuses work by this time, so it excludes the time spent
// in the queue and on earlier attempts.
func timeLeft(ctx context.Context, rq *Request) (time.Duration, bool) {
	end, ok := ctx.Deadline()
	if !ok {
		return rq.Deadline, true
	}
	left := time.Until(end)
	return left, left > 0
}

func asFailure(err error) *core.Failure {
	var fl *core.Failure
	if errors.As(err, &fl) {
		return fl
	}
	return core.OutcomeUnknown("%v", err)
}
