package app

import (
	"context"
	"sync/atomic"
	"time"

	"skylarkstand/app/settings"
	"skylarkstand/core"
	"skylarkstand/core/chain"
	"skylarkstand/core/declaration"
	"skylarkstand/core/event"
	"skylarkstand/core/meter"
	"skylarkstand/core/rollout"
	"skylarkstand/io/peer"
)

// guardService applies the configuration to the roll-out guard and records the guard's halts in the
// configuration. It implements suture.Service.
type guardService struct {
	deps core.Deps
	inf  *declaration.InForce
	gu   *rollout.Guard
	rec  *rollout.Recorder
	mesh *peer.Mesh
	self core.Host
	// hosts is the current host list.
	hosts atomic.Pointer[[]core.Host]
	// maxAge bounds the time since the configuration was last confirmed to be the newest. Beyond
	// it the configuration is stale.
	maxAge time.Duration

	// stale is set while the configuration is stale, pending while a halt could not be recorded.
	// Both are set after the condition was logged, so that it is logged once.
	stale, pending bool
	// announced holds the versions whose halt was logged and announced.
	announced map[core.ModelVersion]bool
}

func newGuardService(set settings.Entry, deps core.Deps, inf *declaration.InForce, gu *rollout.Guard, st core.Store, mesh *peer.Mesh) *guardService {
	gd := &guardService{
		deps: deps, inf: inf, gu: gu, mesh: mesh, self: entryHost(set), rec: rollout.NewRecorder(chain.New(st, configurationChain), inf),
		maxAge: time.Duration(set.Freshness), announced: map[core.ModelVersion]bool{},
	}
	gd.hosts.Store(new([]core.Host))
	return gd
}

const (
	// guardInterval is how often evidence is sent to the home of a roll-out, the entry that decides
	// on it, and how often recording a halt is retried. It delays a halt by half an interval on
	// average, in which callers still reach a bad version; each interval costs one frame per
	// roll-out.
	guardInterval = 500 * time.Millisecond
	// sendTimeout bounds the wait for a home that is frozen or has a long round-trip time.
	sendTimeout = 400 * time.Millisecond
	// recordTimeout bounds one attempt, so that a store that hangs does not delay the adoption of
	// newer configurations by the guard.
	recordTimeout = 3 * time.Second
)

// Serve implements suture.Service.
func (gd *guardService) Serve(ctx context.Context) error {
	tick := time.NewTicker(guardInterval)
	defer tick.Stop()
	for {
		changed := gd.inf.Changed()
		if sn := gd.inf.Current(); sn != nil {
			gd.gu.Apply(sn)
		}
		gd.logStale()
		gd.sendEvidence(ctx)
		gd.record(ctx)
		select {
		case <-changed:
		case <-gd.gu.HaltSignal():
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Update sets the current host list.
func (gd *guardService) Update(hosts []core.Host) { gd.hosts.Store(&hosts) }

// sendEvidence sends the observed attempts to the homes of the roll-outs. An entry decides locally
// if it cannot reach a home or has no address for other entries, or if the host list has no home.
func (gd *guardService) sendEvidence(ctx context.Context) {
	for _, ba := range gd.gu.TakeBatches() {
		home, ok := rollout.Home(ba.Model, *gd.hosts.Load())
		switch {
		case !ok || gd.self.Addr == "":
			gd.gu.SetDecideLocally(ba.Model, true)
		case home.Addr == gd.self.Addr:
			gd.gu.SetDecideLocally(ba.Model, false)
			gd.gu.MergeBatch(ba)
		default:
			gd.gu.SetDecideLocally(ba.Model, !gd.sendBatch(ctx, home, ba))
		}
	}
}

func (gd *guardService) sendBatch(ctx context.Context, home core.Host, ba rollout.Batch) bool {
	sctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return gd.mesh.SendEvidence(sctx, home, ba) == nil
}

// logStale logs when the configuration becomes stale.
func (gd *guardService) logStale() {
	stale := gd.inf.Current() != nil && !gd.inf.Fresh(time.Now(), gd.maxAge)
	if stale && !gd.stale {
		event.Log(gd.deps.Log, event.ConfigStale, "generation", gd.inf.Number(), "heard", gd.inf.ConfirmedAt())
	}
	gd.stale = stale
}

func (gd *guardService) record(ctx context.Context) {
	halts := gd.gu.PendingHalts()
	if len(halts) == 0 {
		gd.pending = false
		clear(gd.announced)
	}
	for _, ha := range halts {
		if !gd.announced[ha.Version] {
			gd.announced[ha.Version] = true
			event.Log(gd.deps.Log, event.RollOutHalted, "version", ha.Version.String(), "why", ha.Evidence, "reached", ha.Exposed)
			meter.RollOutsHalted.Inc(gd.deps.Metrics)
			gd.mesh.BroadcastHalt(ha, gd.inf.Number())
		}
		gd.recordOne(ctx, ha)
	}
}

func (gd *guardService) recordOne(ctx context.Context, ha rollout.Halt) {
	rctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	wrote, err := gd.rec.Record(rctx, ha, time.Now().UTC())
	switch {
	case err != nil && !gd.pending:
		gd.pending = true
		event.Log(gd.deps.Log, event.HaltPending, "version", ha.Version.String())
	case err == nil && wrote:
		event.Log(gd.deps.Log, event.HaltRecorded, "version", ha.Version.String(), "generation", gd.inf.Number())
	}
}
