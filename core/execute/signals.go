package execute

import (
	"context"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/event"
	"skylarkstand/core/ratelimit"
)

// call calls the upstream, unless it accepts no request at this moment. All calls go through here.
// The agent is the only way to its upstream, so a limit on the requests of all entries together is a
// limit on this agent's calls.
func (ex *Executor) call(ctx context.Context, at *core.Attempt) (core.Answer, error) {
	now := time.Now()
	if !ex.limits.Acquire(now, &ex.host) {
		return nil, ex.limitedFailure(now)
	}
	return ex.runner.Run(ctx, at)
}

// checkLimit refuses an attempt that could not be called now, before it waits for a claim.
func (ex *Executor) checkLimit() *core.Failure {
	now := time.Now()
	if len(ex.limits.Available(now, []core.Host{ex.host})) == 0 {
		return ex.limitedFailure(now)
	}
	return nil
}

func (ex *Executor) limitedFailure(now time.Time) *core.Failure {
	interval, _ := ex.limits.Interval(now, []core.Host{ex.host})
	return core.Refuse(core.CodeOverloaded, max(interval, minRetryAfter), "upstream %s accepts no more requests at its rate limit", ex.host.ID)
}

// observe records what the upstream says of itself.
func (ex *Executor) observe(sent time.Time, si core.Signals) {
	an := ratelimit.Answer{Host: ex.host, Sent: sent, Limit: si.RateLimit}
	switch ex.limits.Observe(time.Now(), an) {
	case ratelimit.Limited:
		event.Log(ex.deps.Log, event.UpstreamLimited, "upstream", ex.host.ID, "by", "answer", "limit", float64(*an.Limit))
	case ratelimit.Lifted:
		event.Log(ex.deps.Log, event.UpstreamUnlimited, "upstream", ex.host.ID)
	case ratelimit.Unchanged:
	}
}
