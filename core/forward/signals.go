package forward

import (
	"time"

	"skylarkstand/core"
	"skylarkstand/core/balance"
	"skylarkstand/core/event"
	"skylarkstand/core/ratelimit"
)

// recordSignals records what the response header says of the upstream's state.
func (at *attempt) recordSignals() {
	re, fw, rq := at.reply, at.jb.fw, at.jb.ex.ID
	if !re.FromUpstream() {
		return
	}
	fw.observeRateLimit(at.began, ratelimit.Answer{Host: at.to, Sent: at.sent, Limit: re.RateLimit}, rq)
	fw.observeRetryAfter(at.began, &at.to, re.RetryAfter, rq)
	if re.Draining {
		fw.observeDraining(at.began, &at.to, rq)
	}
}

// AdmitQuery reports whether an engine accepts a query of its prefix cache now, and takes a token if
// it has a rate limit. It implements prefixsync's Learner.
func (fw *Forwarder) AdmitQuery(ho core.Host) bool {
	now := time.Now()
	return len(fw.components.Cooldowns.Available(now, []core.Host{ho})) > 0 && fw.components.RateLimits.Acquire(now, &ho)
}

// ObserveSignals records what an engine's answer to a query says of its state. It implements
// prefixsync's Learner. The absence of a signal proves nothing, since queries are not requests.
func (fw *Forwarder) ObserveSignals(ho core.Host, sent time.Time, si core.Signals) {
	now := time.Now()
	if si.RateLimit != nil {
		fw.observeRateLimit(now, ratelimit.Answer{Host: ho, Sent: sent, Limit: si.RateLimit}, "")
	}
	fw.observeRetryAfter(now, &ho, si.RetryAfter, "")
	if si.Draining {
		fw.observeDraining(now, &ho, "")
	}
}

// observeRateLimit records what an answer says of its upstream's rate limit, and logs a change. The
// request is empty for a query.
func (fw *Forwarder) observeRateLimit(now time.Time, an ratelimit.Answer, rq core.RequestID) {
	switch fw.components.RateLimits.Observe(now, an) {
	case ratelimit.Limited:
		event.Log(fw.deps.Log, event.UpstreamLimited, "upstream", an.Host.ID, "limit", float64(*an.Limit), "by", "answer", "request", rq)
	case ratelimit.Lifted:
		event.Log(fw.deps.Log, event.UpstreamUnlimited, "upstream", an.Host.ID, "request", rq)
	case ratelimit.Unchanged:
	}
}

// observeRetryAfter begins the cooldown that an upstream has asked for, if any, and logs it.
func (fw *Forwarder) observeRetryAfter(now time.Time, ho *core.Host, du time.Duration, rq core.RequestID) {
	if du > 0 && fw.components.Cooldowns.Begin(now, ho, du) {
		event.Log(fw.deps.Log, event.UpstreamCooldown, "upstream", ho.ID, "retry-after", du, "request", rq)
	}
}

// observeDraining keeps new work from an upstream that says that it is about to leave.
func (fw *Forwarder) observeDraining(now time.Time, ho *core.Host, rq core.RequestID) {
	if !fw.components.Fleet.MarkDraining(now, ho.ID, ho.StartedAt) {
		return
	}
	event.Log(fw.deps.Log, event.UpstreamDraining, "upstream", ho.ID, "by", "answer", "request", rq)
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.newDraining = append(fw.newDraining, balance.NewIncarnation(ho))
}

// TakeRateLimits returns what this entry has learned of upstreams' rate limits since the last call.
func (fw *Forwarder) TakeRateLimits() []ratelimit.Notice {
	return fw.components.RateLimits.TakeNotices(time.Now())
}

// ReceiveRateLimits processes what a sibling entry has learned of upstreams' rate limits.
func (fw *Forwarder) ReceiveRateLimits(notices []ratelimit.Notice) {
	for _, no := range fw.components.RateLimits.ReceiveNotices(time.Now(), notices) {
		ho, _ := fw.listed(no.Incarnation) // The id is empty in the line if the list lags.
		event.Log(fw.deps.Log, event.UpstreamLimited, "upstream", ho.ID, "limit", float64(*no.Limit), "by", "sibling")
	}
}

// TakeDraining returns the upstreams that have told this entry since the last call that they are
// about to leave.
func (fw *Forwarder) TakeDraining() []balance.Incarnation {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	out := fw.newDraining
	fw.newDraining = nil
	return out
}

// ReceiveDraining processes the upstreams that have told a sibling entry that they are about to
// leave.
func (fw *Forwarder) ReceiveDraining(ups []balance.Incarnation) {
	for _, in := range ups {
		if ho, ok := fw.listed(in); ok && fw.components.Fleet.MarkDraining(time.Now(), ho.ID, ho.StartedAt) {
			event.Log(fw.deps.Log, event.UpstreamDraining, "upstream", ho.ID, "by", "sibling")
		}
	}
}

// listed returns the upstream of an incarnation.
func (fw *Forwarder) listed(in balance.Incarnation) (core.Host, bool) {
	return fw.components.Fleet.Find(func(ho core.Host) bool { return balance.NewIncarnation(&ho) == in })
}
