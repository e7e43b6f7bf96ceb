package forward

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/balance"
	"skylarkstand/core/mechanism"
	"skylarkstand/core/retry"
	"skylarkstand/core/route"
	"skylarkstand/core/suspect"
	"skylarkstand/core/warmup"
)

// job is one exchange in progress.
type job struct {
	fw *Forwarder
	ex *core.Exchange
	tb *route.Table
	rt *route.Route
	// ws is the workspace of the caller's key; nil on a public route.
	ws        *route.Workspace
	workspace core.WorkspaceID
	service   core.ServiceID
	priority  int

	cancel context.CancelFunc
	// tried lists the upstreams that were called, runs counts the attempts that may have run the
	// work, and sends counts the attempts that left this entry.
	tried []core.UpstreamID
	runs  int
	sends int
	// refusedAt lists the addresses at which an upstream stated that it did not run the request. None of them gets
	// it again, under whatever id: a copy of that answer could be taken for the next one.
	refusedAt []string
	// stage is the index of the model in the cascade, from the smallest, and nextStage the index
	// to escalate to. rejected is the stage and the confidence of the last discarded answer.
	stage, nextStage int
	rejected         *rejectedAnswer
	// undecided is set from the start at the smallest model until its answer is known.
	undecided bool
	// reserved is the next attempt, from its choice until it runs, if it was chosen before the last one ended: with the
	// larger model, or to replace one that is silent.
	reserved *attempt
	// threshold is the minimum confidence at the last check of an answer, and answerReason is
	// why that answer was returned.
	threshold    float64
	answerReason answerReason
	// prefillTime is the prefill time of the attempts so far.
	prefillTime time.Duration
	// mayHaveRun is set once the work may have run.
	mayHaveRun bool
	// deferred is the last failed attempt while another attempt is in progress that will show
	// whether the upstream or the request caused the failure.
	deferred *attempt
	// previous is the last attempt that ended; nil before.
	previous *attempt
	// traits are what the request has in common with others.
	traits suspect.Traits
	// lastFailure is the reason of the newest failed attempt, and noRetryReason why no other one
	// followed, for the log.
	lastFailure   string
	noRetryReason string
	// purpose is the purpose of the last retry that the budget granted, and budgetRefused is set once it
	// refused one.
	purpose       string
	budgetRefused atomic.Bool
	// retries counts the request's attempts in the retry budget.
	retries *retry.Request
}

// maxSends bounds the attempts of a request, counting those that reach no upstream or are
// refused: without it, a pool that is gone would be tried for as long as the caller waits.
const maxSends = 6

// run makes attempts until one of them yields an answer.
func (jb *job) run(ctx context.Context) (*Answer, *core.Failure) {
	left, bounded := jb.timeLeft(time.Now())
	if bounded {
		ctx, jb.cancel = context.WithTimeoutCause(ctx, left, errOverdue)
	} else {
		ctx, jb.cancel = context.WithCancel(ctx)
	}
	jb.fw.countArrival(jb)
	jb.selectFirstStage()
	for {
		at, fl := jb.nextAttempt(ctx, jb.ex.LastEventID)
		if fl != nil {
			return nil, fl
		}
		ans, ve := jb.accept(ctx, at, at.run(ctx))
		if ans != nil {
			return ans, nil
		}
		if fl := jb.failureAfter(ctx, at, ve); fl != nil {
			return nil, fl
		}
	}
}

// end frees what the job holds.
func (jb *job) end() {
	jb.cancel()
	if jb.reserved != nil {
		jb.reserved.giveBack()
		jb.reserved = nil
	}
	jb.retries.Release()
	jb.fw.mu.Lock()
	defer jb.fw.mu.Unlock()
	jb.forgetUndecided()
}

// nextAttempt returns the attempt that was reserved, and begins one otherwise. A stream goes on after an event.
func (jb *job) nextAttempt(ctx context.Context, after string) (*attempt, *core.Failure) {
	if at := jb.reserved; at != nil {
		jb.reserved, at.after = nil, after
		return at, nil
	}
	return jb.beginAttempt(ctx, after, suspicionWait)
}

// errOverdue is the cause when a job's context ends at its deadline.
var errOverdue = errors.New("the time is up")

// timeLeft returns the time until the caller's deadline or the route's timeout, and false when
// there is neither.
func (jb *job) timeLeft(now time.Time) (time.Duration, bool) {
	limit := jb.rt.Timeout
	if dl := jb.ex.Deadline; dl > 0 && (limit <= 0 || dl < limit) {
		limit = dl
	}
	return limit - now.Sub(jb.ex.Arrived), limit > 0
}

// accept makes a successful attempt the answer, and also a failed one when it cannot be retried.
// Otherwise it returns the attempt's verdict, which differs from the given one when the body
// breaks off after a good header.
func (jb *job) accept(ctx context.Context, at *attempt, ve verdict) (*Answer, verdict) {
	take := ve == taken || ve == unsure && !jb.escalate(ctx) || ve == failed && !jb.mayRetry(ctx, retry.Retry)
	if !take {
		at.discard(ve)
		return nil, ve
	}
	if ans := jb.newAnswer(ctx, at); ans != nil {
		return ans, ve
	}
	return nil, lost
}

// failureAfter returns the failure of the exchange when no attempt may follow a failed one, or
// nil when another one follows. Retries that need budget are taken from it here.
func (jb *job) failureAfter(ctx context.Context, at *attempt, ve verdict) *core.Failure {
	if ve.mayHaveRun() {
		jb.mayHaveRun = true
	}
	jb.lastFailure = at.reason
	if ve == unsure {
		return nil // accept has chosen the next attempt, which has to end also if the context has.
	}
	if ctx.Err() != nil {
		return jb.contextFailure(ctx)
	}
	switch ve {
	case failed:
		return nil // accept has allowed another attempt.
	case lost:
		if jb.reserved == nil && !jb.mayRetry(ctx, retry.Retry) {
			return jb.failure(core.CodeOutcomeLost, 0, "the upstream's answer was lost: "+at.reason)
		}
	case refused:
		if jb.sends >= maxSends || !jb.spendRetry(ctx, retry.Retry) {
			return jb.refusedFailure()
		}
	case stranger:
		// The process that now has the address counts this as an arrival.
		if jb.sends >= maxSends || !jb.spendRetry(ctx, retry.Retry) {
			return jb.failure(core.CodeNoUpstream, jb.backoff(), "the upstreams that are listed are others by now")
		}
	case unreached, absent:
		if at.withheld && !at.confined {
			return jb.failure(core.CodeNoUpstream, jb.backoff(), "the budget for repeats is used up")
		}
		if jb.sends >= maxSends {
			return jb.failure(core.CodeNoUpstream, jb.backoff(), "no upstream can be reached")
		}
	}
	return nil
}

// mayRetry reports whether work that may have run may run once more, and takes the retry from
// the budget.
func (jb *job) mayRetry(ctx context.Context, pu retry.Purpose) bool {
	left, bounded := jb.timeLeft(time.Now())
	switch {
	case !jb.rt.Retry.Retryable():
		jb.noRetryReason = "the work may run once only"
	case jb.runs >= jb.maxAttempts():
		jb.noRetryReason = "the route's attempts are used up"
	case ctx.Err() != nil:
		jb.noRetryReason = endReason(ctx)
	case bounded && left < 2*minTimeLeft:
		jb.noRetryReason = "the time is nearly up"
	case !jb.hasUntried():
		jb.noRetryReason = "no untried upstream is left"
	case !jb.spendRetry(ctx, pu):
		jb.noRetryReason = "the budget for repeats is used up"
	default:
		jb.noRetryReason = ""
	}
	return jb.noRetryReason == ""
}

func (jb *job) maxAttempts() int { return max(jb.rt.MaxAttempts, 1) }

// request returns the inputs to the choice of an upstream.
func (jb *job) request() balance.Request {
	return balance.Request{
		Service: jb.service, Model: jb.model(), Parts: jb.ex.Parts, Prompt: jb.ex.Prompt,
		Engine: len(jb.ex.Parts) > 0 || jb.ex.Prompt > 0, Route: jb.rt.ID, Tried: jb.tried,
		AtMostOnce: !jb.rt.Retry.Retryable(), Slack: jb.slack(),
		RemoteOnly: jb.trafficClass().remote,
	}
}

// slack returns the time left to the target latency of the first event, and at least minTimeLeft
// even for a late request. Without a target it returns 0.
func (jb *job) slack() time.Duration {
	if jb.rt.TargetLatency <= 0 {
		return 0
	}
	return max(jb.rt.TargetLatency-time.Since(jb.ex.Arrived), minTimeLeft)
}

// beginAttempt chooses the upstream of the next attempt. A request that is suspected of crashing upstreams
// waits for up to maxWait until it may be sent.
func (jb *job) beginAttempt(ctx context.Context, after string, maxWait time.Duration) (*attempt, *core.Failure) {
	trial, fl := jb.awaitAdmission(ctx, maxWait)
	if fl != nil {
		return nil, fl
	}
	at, fl := jb.beginAdmitted(ctx, after, maxWait, trial)
	if at == nil || at.trial != trial {
		trial.Refund()
	}
	return at, fl
}

// beginAdmitted begins an attempt of a request that may be sent.
func (jb *job) beginAdmitted(ctx context.Context, after string, maxWait time.Duration, trial *suspect.Permit) (*attempt, *core.Failure) {
	now := time.Now()
	left, bounded := jb.timeLeft(now)
	if bounded && left < minTimeLeft {
		return nil, jb.failure(core.CodeDeadline, shortRetryAfter, "the time was up before an upstream was asked")
	}
	fw, rq := jb.fw, jb.request()
	hosts := fw.components.Canary.Choose(now, jb.service, jb.ex.Session, fw.draw(), jb.candidates(now), fw.components.ConfigAge() < staleConfigAge)
	if len(hosts) > 0 {
		rq.LoadLimit = fw.components.Canary.LoadLimit(jb.service, hosts[0].Version)
		rq.Unproven = fw.components.Canary.UnderRollOut(jb.service, hosts[0].Version)
	}
	fw.mu.Lock()
	if !jb.awaitLoadLimit(hosts, rq) {
		fw.mu.Unlock()
		return jb.beginAttempt(ctx, after, maxWait) // The version was rolled back meanwhile.
	}
	now = time.Now()
	left, bounded = jb.timeLeft(now)
	ho, pe, ok := jb.pickUpstream(now, fw.accepting(now, jb.notRefusing(hosts)), rq)
	if !ok {
		fw.mu.Unlock()
		return nil, jb.unavailableFailure(now, hosts)
	}
	at := &attempt{jb: jb, to: ho, rq: rq, sent: now, after: after, left: left, bounded: bounded, permit: pe, trial: trial}
	if rq.LoadLimit.Watched() {
		at.othersAtStart = fw.picker.PresentLoad(now, &ho, rq)
	}
	at.flight = fw.picker.RecordSent(now, ho, rq)
	at.prefillWait = at.flight.PendingPrefill()
	jb.prefillTime += at.flight.PrefillTime()
	at.headerTimeout = headerTimeout(jb.rt, fw.picker.MeanHeaderTime(rq), at.prefillWait, left)
	at.queueRank = balance.Rank(jb.priority, jb.rankingCost(at), fw.draw())
	retriesLeft := jb.retryWindow().Left(now, retry.Retry)
	fw.mu.Unlock()
	select {
	case fw.sentSignal <- struct{}{}:
	default:
	}
	fw.components.Canary.AttemptSent(now, jb.ex.Session, ho)
	jb.tried = append(jb.tried, ho.ID)
	jb.sends++
	jb.runs++
	at.number = jb.sends
	if jb.runs >= jb.maxAttempts() || jb.disabled(mechanism.EarlyRetries) {
		at.headerTimeout = 0
	}
	at.logBegin(len(hosts), retriesLeft)
	at.logResent()
	return at, nil
}

// pickUpstream chooses an upstream, and takes a permit if it is cold and a token if it has a rate
// limit. The forwarder's lock is held.
func (jb *job) pickUpstream(now time.Time, hosts []core.Host, rq balance.Request) (core.Host, *warmup.Permit, bool) {
	for {
		ho, ok := jb.fw.picker.Pick(now, hosts, rq, jb.fw.draw)
		if !ok {
			return core.Host{}, nil, false
		}
		if pe, ok := jb.takePermit(now, &ho); ok {
			if jb.fw.components.RateLimits.Acquire(now, &ho) {
				return ho, pe, true
			}
			pe.Release(now)
		}
		// Another request took the last permit or token after the candidates were listed.
		rq.Tried = append(slices.Clone(rq.Tried), ho.ID)
	}
}

func (jb *job) disabled(na mechanism.Name) bool { return jb.fw.components.Off.Has(na) }

// rankingCost is the prefill time that sets an attempt's rank in the upstream's queue.
func (jb *job) rankingCost(at *attempt) time.Duration {
	if jb.disabled(mechanism.ShortPromptsFirst) {
		return 0
	}
	return at.flight.PrefillTime()
}

// backoff is the Retry-After of refused requests: short, but with jitter, so that callers that
// were refused together do not retry together.
func (jb *job) backoff() time.Duration {
	const least, jitter = 300 * time.Millisecond, 500 * time.Millisecond
	return least + time.Duration(jb.fw.jitterFraction()*float64(jitter))
}

// failure returns the failure of a job that ends without an answer.
func (jb *job) failure(code core.Code, retryAfter time.Duration, text string) *core.Failure {
	if !jb.mayHaveRun {
		return core.Refuse(code, retryAfter, "%s", text)
	}
	return &core.Failure{Code: code, Ran: core.RanUnknown, Message: text}
}

// ErrStopping is the cause when requests in flight are canceled at the end of a planned stop.
var ErrStopping = errors.New("the process is stopping")

// contextFailure is the failure of a job whose context ended: at its deadline, at a planned
// stop, or because the caller disconnected.
func (jb *job) contextFailure(ctx context.Context) *core.Failure {
	switch code := endCode(ctx); code {
	case core.CodeLeaving:
		return jb.failure(code, RestartTime, "the process ended before an answer came")
	case core.CodeDeadline:
		return jb.failure(code, shortRetryAfter, "no answer came in time")
	default:
		return jb.failure(core.CodeCallerGone, 0, endReason(ctx))
	}
}

// endCode returns the code for the cause that ended a job's context. While the context is still
// valid, the upstream broke off.
func endCode(ctx context.Context) core.Code {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, ErrStopping):
		return core.CodeLeaving
	case errors.Is(cause, errOverdue):
		return core.CodeDeadline
	case cause != nil:
		return core.CodeCallerGone
	default:
		return core.CodeOutcomeLost
	}
}

// endReason describes what ended a job's context. net/http cancels the context when the caller's
// connection ends.
func endReason(ctx context.Context) string {
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		return cause.Error()
	}
	return "the caller is gone"
}
