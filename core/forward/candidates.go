package forward

import (
	"slices"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/canary"
	"skylarkstand/core/route"
	"skylarkstand/core/warmup"
)

// regions returns the regions that both the route and the workspace allow, each by the newest
// configuration that contains it.
func (jb *job) regions() core.Regions {
	tb := jb.fw.components.InForce.Current()
	if tb == nil || tb == jb.tb {
		return allowedRegions(jb.rt, jb.ws)
	}
	rt, ws := tb.Find(jb.ex.Host, jb.ex.Path), tb.Workspace(jb.ex.Key)
	if rt == nil || rt.ID != jb.rt.ID {
		rt = jb.rt
	}
	if ws == nil {
		ws = jb.ws
	}
	return allowedRegions(rt, ws)
}

func allowedRegions(rt *route.Route, ws *route.Workspace) core.Regions {
	if rt.Public || ws == nil {
		return rt.Regions
	}
	return rt.Regions.Intersect(ws.Regions)
}

// trafficClass separates the requests of a service that wait for different upstreams: requests
// that may not be served in the entry's local region wait in queues of other regions.
type trafficClass struct {
	service core.ServiceID
	remote  bool
}

func (jb *job) trafficClass() trafficClass {
	return trafficClass{jb.service, !jb.regions().Allows(jb.fw.deps.Region)}
}

// upstreams lists the upstreams that may get the request now, of any version. Every estimate of
// their load starts here. The forwarder's lock is held.
func (jb *job) upstreams(now time.Time) []core.Host { return jb.fw.accepting(now, jb.eligible(now)) }

// accepting leaves out the upstreams that accept no request of this entry now, by their rate limit or
// Retry-After.
func (fw *Forwarder) accepting(now time.Time, hosts []core.Host) []core.Host {
	return fw.components.RateLimits.Available(now, fw.components.Cooldowns.Available(now, hosts))
}

// eligible lists the upstreams from which the version of a request is chosen: those that may serve
// it, including the ones that accept no request now. Otherwise a session would move to
// another version when the upstreams of its own accept none. Every choice of an upstream starts
// here: no other part of this package queries the fleet. The forwarder's lock is held.
func (jb *job) eligible(now time.Time) []core.Host {
	hosts := jb.fw.components.Fleet.Serving(jb.service, jb.regions())
	return jb.fw.components.Warmup.Available(now, hosts, jb.coldLimit(), func(ho *core.Host) bool { return jb.suspectCold(now, ho) })
}

// coldLimit returns the limits for cold upstreams of the service.
func (jb *job) coldLimit() warmup.ColdLimit {
	if sv := jb.tb.Service(jb.service); sv != nil {
		return sv.Warmup
	}
	return warmup.ColdLimit{}
}

// suspectCold reports whether an upstream may have restarted before the store reported it. The
// forwarder's lock is held.
func (jb *job) suspectCold(now time.Time, ho *core.Host) bool {
	return jb.fw.picker.UnreachableWithin(now, ho, jb.coldLimit().Duration)
}

// takePermit takes a permit for an attempt at a cold upstream, or returns false when another
// request took the last one. The forwarder's lock is held.
func (jb *job) takePermit(now time.Time, ho *core.Host) (*warmup.Permit, bool) {
	return jb.fw.components.Warmup.Acquire(now, ho, jb.coldLimit(), jb.suspectCold(now, ho))
}

// candidates returns the upstreams from which the version of an attempt is chosen.
func (jb *job) candidates(now time.Time) canary.Candidates {
	jb.fw.mu.Lock()
	defer jb.fw.mu.Unlock()
	return canary.Candidates{Ready: jb.fw.components.Fleet.Ready(jb.service), Eligible: jb.eligible(now)}
}

// unavailableFailure is the failure of a request for which no upstream is left. hosts are those that
// would be allowed.
func (jb *job) unavailableFailure(now time.Time, hosts []core.Host) *core.Failure {
	co, retryAfter := &jb.fw.components, jb.backoff()
	open := co.Cooldowns.Available(now, hosts)
	if len(hosts) > 0 && len(open) == 0 {
		return jb.failure(core.CodeOverloaded, retryAfter+co.Cooldowns.Remaining(now, hosts), "no upstream accepts requests before its Retry-After")
	}
	if interval, limited := co.RateLimits.Interval(now, open); limited {
		return jb.failure(core.CodeOverloaded, retryAfter+interval, "the rate limits of the upstreams are exhausted")
	}
	return jb.failure(core.CodeNoUpstream, retryAfter, "no upstream takes this work now")
}

// refusedFailure is the failure of a request that upstreams have refused and that is not sent to
// another one.
func (jb *job) refusedFailure() *core.Failure {
	now, fw := time.Now(), jb.fw
	fw.mu.Lock()
	hosts := jb.eligible(now)
	fw.mu.Unlock()
	if len(fw.accepting(now, hosts)) == 0 {
		return jb.unavailableFailure(now, hosts)
	}
	return jb.failure(core.CodeOverloaded, jb.backoff(), "the upstreams take no more work")
}

// notRefusing leaves out the upstreams at addresses where the request was refused.
func (jb *job) notRefusing(hosts []core.Host) []core.Host {
	if len(jb.refusedAt) == 0 {
		return hosts
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(ho core.Host) bool { return slices.Contains(jb.refusedAt, ho.Addr) })
}

// hasUntried reports whether there is an upstream that was not called yet.
func (jb *job) hasUntried() bool {
	jb.fw.mu.Lock()
	defer jb.fw.mu.Unlock()
	return slices.ContainsFunc(jb.notRefusing(jb.upstreams(time.Now())), func(ho core.Host) bool { return !slices.Contains(jb.tried, ho.ID) })
}

// evacuatedRetryAfter is the Retry-After for a service whose availability zones are all
// evacuated: an evacuation lasts for many seconds.
const evacuatedRetryAfter = 5 * time.Second

// checkServable refuses a request that no upstream may serve, before it waits for one.
func (jb *job) checkServable() *core.Failure {
	fl, re := jb.fw.components.Fleet, jb.regions()
	ready := fl.Ready(jb.service)
	if len(ready) == 0 || len(fl.Serving(jb.service, re)) > 0 {
		return nil // A service without ready upstreams may get some soon; otherwise the attempts fail.
	}
	if !slices.ContainsFunc(ready, func(ho core.Host) bool { return re.Allows(ho.Region) }) {
		return core.Refuse(core.CodeNoRegion, 0, "service %s has no upstream in the regions that route and workspace allow: %s", jb.service, re)
	}
	return core.Refuse(core.CodeEvacuated, evacuatedRetryAfter, "all availability zones of service %s in the allowed regions (%s) are evacuated: %v",
		jb.service, re, fl.Evacuated())
}
