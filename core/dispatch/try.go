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

// try offers one piece of work to upstreams until one takes it. After an
// unknown outcome it goes on only with repeatable work.
func (dis *Dispatcher) try(ctx context.Context, sn *declaration.Snapshot, rq *Request, at core.Attempt, repeatable bool) (core.Answer, *line, error) {
	at.Request, at.Workspace, at.Generation, at.Body = rq.ID, rq.Workspace, sn.Number, rq.Body
	at.Priority = rq.Priority
	tries := retry.NewTries(dis.budget)
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
			return ans, &line{upstream: ch.ID, Line: ledger.Line{Attempt: at.ID}}, nil
		}
		last = asFailure(err)
		ran = ran || last.Ran != core.NotRun
		if ctx.Err() != nil || !tries.Again(last, repeatable) {
			break
		}
	}
	if last == nil {
		last = dis.unplaced(sn, rq, &at)
	}
	if ran && last.Ran == core.NotRun {
		// An earlier try reached an upstream, so the request as a whole may
		// have run although the last try did not.
		last = &core.Failure{Code: last.Code, Ran: core.RanUnknown, Message: last.Message, RetryAfter: last.RetryAfter}
	}
	return nil, nil, last
}

// unplaced refuses work that no upstream was found for, with the reason.
func (dis *Dispatcher) unplaced(sn *declaration.Snapshot, rq *Request, at *core.Attempt) *core.Failure {
	dis.pl.mu.Lock()
	defer dis.pl.mu.Unlock()
	cands := dis.pl.candidates(at.Target, at.Service)
	if len(cands) > 0 && len(allowed(sn, rq.Workspace, cands)) == 0 {
		return core.Refuse(core.CodeNoRegion, 0, "no upstream is in a region that the workspace allows and in a zone that is not evacuated")
	}
	return core.Refuse(core.CodeNoUpstream, time.Second, "no upstream takes this work now")
}

// timeLeft returns what is left of a request's deadline, 0 when it has none,
// or false when it has passed. The agent refuses by it; the time that went by
// in the queue and in earlier tries is gone for it.
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
	return core.Lost("%v", err)
}
