package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/balance"
	"skylarkstand/core/mechanism"
	"skylarkstand/core/retry"
	"skylarkstand/core/route"
	"skylarkstand/core/warmup"
)

// job is one exchange on its way.
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
	// tried are the upstreams that were asked, runs how many may have run it,
	// and sends how many attempts left this entry.
	tried []core.UpstreamID
	runs  int
	sends int
	// stage is the place in the cascade, from the smallest model, and next the
	// one that should answer instead of a doubtful answer. doubted is the place
	// and the confidence of the answer that was dropped last.
	stage, next int
	doubted     *doubted
	// sure is the confidence that sufficed when an answer was looked at last, and
	// kept why that answer was given.
	sure float64
	kept keptAnswer
	// reading is the time that the attempts so far needed for the prompt alone.
	reading time.Duration
	// ran is set once the work may have run.
	ran bool
	// suspect is the attempt that failed last, while another one is under way that
	// will show whose fault it was.
	suspect *attempt
	// last is the newest failed attempt, and noRepeat why no other followed, for
	// the log.
	last     string
	noRepeat string
}

// maxSends bounds the attempts that reach no upstream, or are refused, beside
// those that run: a pool that is gone must not be tried for as long as the
// caller waits.
const maxSends = 6

// run makes attempts until one is answered.
func (jb *job) run(ctx context.Context) (*Answer, *core.Failure) {
	left, bounded := jb.left(time.Now())
	if bounded {
		ctx, jb.cancel = context.WithTimeoutCause(ctx, left, errOverdue)
	} else {
		ctx, jb.cancel = context.WithCancel(ctx)
	}
	jb.fw.arrived(jb)
	jb.resumeWithModel()
	for {
		at, fl := jb.begin(jb.ex.Resume)
		if fl != nil {
			return nil, fl
		}
		ans, ve := jb.accept(ctx, at, at.run(ctx))
		if ans != nil {
			return ans, nil
		}
		if fl := jb.goOn(ctx, at, ve); fl != nil {
			return nil, fl
		}
	}
}

// errOverdue ends the context of a job whose time is up.
var errOverdue = errors.New("the time is up")

// left returns the time until the caller's deadline or the route's timeout.
func (jb *job) left(now time.Time) (time.Duration, bool) {
	limit := jb.rt.Timeout
	if dl := jb.ex.Deadline; dl > 0 && (limit <= 0 || dl < limit) {
		limit = dl
	}
	return limit - now.Sub(jb.ex.Arrived), limit > 0
}

// accept turns a good attempt into the answer, and a failed one into it when
// nothing better can come. Otherwise it returns what the attempt came to: the
// body may break after a good header.
func (jb *job) accept(ctx context.Context, at *attempt, ve verdict) (*Answer, verdict) {
	take := ve == taken || ve == unsure && !jb.climb(ctx) || ve == failed && !jb.mayRepeat(ctx)
	if !take {
		at.drop(ve)
		return nil, ve
	}
	if ans := jb.answer(ctx, at); ans != nil {
		return ans, ve
	}
	return nil, lost
}

// goOn decides after a failed attempt whether another follows; it returns the
// failure when none does.
func (jb *job) goOn(ctx context.Context, at *attempt, ve verdict) *core.Failure {
	if ve.ran() {
		jb.ran = true
	}
	jb.last = at.why
	if ctx.Err() != nil {
		return jb.overdue(ctx)
	}
	switch ve {
	case unsure, failed:
		return nil // Allowed by accept.
	case lost:
		if !jb.mayRepeat(ctx) {
			return jb.give(core.CodeOutcomeLost, 0, "the upstream's answer was lost: "+at.why)
		}
	case refused:
		if jb.sends >= maxSends || !jb.spend(retry.Retry) {
			return jb.give(core.CodeOverloaded, jb.backoff(), "the upstreams take no more work")
		}
	case stranger:
		// Whoever has the address counts this as an arrival.
		if jb.sends >= maxSends || !jb.spend(retry.Retry) {
			return jb.give(core.CodeNoUpstream, jb.backoff(), "the upstreams that are listed are others by now")
		}
	case unreached, absent:
		if jb.sends >= maxSends {
			return jb.give(core.CodeNoUpstream, jb.backoff(), "no upstream can be reached")
		}
	}
	return nil
}

// mayRepeat reports whether work that may have run can run once more, and takes
// it from the budget.
func (jb *job) mayRepeat(ctx context.Context) bool {
	left, bounded := jb.left(time.Now())
	switch {
	case !jb.rt.Repeat.Repeatable():
		jb.noRepeat = "the work may run once only"
	case jb.runs >= jb.attempts():
		jb.noRepeat = "the route's attempts are used up"
	case ctx.Err() != nil:
		jb.noRepeat = reason(ctx)
	case bounded && left < 2*leastLeft:
		jb.noRepeat = "the time is nearly up"
	case !jb.others():
		jb.noRepeat = "there is no upstream that was not asked"
	case !jb.spend(retry.Retry):
		jb.noRepeat = "the budget for repeats is used up"
	default:
		jb.noRepeat = ""
	}
	return jb.noRepeat == ""
}

func (jb *job) attempts() int { return max(jb.rt.MaxAttempts, 1) }

func (jb *job) spend(pu retry.Purpose) bool {
	fw := jb.fw
	fw.mu.Lock()
	ok := fw.window(jb.service).Spend(time.Now(), pu)
	fw.mu.Unlock()
	fw.meters.repeat(pu, ok)
	return ok
}

// request is what the choice of an upstream depends on.
func (jb *job) request() balance.Request {
	return balance.Request{
		Service: jb.service, Model: jb.model(), Parts: jb.ex.Parts, Prompt: jb.ex.Prompt,
		Engine: len(jb.ex.Parts) > 0 || jb.ex.Prompt > 0, Pool: jb.rt.ID, Tried: jb.tried,
		Once: !jb.rt.Repeat.Repeatable(), Slack: jb.slack(),
		RemoteOnly: jb.lane().remote,
	}
}

// slack is the time until an answer begins too late to be good, or 0 without an
// aim. One that is late already has the least.
func (jb *job) slack() time.Duration {
	if jb.rt.Aim <= 0 {
		return 0
	}
	return max(jb.rt.Aim-time.Since(jb.ex.Arrived), leastLeft)
}

// begin chooses the upstream of the next attempt.
func (jb *job) begin(after string) (*attempt, *core.Failure) {
	now := time.Now()
	left, bounded := jb.left(now)
	if bounded && left < leastLeft {
		return nil, jb.give(core.CodeDeadline, comeBack, "the time was up before an upstream was asked")
	}
	fw, rq := jb.fw, jb.request()
	hosts := fw.parts.Canary.Choose(now, jb.service, jb.ex.Session, fw.draw(), jb.candidates(now), fw.parts.Age() < staleAfter)
	fw.mu.Lock()
	ho, pe, ok := jb.pick(now, hosts, rq)
	if !ok {
		fw.mu.Unlock()
		return nil, jb.give(core.CodeNoUpstream, jb.backoff(), "no upstream takes this work now")
	}
	at := &attempt{jb: jb, to: ho, rq: rq, sent: now, after: after, left: left, bounded: bounded, permit: pe}
	at.flight = fw.picker.Sent(now, ho, rq)
	at.read = at.flight.Read()
	jb.reading += at.flight.Cost()
	at.patience = patience(jb.rt, fw.picker.Usual(rq), at.read, left)
	at.rank = balance.Rank(jb.priority, jb.rankedRead(at), fw.draw())
	repeats := fw.window(jb.service).Left(now, retry.Retry)
	fw.mu.Unlock()
	select {
	case fw.sent <- struct{}{}:
	default:
	}
	fw.parts.Canary.Sent(now, jb.ex.Session, ho)
	jb.tried = append(jb.tried, ho.ID)
	jb.sends++
	jb.runs++
	at.number = jb.sends
	if jb.runs >= jb.attempts() || jb.off(mechanism.EarlyRepeats) {
		at.patience = 0
	}
	at.logBegin(len(hosts), repeats)
	return at, nil
}

// pick chooses an upstream and takes the permit that it may need. The forwarder's
// lock is held.
func (jb *job) pick(now time.Time, hosts []core.Host, rq balance.Request) (core.Host, *warmup.Permit, bool) {
	for {
		ho, ok := jb.fw.picker.Pick(now, hosts, rq, jb.fw.draw)
		if !ok {
			return core.Host{}, nil, false
		}
		if pe, ok := jb.take(now, &ho); ok {
			return ho, pe, true
		}
		// Another request has taken the last permit since the list was made.
		rq.Tried = append(slices.Clone(rq.Tried), ho.ID)
	}
}

func (jb *job) off(na mechanism.Name) bool { return jb.fw.parts.Off.Has(na) }

// rankedRead is the time to read an attempt's prompt that its rank goes by.
func (jb *job) rankedRead(at *attempt) time.Duration {
	if jb.off(mechanism.LengthRanks) {
		return 0
	}
	return at.flight.Cost()
}

// backoff is the time after which a caller should try again: soon, but spread,
// so that those who were refused together do not come back together.
func (jb *job) backoff() time.Duration {
	const least, spread = 300 * time.Millisecond, 500 * time.Millisecond
	return least + time.Duration(jb.fw.drawn()*float64(spread))
}

// give returns the failure of a job that ends without an answer.
func (jb *job) give(code core.Code, back time.Duration, text string) *core.Failure {
	if !jb.ran {
		return core.Refuse(code, back, "%s", text)
	}
	return &core.Failure{Code: code, Ran: core.RanUnknown, Message: text}
}

// ErrStopping ends the context of requests that a planned stop cannot wait for
// any longer.
var ErrStopping = errors.New("the process is stopping")

// overdue is the failure of a job whose time is up or whose caller is gone.
func (jb *job) overdue(ctx context.Context) *core.Failure {
	switch code := endCode(ctx); code {
	case core.CodeLeaving:
		return jb.give(code, Restart, "the process ended before an answer came")
	case core.CodeDeadline:
		return jb.give(code, comeBack, "no answer came in time")
	default:
		return jb.give(core.CodeCallerGone, 0, reason(ctx))
	}
}

// endCode is the code of what ended a job's context; while nothing did, the
// upstream broke off.
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

// reason tells what ended a job's context. net/http cancels it when the caller's
// connection ends.
func reason(ctx context.Context) string {
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		return cause.Error()
	}
	return "the caller is gone"
}
