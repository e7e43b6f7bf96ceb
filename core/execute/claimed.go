package execute

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/claim"
	"skylarkstand/core/event"
	"skylarkstand/core/meter"
)

const (
	// maxWhole bounds an answer that is read whole before it is stored.
	maxWhole = 1 << 20
	// runLimit bounds a call of an at-most-once operation, which goes on
	// without its caller. A service that hangs would otherwise keep the slots
	// for good; beyond it the outcome is unknown.
	runLimit = 10 * time.Minute
	// storeLimit bounds the wait until an answer or a release stands in the
	// store. An answer is known by then, and during an outage of the store the
	// caller must not wait for its end; storing goes on in the background.
	storeLimit = time.Second
	// retryStore is told when a claim could not be written.
	retryStore = 2 * time.Second
	// retryRoom is told when there is no room for a claim; only retention
	// makes some.
	retryRoom = 10 * time.Minute
	// retryUnknown is told when another attempt has the key. Asking again with
	// the same key is safe and brings the answer once it is stored.
	retryUnknown = 2 * time.Second
	// otherWait is how long a caller waits for the answer of another agent's
	// attempt. Most operations take less; when that agent is gone, it is what its
	// callers wait in vain.
	otherWait = 5 * time.Second
	// otherPause is the pause between two looks. All callers that wait for a bucket
	// of claims share one read.
	otherPause = 500 * time.Millisecond
)

// atMostOnce reports whether the attempt's operation may run at most once.
func (ex *Executor) atMostOnce(at *core.Attempt) bool {
	if at.Service == "" {
		return false
	}
	op := ex.inf.Current().Operation(at.Service, at.Operation)
	return op != nil && op.AtMostOnce
}

// runClaimed runs the attempt under a claim. It takes no slot of the upstream
// before the claim is owned: under load a claim waits for its group's write
// much longer than most calls run.
func (ex *Executor) runClaimed(ctx context.Context, at *core.Attempt) (core.Answer, error) {
	if at.IdempotencyKey == "" {
		// The entry decided by a configuration in which the operation could
		// still be repeated.
		return nil, core.Refuse(core.CodeBadRequest, 0, "operation %s runs at most once and needs an Idempotency-Key header", at.Operation)
	}
	if ex.bound.full() {
		// Refused before the claim: a burst of calls that cannot run must not
		// wait for two group writes each to hear it.
		return nil, core.Refuse(core.CodeOverloaded, minRetry, "the queue of upstream %s is full", ex.host.ID)
	}
	req := claim.Request{
		Key:    claim.Key{Workspace: at.Workspace, Service: at.Service, Operation: at.Operation, Idempotency: at.IdempotencyKey},
		Digest: digest(at.Body), Attempt: at.ID,
	}
	out, err := ex.claim(ctx, req)
	if err != nil {
		return nil, refuseClaim(err)
	}
	switch out.State {
	case claim.Owned:
		return ex.runOwned(ctx, at, req, out.RunBefore)
	case claim.Done:
		return answered(out)
	default:
		return ex.awaitOther(ctx, out)
	}
}

// claim takes the key, or waits a little for the answer that another agent is
// about to store.
//
// Callers of one key that come at once reach several agents. One of them runs
// the operation, which mostly takes less than a second; those at the others had
// their answer a moment later, and were told that its outcome is not known: with
// 200 callers of one key at three agents, 53. A claim that the other agent gives
// back meanwhile is taken over here.
func (ex *Executor) claim(ctx context.Context, req claim.Request) (claim.Outcome, error) {
	until := time.Now().Add(otherWait)
	for {
		out, err := ex.claims.Claim(ctx, req)
		if err != nil || out.State != claim.Claimed || out.Owner == ex.deps.Self || time.Now().After(until) {
			return out, err
		}
		select {
		case <-ctx.Done():
			return out, nil
		case <-time.After(otherPause):
		}
	}
}

// refuseClaim is always "not run": the claim of this attempt, written or not,
// is never told as owned afterwards, and nothing runs without that. The table
// releases what was written of it.
func refuseClaim(err error) *core.Failure {
	switch {
	case errors.Is(err, claim.ErrReused):
		return core.Refuse(core.CodeKeyReused, 0, "the idempotency key was used with another body")
	case errors.Is(err, claim.ErrExpired):
		return core.Refuse(core.CodeKeyExpired, 0, "the time in the idempotency key is outside the retention")
	case errors.Is(err, claim.ErrBusy):
		return core.Refuse(core.CodeOverloaded, retryStore, "too many claims wait")
	case errors.Is(err, claim.ErrUnsettled):
		// Not a code for which the entry goes on to another agent: that one
		// could meet this claim before it is released, and would have to say
		// that the outcome is unknown.
		return core.Refuse(core.CodeDeadline, retryStore, "the claim was not settled in time")
	case errors.Is(err, claim.ErrFull):
		return core.Refuse(core.CodeOverloaded, retryRoom, "the claims within their retention leave no room for another")
	default:
		return core.Refuse(core.CodeStoreDown, retryStore, "the claim could not be written")
	}
}

// answered tells the stored answer of an earlier attempt.
func answered(out claim.Outcome) (core.Answer, error) {
	if out.Answer.Dropped {
		return nil, &core.Failure{Code: core.CodeTooLarge, Ran: core.RanFailed, Message: "the operation ran and was answered; the answer was too large to be kept"}
	}
	return newReplay(out), nil
}

// awaitOther answers a caller whose key another attempt has. An attempt of
// this agent that still runs is waited for. Of any other the outcome is not
// known here: its agent may be gone, and may have called the upstream before
// it went, so the operation is not run again whatever time passes.
func (ex *Executor) awaitOther(ctx context.Context, out claim.Outcome) (core.Answer, error) {
	if out.Owner == ex.deps.Self {
		if en, ok := ex.claims.Await(ctx, out.Attempt); ok {
			if en.Failure != nil {
				return nil, en.Failure
			}
			out.Answer = en.Answer
			return newReplay(out), nil
		}
	}
	fl := core.Lost("the operation was handed to attempt %s, whose outcome is not known; ask again with the same key", out.Attempt)
	fl.RetryAfter = retryUnknown
	return nil, fl
}

// runOwned calls the upstream under an owned claim and stores the answer. It
// goes on when the caller is gone: the operation has begun, and its answer is
// what the caller's next try with the same key is told.
func (ex *Executor) runOwned(ctx context.Context, at *core.Attempt, req claim.Request, before time.Time) (core.Answer, error) {
	exit, err := ex.bound.enter(ctx, at)
	if err != nil {
		return nil, ex.giveBack(req, err)
	}
	an, err := ex.callOnce(ctx, at, before)
	exit()
	if err != nil {
		return nil, ex.failed(req, err)
	}
	sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeLimit)
	defer cancel()
	if err := ex.claims.Finish(sctx, req, an); err != nil {
		meter.ClaimsUnfinished.Inc(ex.deps.Metrics)
		event.Log(ex.deps.Log, event.ClaimUnfinished, "attempt", at.ID, "error", err)
	}
	return newStored(an), nil
}

// callOnce makes the one call. The configuration may have changed while the
// attempt waited for its claim and its slot, and the process may have been
// paused for so long that others drop the claim.
func (ex *Executor) callOnce(ctx context.Context, at *core.Attempt, before time.Time) (claim.Answer, error) {
	if fl := ex.check(at); fl != nil {
		return claim.Answer{}, fl
	}
	if time.Now().After(before) {
		return claim.Answer{}, core.Refuse(core.CodeDeadline, 0, "the claim is older than the retention")
	}
	if ctx.Err() != nil {
		return claim.Answer{}, core.Refuse(core.CodeCallerGone, 0, "the caller gave up while its claim was written")
	}
	rctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), runLimit)
	defer cancel()
	ans, err := ex.runner.Run(rctx, at)
	if err != nil {
		return claim.Answer{}, err
	}
	defer ans.Close()
	return readStored(ans, maxWhole)
}

// failed ends an owned claim without an answer. Only an attempt that certainly
// never reached the upstream gives its key back.
func (ex *Executor) failed(req claim.Request, err error) error {
	var fl *core.Failure
	if !errors.As(err, &fl) {
		fl = core.Lost("%v", err)
	}
	if fl.Ran == core.NotRun {
		return ex.giveBack(req, fl)
	}
	ex.claims.Forget(req, fl)
	return fl
}

// giveBack releases a claim before its refusal goes out, so that the entry's
// next try elsewhere does not meet it.
func (ex *Executor) giveBack(req claim.Request, cause error) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeLimit)
	defer cancel()
	if err := ex.claims.Release(ctx, req); err != nil {
		meter.ClaimsUnreleased.Inc(ex.deps.Metrics)
		event.Log(ex.deps.Log, event.ClaimUnreleased, "attempt", req.Attempt, "error", err)
	}
	return cause
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
