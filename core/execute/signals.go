package execute

import (
	"context"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/event"
	"skylarkstand/core/ratelimit"
)

// call calls the upstream, unless it accepts no request at this moment. All calls go through here,
// and only calls: an operation that has run is answered from its claim at any time. The agent is the
// only way to its upstream, so a limit on the requests of all entries together is a limit on this
// agent's calls.
func (ex *Executor) call(ctx context.Context, at *core.Attempt) (core.Answer, error) {
	now := time.Now()
	if left := ex.cooldowns.Remaining(now, []core.Host{ex.host}); left > 0 {
		return nil, core.Refuse(core.CodeOverloaded, max(left, minRetryAfter), "upstream %s accepts no requests for another %s, by its Retry-After", ex.host.ID, left)
	}
	if !ex.upstreamDraining.admit(now) {
		return nil, core.Refuse(core.CodeLeaving, minRetryAfter, "upstream %s is draining", ex.host.ID)
	}
	if !ex.limits.Acquire(now, &ex.host) {
		interval, _ := ex.limits.Interval(now, []core.Host{ex.host})
		return nil, core.Refuse(core.CodeOverloaded, max(interval, minRetryAfter), "the rate limit of upstream %s is exhausted", ex.host.ID)
	}
	return ex.runner.Run(ctx, at)
}

// observe records the signals of a response.
func (ex *Executor) observe(sent time.Time, si core.Signals) {
	now := time.Now()
	if si.RetryAfter > 0 && ex.cooldowns.Begin(now, &ex.host, si.RetryAfter) {
		event.Log(ex.deps.Log, event.UpstreamCooldown, "upstream", ex.host.ID, "retry-after", si.RetryAfter)
	}
	if ex.upstreamDraining.observe(now, sent, si.Draining) {
		event.Log(ex.deps.Log, event.UpstreamDraining, "upstream", ex.host.ID, "by", "answer")
	}
	an := ratelimit.Observation{Host: ex.host, Sent: sent, Limit: si.RateLimit}
	switch ex.limits.Observe(now, an) {
	case ratelimit.Limited:
		event.Log(ex.deps.Log, event.UpstreamLimited, "upstream", ex.host.ID, "by", "answer", "limit", float64(*an.Limit))
	case ratelimit.Lifted:
		event.Log(ex.deps.Log, event.UpstreamUnlimited, "upstream", ex.host.ID)
	case ratelimit.Unchanged:
	}
}
