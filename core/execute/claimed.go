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
	// maxStoredBytes limits an answer that is read completely and stored.
	maxStoredBytes = 1 << 20
	// runTimeout limits a call of an at-most-once operation, which continues without its caller.
	// Otherwise a service that hangs would hold its slots forever. After the timeout, the outcome
	// is unknown.
	runTimeout = 10 * time.Minute
	// storeTimeout limits the wait until an answer or a release is stored. The answer is known by
	// then, and the caller must not wait until an outage of the store ends; storing continues in
	// the background.
	storeTimeout = time.Second
	// retryAfterStore is the Retry-After when a claim could not be written.
	retryAfterStore = 2 * time.Second
	// retryAfterFull is the Retry-After when the bucket has no space for another claim. Space is
	// freed only when the retention of claims ends.
	retryAfterFull = 10 * time.Minute
	// retryAfterUnknown is the Retry-After when another attempt has claimed the key. A retry with
	// the same key is safe and returns the answer once it is stored.
	retryAfterUnknown = 2 * time.Second
	// otherAgentWait is how long a caller waits for the answer of an attempt at another agent. Most
	// operations take less. If that agent is gone, its callers wait this long in vain.
	otherAgentWait = 5 * time.Second
	// otherAgentPoll is the interval between two reads of the claim during that wait. All callers
	// that wait for the same bucket of claims share one read.
	otherAgentPoll = 500 * time.Millisecond
)

// atMostOnce reports whether the attempt's operation may run at most once.
func (ex *Executor) atMostOnce(at *core.Attempt) bool {
	if at.Service == "" {
		return false
	}
	op := ex.inf.Current().Operation(at.Service, at.Operation)
	return op != nil && op.AtMostOnce
}

// runClaimed runs the attempt under a claim. It takes a slot of the upstream only after the claim
// is owned: under load, a claim waits for the write of its group for much longer than most
// calls run.
func (ex *Executor) runClaimed(ctx context.Context, at *core.Attempt) (core.Answer, error) {
	if at.IdempotencyKey == "" {
		// The entry used a configuration in which the operation was not yet an at-most-once
		// operation.
		return nil, core.Refuse(core.CodeBadRequest, 0, "operation %s runs at most once and needs an Idempotency-Key header", at.Operation)
	}
	if ex.queue.full() {
		// Refuse before the claim, so that a burst of calls that cannot run does not wait for two
		// group writes per call before it is refused.
		return nil, core.Refuse(core.CodeOverloaded, minRetryAfter, "the queue of upstream %s is full", ex.host.ID)
	}
	req := claim.Request{
		Key:    claim.Key{Workspace: at.Workspace, Service: at.Service, Operation: at.Operation, Idempotency: at.IdempotencyKey},
		Digest: digest(at.Body), Attempt: at.ID,
	}
	out, err := ex.acquireClaim(ctx, req)
	if err != nil {
		return nil, refuseClaim(err)
	}
	switch out.State {
	case claim.Owned:
		return ex.runOwned(ctx, at, req, out.RunBefore)
	case claim.Done:
		return replay(out)
	default:
		return ex.awaitOther(ctx, out)
	}
}

// acquireClaim claims the key, or waits up to otherAgentWait for the answer of another agent's
// attempt.
//
// Simultaneous callers of one key may reach several agents. One of the agents runs the
// operation, which mostly takes less than a second. Without the wait, callers at the other
// agents would receive an unknown outcome although the answer is stored a moment later:
// 53 of 200 callers of one key at three agents. If the other agent releases its claim during the
// wait, this attempt takes it over.
func (ex *Executor) acquireClaim(ctx context.Context, req claim.Request) (claim.Outcome, error) {
	until := time.Now().Add(otherAgentWait)
	for {
		out, err := ex.claims.Claim(ctx, req)
		if err != nil || out.State != claim.Claimed || out.Owner == ex.deps.Self || time.Now().After(until) {
			return out, err
		}
		select {
		case <-ctx.Done():
			return out, nil
		case <-time.After(otherAgentPoll):
		}
	}
}

// refuseClaim converts a claim error to a refusal, which is always "not run": the claim of this
// attempt, whether written or not, is never reported as owned afterwards, and nothing runs
// without an owned claim. The table releases a claim that was written.
func refuseClaim(err error) *core.Failure {
	switch {
	case errors.Is(err, claim.ErrReused):
		return core.Refuse(core.CodeKeyReused, 0, "the idempotency key was used with another body")
	case errors.Is(err, claim.ErrExpired):
		return core.Refuse(core.CodeKeyExpired, 0, "the time in the idempotency key is outside the retention")
	case errors.Is(err, claim.ErrBusy):
		return core.Refuse(core.CodeOverloaded, retryAfterStore, "too many claims wait")
	case errors.Is(err, claim.ErrOutcomeUnknown):
		// This must not be a code on which the entry tries another agent: that agent could find
		// this claim before it is released, and would have to report that the outcome is
		// unknown.
		return core.Refuse(core.CodeDeadline, retryAfterStore, "the claim was not settled in time")
	case errors.Is(err, claim.ErrFull):
		return core.Refuse(core.CodeOverloaded, retryAfterFull, "the claims within their retention leave no room for another")
	default:
		return core.Refuse(core.CodeStoreDown, retryAfterStore, "the claim could not be written")
	}
}

// replay returns the stored answer of an earlier attempt.
func replay(out claim.Outcome) (core.Answer, error) {
	if out.Answer.Dropped {
		return nil, &core.Failure{Code: core.CodeTooLarge, Ran: core.RanFailed, Message: "the operation ran and was answered; the answer was too large to be kept"}
	}
	return newReplayAnswer(out), nil
}

// awaitOther answers a caller whose key is claimed by another attempt. It waits for an attempt that
// still runs at this agent. The outcome of any other attempt is unknown: its agent may be gone and
// may have called the upstream before, so the operation is never run again, however long ago that
// was.
func (ex *Executor) awaitOther(ctx context.Context, out claim.Outcome) (core.Answer, error) {
	if out.Owner == ex.deps.Self {
		if en, ok := ex.claims.AwaitEnding(ctx, out.Attempt); ok {
			if en.Failure != nil {
				return nil, en.Failure
			}
			out.Answer = en.Answer
			return newReplayAnswer(out), nil
		}
	}
	fl := core.OutcomeUnknown("the operation was handed to attempt %s, whose outcome is not known; ask again with the same key", out.Attempt)
	fl.RetryAfter = retryAfterUnknown
	return nil, fl
}

// runOwned calls the upstream under an owned claim and stores the answer. It continues when the
// caller disconnects: the operation has begun, and the caller's retry with the same key gets
// its answer.
func (ex *Executor) runOwned(ctx context.Context, at *core.Attempt, req claim.Request, runBefore time.Time) (core.Answer, error) {
	release, err := ex.queue.acquire(ctx, at)
	if err != nil {
		return nil, ex.releaseClaim(req, err)
	}
	an, err := ex.callOnce(ctx, at, runBefore)
	release()
	if err != nil {
		return nil, ex.endFailed(req, err)
	}
	sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	if err := ex.claims.Finish(sctx, req, an); err != nil {
		meter.ClaimsUnfinished.Inc(ex.deps.Metrics)
		event.Log(ex.deps.Log, event.ClaimUnfinished, "attempt", at.ID, "error", err)
	}
	return newStoredAnswer(an), nil
}

// callOnce calls the upstream, unless the current time is after runBefore. It repeats the checks
// first: the configuration may have changed while the attempt waited for its claim and its slot,
// and the process may have been paused for so long that other agents have dropped the claim.
func (ex *Executor) callOnce(ctx context.Context, at *core.Attempt, runBefore time.Time) (claim.Answer, error) {
	if fl := ex.check(at); fl != nil {
		return claim.Answer{}, fl
	}
	if time.Now().After(runBefore) {
		return claim.Answer{}, core.Refuse(core.CodeDeadline, 0, "the claim is older than the retention")
	}
	if ctx.Err() != nil {
		return claim.Answer{}, core.Refuse(core.CodeCallerGone, 0, "the caller gave up while its claim was written")
	}
	rctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), runTimeout)
	defer cancel()
	ans, err := ex.call(rctx, at)
	if err != nil {
		return claim.Answer{}, err
	}
	defer ans.Close()
	return readAnswer(ans, maxStoredBytes)
}

// endFailed ends an owned claim without an answer. It releases the key only if the attempt
// certainly never reached the upstream.
func (ex *Executor) endFailed(req claim.Request, err error) error {
	var fl *core.Failure
	if !errors.As(err, &fl) {
		fl = core.OutcomeUnknown("%v", err)
	}
	if fl.Ran == core.NotRun {
		return ex.releaseClaim(req, fl)
	}
	ex.claims.MarkOutcomeUnknown(req, fl)
	return fl
}

// releaseClaim releases a claim before the refusal is sent, so that the entry's next attempt at
// another agent does not find it.
func (ex *Executor) releaseClaim(req claim.Request, cause error) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
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
