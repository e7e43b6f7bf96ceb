package forward

import (
	"time"

	"skylarkstand/core"
	"skylarkstand/core/balance"
	"skylarkstand/core/event"
	"skylarkstand/core/ratelimit"
)

// recordSignals records the signals of the response header.
func (at *attempt) recordSignals() {
	re, fw, rq := at.reply, at.jb.fw, at.jb.ex.ID
	if !re.FromUpstream() {
		return
	}
	fw.observeRateLimit(at.began, ratelimit.Observation{Host: at.to, Sent: at.sent, Limit: re.RateLimit}, rq)
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

// ObserveSignals records the signals of an engine's response to a query. It implements prefixsync's
// Learner. The absence of a signal proves nothing, since queries are not requests.
func (fw *Forwarder) ObserveSignals(ho core.Host, sent time.Time, si core.Signals) {
	now := time.Now()
	if si.RateLimit != nil {
		fw.observeRateLimit(now, ratelimit.Observation{Host: ho, Sent: sent, Limit: si.RateLimit}, "")
	}
	fw.observeRetryAfter(now, &ho, si.RetryAfter, "")
	if si.Draining {
		fw.observeDraining(now, &ho, "")
	}
}

// observeRateLimit records the rate limit of a response and logs a change. The request is empty for a
// query.
func (fw *Forwarder) observeRateLimit(now time.Time, an ratelimit.Observation, rq core.RequestID) {
	switch fw.components.RateLimits.Observe(now, an) {
	case ratelimit.Limited:
		event.Log(fw.deps.Log, event.UpstreamLimited, "upstream", an.Host.ID, "limit", float64(*an.Limit), "by", "answer", "request", rq)
	case ratelimit.Lifted:
		event.Log(fw.deps.Log, event.UpstreamUnlimited, "upstream", an.Host.ID, "request", rq)
	case ratelimit.Unchanged:
	}
}

// observeRetryAfter begins a cooldown if the upstream sent a Retry-After, and logs it.
func (fw *Forwarder) observeRetryAfter(now time.Time, ho *core.Host, du time.Duration, rq core.RequestID) {
	if du > 0 && fw.components.Cooldowns.Begin(now, ho, du) {
		event.Log(fw.deps.Log, event.UpstreamCooldown, "upstream", ho.ID, "retry-after", du, "request", rq)
	}
}

// observeDraining keeps new work from a draining upstream and logs it.
func (fw *Forwarder) observeDraining(now time.Time, ho *core.Host, rq core.RequestID) {
	if !fw.components.Fleet.MarkDraining(now, ho.ID, ho.StartedAt) {
		return
	}
	event.Log(fw.deps.Log, event.UpstreamDraining, "upstream", ho.ID, "by", "answer", "request", rq)
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.newDraining = append(fw.newDraining, balance.NewIncarnation(ho))
}

// TakeRateLimits returns the changes of rate limits to announce since the last call.
func (fw *Forwarder) TakeRateLimits() []ratelimit.Notice {
	return fw.components.RateLimits.TakeNotices(time.Now())
}

// ReceiveRateLimits processes the rate limits that a sibling entry has announced.
func (fw *Forwarder) ReceiveRateLimits(notices []ratelimit.Notice) {
	for _, no := range fw.components.RateLimits.ReceiveNotices(time.Now(), notices) {
		ho, _ := fw.listed(no.Incarnation) // The id is empty in the line if the list lags.
		event.Log(fw.deps.Log, event.UpstreamLimited, "upstream", ho.ID, "limit", float64(*no.Limit), "by", "sibling")
	}
}

// TakeDraining returns the upstreams that this entry has found draining since the last call.
func (fw *Forwarder) TakeDraining() []balance.Incarnation {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	out := fw.newDraining
	fw.newDraining = nil
	return out
}

// ReceiveDraining processes the upstreams that a sibling entry has found draining.
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
