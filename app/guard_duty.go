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

// guardDuty keeps the guard of roll-outs in step with the configuration and
// writes its halts into it.
type guardDuty struct {
	deps core.Deps
	inf  *declaration.InForce
	gu   *rollout.Guard
	rec  *rollout.Recorder
	mesh *peer.Mesh
	self core.Host
	// hosts is the last reading of the host list.
	hosts atomic.Pointer[[]core.Host]
	// fresh is how old the last word of the newest configuration may be.
	fresh time.Duration

	stale, pending bool
	told           map[core.ModelVersion]bool
}

func newGuardDuty(set settings.Entry, deps core.Deps, inf *declaration.InForce, gu *rollout.Guard, st core.Store, mesh *peer.Mesh) *guardDuty {
	gd := &guardDuty{
		deps: deps, inf: inf, gu: gu, mesh: mesh, self: entryHost(set), rec: rollout.NewRecorder(chain.New(st, configurationChain), inf),
		fresh: time.Duration(set.Freshness), told: map[core.ModelVersion]bool{},
	}
	gd.hosts.Store(new([]core.Host))
	return gd
}

const (
	// guardPace is how often evidence goes to the home of a roll-out and a
	// halt that could not be recorded is tried again. Each pace exposes the
	// callers of half of it on average; each batch is a frame a roll-out.
	guardPace = 500 * time.Millisecond
	// sendLimit bounds the wait for a home that is frozen or far.
	sendLimit = 400 * time.Millisecond
	// recordLimit bounds one try, so that a store that hangs does not keep
	// the guard from newer configurations.
	recordLimit = 3 * time.Second
)

// Serve implements suture's service.
func (gd *guardDuty) Serve(ctx context.Context) error {
	tick := time.NewTicker(guardPace)
	defer tick.Stop()
	for {
		changed := gd.inf.Changed()
		if sn := gd.inf.Current(); sn != nil {
			gd.gu.Follow(sn)
		}
		gd.tellStale()
		gd.sendEvidence(ctx)
		gd.record(ctx)
		select {
		case <-changed:
		case <-gd.gu.New():
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Update takes a new reading of the host list.
func (gd *guardDuty) Update(hosts []core.Host) { gd.hosts.Store(&hosts) }

// sendEvidence gives what was seen to the homes of the roll-outs. An entry
// that cannot reach a home, or that the list does not name yet, decides alone.
func (gd *guardDuty) sendEvidence(ctx context.Context) {
	for _, ba := range gd.gu.Batches() {
		home, ok := rollout.Home(ba.Model, *gd.hosts.Load())
		switch {
		case !ok || gd.self.Addr == "":
			gd.gu.Alone(ba.Model, true)
		case home.Addr == gd.self.Addr:
			gd.gu.Alone(ba.Model, false)
			gd.gu.Pool(ba)
		default:
			gd.gu.Alone(ba.Model, !gd.send(ctx, home, ba))
		}
	}
}

func (gd *guardDuty) send(ctx context.Context, home core.Host, ba rollout.Batch) bool {
	sctx, cancel := context.WithTimeout(ctx, sendLimit)
	defer cancel()
	return gd.mesh.SendEvidence(sctx, home, ba) == nil
}

// tellStale logs when the configuration becomes outdated.
func (gd *guardDuty) tellStale() {
	stale := gd.inf.Current() != nil && !gd.inf.Fresh(time.Now(), gd.fresh)
	if stale && !gd.stale {
		event.Log(gd.deps.Log, event.ConfigStale, "generation", gd.inf.Number(), "heard", gd.inf.Heard())
	}
	gd.stale = stale
}

func (gd *guardDuty) record(ctx context.Context) {
	halts := gd.gu.Halts()
	if len(halts) == 0 {
		gd.pending = false
		clear(gd.told)
	}
	for _, ha := range halts {
		if !gd.told[ha.Version] {
			gd.told[ha.Version] = true
			event.Log(gd.deps.Log, event.RollOutHalted, "version", ha.Version.String(), "why", ha.Why, "reached", ha.Reached)
			meter.RollOutsHalted.Inc(gd.deps.Metrics)
			gd.mesh.TellHalt(ha, gd.inf.Number())
		}
		gd.recordOne(ctx, ha)
	}
}

func (gd *guardDuty) recordOne(ctx context.Context, ha rollout.Halt) {
	rctx, cancel := context.WithTimeout(ctx, recordLimit)
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
