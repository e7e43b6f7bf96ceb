package app

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarkstand/core"
	"skylarkstand/core/canary"
	"skylarkstand/core/fleet"
	"skylarkstand/core/forward"
	"skylarkstand/core/meter"
	"skylarkstand/core/replica"
	"skylarkstand/core/route"
	"skylarkstand/io/front"
)

// gaugeInterval is how often the gauges are set. Collectors scrape about every 15 s.
const gaugeInterval = 5 * time.Second

// gauges is the service that exports a gateway's state as metrics. It implements
// suture.Service.
type gauges struct {
	scope   tally.Scope
	inf     *route.InForce
	fleet   *fleet.Fleet
	guard   *canary.Guard
	replica *replica.Replica
	fw      *forward.Forwarder
	srv     *front.Server
}

func newGauges(deps core.Deps, inf *route.InForce, fl *fleet.Fleet, gu *canary.Guard, re *replica.Replica, fw *forward.Forwarder, srv *front.Server) *gauges {
	return &gauges{deps.Metrics, inf, fl, gu, re, fw, srv}
}

// Serve implements suture.Service.
func (ga *gauges) Serve(ctx context.Context) error {
	ti := time.NewTicker(gaugeInterval)
	defer ti.Stop()
	for {
		ga.set(time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ti.C:
		}
	}
}

func (ga *gauges) set(now time.Time) {
	meter.InFlight.Set(ga.scope, float64(ga.srv.InFlight()))
	if tb := ga.inf.Current(); tb != nil {
		meter.ReplicaAge.Set(ga.scope, ga.replica.Age(now).Seconds())
		meter.ConfigVersion.Set(ga.scope, float64(tb.Version))
	}
	for sv, share := range ga.guard.Shares() {
		meter.RollOutShare.Set(ga.scope, share, string(sv))
	}
	for sv, remaining := range ga.fw.RetriesLeft() {
		meter.RepeatsLeft.Set(ga.scope, remaining, string(sv))
	}
	for sv, co := range ga.fleet.Counts() {
		ga.upstreams(sv, "serving", co.Serving)
		ga.upstreams(sv, "leaving", co.Leaving)
		ga.upstreams(sv, "doubtful", co.Doubtful)
		ga.upstreams(sv, "evacuated", co.Evacuated)
		ga.upstreams(sv, "avoided", ga.fw.Avoided(sv))
		ga.upstreams(sv, "limited", ga.fw.RateLimited(sv))
		ga.upstreams(sv, "cooldown", ga.fw.Cooling(sv))
	}
}

func (ga *gauges) upstreams(sv core.ServiceID, state string, n int) {
	meter.Upstreams.Set(ga.scope, float64(n), string(sv), state)
}
