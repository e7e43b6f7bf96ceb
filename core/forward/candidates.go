package forward

import (
	"slices"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/canary"
	"skylarkstand/core/route"
	"skylarkstand/core/warmup"
)

// regions returns where the request may be served: what its route and its
// workspace both allow, by the newest configuration that has them.
func (jb *job) regions() core.Regions {
	tb := jb.fw.parts.InForce.Current()
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

// lane separates the requests of a service that wait for other upstreams: those
// that may not be served in the entry's own region meet another load.
type lane struct {
	service core.ServiceID
	remote  bool
}

func (jb *job) lane() lane { return lane{jb.service, !jb.regions().Allows(jb.fw.deps.Region)} }

// upstreams lists those that may get the request now, of any version. Every
// choice of an upstream, and every estimate of what one would do, starts here:
// no other part of this package asks the fleet. The forwarder's lock is held.
func (jb *job) upstreams(now time.Time) []core.Host {
	hosts := jb.fw.parts.Fleet.Serving(jb.service, now, jb.regions())
	return jb.fw.parts.Warmup.Open(now, hosts, jb.warmup(), func(ho *core.Host) bool { return jb.suspectCold(now, ho) })
}

// warmup is what a cold upstream of the service can take.
func (jb *job) warmup() warmup.Bound {
	if sv := jb.tb.Service(jb.service); sv != nil {
		return sv.Warmup
	}
	return warmup.Bound{}
}

// suspectCold reports whether an upstream may have started again without the
// store having told so yet. The forwarder's lock is held.
func (jb *job) suspectCold(now time.Time, ho *core.Host) bool {
	return jb.fw.picker.AwayWithin(now, ho, jb.warmup().Duration)
}

// take takes a permit for an attempt at a cold upstream, or returns false where
// another request has taken the last one. The forwarder's lock is held.
func (jb *job) take(now time.Time, ho *core.Host) (*warmup.Permit, bool) {
	return jb.fw.parts.Warmup.Take(now, ho, jb.warmup(), jb.suspectCold(now, ho))
}

// candidates are the upstreams that the version of an attempt is chosen from.
func (jb *job) candidates(now time.Time) canary.Candidates {
	jb.fw.mu.Lock()
	defer jb.fw.mu.Unlock()
	return canary.Candidates{Ready: jb.fw.parts.Fleet.Ready(jb.service, now), Eligible: jb.upstreams(now)}
}

// others reports whether there is an upstream that was not asked.
func (jb *job) others() bool {
	jb.fw.mu.Lock()
	defer jb.fw.mu.Unlock()
	return slices.ContainsFunc(jb.upstreams(time.Now()), func(ho core.Host) bool { return !slices.Contains(jb.tried, ho.ID) })
}

// evacuatedBack is when a caller may come back to a service whose zones are all
// evacuated: such an order stands for many seconds.
const evacuatedBack = 5 * time.Second

// unserved refuses what no upstream may get, before anything waits for one.
func (jb *job) unserved(now time.Time) *core.Failure {
	fl, re := jb.fw.parts.Fleet, jb.regions()
	ready := fl.Ready(jb.service, now)
	if len(ready) == 0 || len(fl.Serving(jb.service, now, re)) > 0 {
		return nil // An empty service may fill in a moment; attempts find out.
	}
	if !slices.ContainsFunc(ready, func(ho core.Host) bool { return re.Allows(ho.Region) }) {
		return core.Refuse(core.CodeNoRegion, 0, "service %s has no upstream in the regions that route and workspace allow: %s", jb.service, re)
	}
	return core.Refuse(core.CodeEvacuated, evacuatedBack, "all availability zones of service %s in the allowed regions (%s) are evacuated: %v",
		jb.service, re, fl.Evacuated())
}
