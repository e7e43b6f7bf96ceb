package app

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"os"
	"time"

	"skylarkstand/app/settings"
	"skylarkstand/core"
	"skylarkstand/core/canary"
	"skylarkstand/core/cooldown"
	"skylarkstand/core/fleet"
	"skylarkstand/core/forward"
	"skylarkstand/core/mechanism"
	"skylarkstand/core/membership"
	"skylarkstand/core/meter"
	"skylarkstand/core/prefixsync"
	"skylarkstand/core/ratelimit"
	"skylarkstand/core/replica"
	"skylarkstand/core/route"
	"skylarkstand/core/share"
	"skylarkstand/core/suspect"
	"skylarkstand/core/warmup"
	"skylarkstand/core/warmupsync"
	"skylarkstand/core/watch"
	"skylarkstand/io/front"
	"skylarkstand/io/logline"
	"skylarkstand/io/metrics"
	"skylarkstand/io/sibling"
	"skylarkstand/io/upstream"
	"skylarkstand/platform"
)

// newGatewayProcess returns a process that logs to standard output, where the platform collects
// the log. Logging does not block on the reader.
func newGatewayProcess(set settings.Gateway) (process, func()) {
	scope, page, closeScope := metrics.New("gateway")
	var lv slog.Level
	if lv.UnmarshalText([]byte(set.LogLevel)) != nil {
		lv = slog.LevelInfo
	}
	self := core.ProcessID(core.NewID())
	lg, closeLog := logline.New(os.Stdout, lv, slog.String("process", string(self)), slog.String("zone", string(set.Zone)))
	deps := core.Deps{Self: self, Zone: set.Zone, Region: set.Regions[set.Zone], Log: lg, Metrics: scope}
	return process{Deps: deps, Page: page}, func() {
		closeScope()
		closeLog()
	}
}

func newUpstreamClient() (*upstream.Client, func()) { return upstream.New() }

func newPlatformStore(set settings.Gateway, deps core.Deps, cl *upstream.Client) *platform.Store {
	return platform.NewStore(set.Store, cl, platform.Observe(func(call string, took time.Duration, err error) {
		meter.StoreCallTime.Record(deps.Metrics, took, call, storeOutcome(err))
	}))
}

// storeOutcome returns the value of the outcome label for a store call in metrics.
func storeOutcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, core.ErrConflict):
		return "conflict"
	case errors.Is(err, core.ErrNotFound):
		return "not-found"
	case errors.Is(err, core.ErrCompacted):
		return "compacted"
	case errors.Is(err, core.ErrUncertain):
		return "uncertain"
	default:
		return "unavailable"
	}
}

func newLayout(set settings.Gateway) platform.Layout { return platform.Layout{Regions: set.Regions} }

func newFleet() *fleet.Fleet { return fleet.New() }

func newWarmup(set settings.Gateway, deps core.Deps) *warmup.Tracker {
	return warmup.New(deps.Self, warmup.Overshoot(set.WarmUp.Overshoot, set.WarmUp.Slack))
}

func newRateLimits(deps core.Deps, me *members) *ratelimit.Tracker {
	return ratelimit.New(deps.Self, me.ids)
}

// newDisabled returns the disabled mechanisms. The settings are validated before.
func newDisabled(set settings.Gateway) (mechanism.Disabled, error) {
	return mechanism.Parse(set.DisabledMechanisms)
}

func newGuard(set settings.Gateway, deps core.Deps, me *members, off mechanism.Disabled) *canary.Guard {
	return canary.New(
		canary.Self(deps.Self), canary.SessionGap(time.Duration(set.SessionGap)), canary.Exposure(set.Exposure), canary.ExposureSlack(set.ExposureSlack),
		canary.Entries(func() int { return me.count() }), canary.Without(off),
	)
}

func newCodec() front.Codec { return platform.CallerCodec{} }

// members provides the registered entries. Its functions are set when the watch handler is created,
// since that depends on components that use members.
type members struct {
	list     func() []watch.Member
	count    func() int
	standing func(now time.Time, self core.ProcessID, span time.Duration) share.Standing
}

func newMembers() *members {
	return &members{
		list: func() []watch.Member { return nil }, count: func() int { return 0 },
		standing: func(time.Time, core.ProcessID, time.Duration) share.Standing { return share.Standing{} },
	}
}

// Standing implements [share.List].
func (me *members) Standing(now time.Time, self core.ProcessID, span time.Duration) share.Standing {
	return me.standing(now, self, span)
}

// lenders are the entries that may lend a retry. Its function is set when the gossiper is created, which
// depends on the forwarder.
type lenders struct {
	borrow func(core.ServiceID) bool
}

func newLenders() *lenders { return &lenders{borrow: func(core.ServiceID) bool { return false }} }

// newDivider returns the part of this entry in what all entries share.
func newDivider(deps core.Deps, me *members, rep *replica.Replica) *share.Divider {
	return share.New(deps.Self, me, rep.Age)
}

// ids returns the ids of the entries.
func (me *members) ids() []core.ProcessID {
	list := me.list()
	out := make([]core.ProcessID, len(list))
	for i, mb := range list {
		out[i] = mb.ID
	}
	return out
}

// others returns the addresses of the other entries. It excludes by address, not by id, so that a
// previous process registered at this process's address is not among them.
func (me *members) others(own string) []string {
	var out []string
	for _, mb := range me.list() {
		if mb.Addr != own {
			out = append(out, mb.Addr)
		}
	}
	return out
}

// inRegion returns the entries of a region.
func (me *members) inRegion(regions map[core.Zone]core.Region, re core.Region) []watch.Member {
	var out []watch.Member
	for _, mb := range me.list() {
		if regions[mb.Zone] == re {
			out = append(out, mb)
		}
	}
	return out
}

// othersInRegion returns the addresses of the other entries of a region.
func (me *members) othersInRegion(own string, regions map[core.Zone]core.Region, re core.Region) []string {
	var out []string
	for _, mb := range me.inRegion(regions, re) {
		if mb.Addr != own {
			out = append(out, mb.Addr)
		}
	}
	return out
}

// byRemoteRegion returns the addresses of the entries of each other region.
func (me *members) byRemoteRegion(regions map[core.Zone]core.Region, own core.Region) map[core.Region][]string {
	by := map[core.Region][]string{}
	for _, mb := range me.list() {
		if re := regions[mb.Zone]; re != own {
			by[re] = append(by[re], mb.Addr)
		}
	}
	return by
}

// newMember returns this process's registration.
func newMember(set settings.Gateway, deps core.Deps) watch.Member {
	return watch.Member{ID: deps.Self, Addr: set.Siblings, Zone: deps.Zone}
}

func newReaders(set settings.Gateway, self watch.Member, me *members) *membership.Readers {
	return membership.NewReaders(self, set.Regions, func() []watch.Member { return me.list() })
}

func newRegistrar(deps core.Deps, st *platform.Store, rd *membership.Readers, self watch.Member, ha *watch.Handler) *membership.Registrar {
	return membership.NewRegistrar(deps, st, rd, self, ha)
}

func newSiblings(set settings.Gateway, cl *upstream.Client, rd *membership.Readers, me *members) *sibling.Siblings {
	return sibling.New(cl, func() []string { return me.others(set.Siblings) }, rand.IntN,
		sibling.Own(set.Siblings), sibling.Seeds(set.Seeds, set.SeedListen, rd.SetSponsor))
}

func newFollower(deps core.Deps, re *replica.Replica, st *platform.Store, la platform.Layout, si *sibling.Siblings, rd *membership.Readers, off mechanism.Disabled) *replica.Follower {
	operators := replica.OperatorKeys(la.IsOperators)
	if off.Has(mechanism.StoreReaders) {
		return replica.NewFollower(deps, re, st, si, operators)
	}
	return replica.NewFollower(deps, re, st, si, operators, replica.IsReader(func() bool { return rd.IsReader(time.Now()) }), replica.FirstCopyFrom(si))
}

func newForwarder(set settings.Gateway, deps core.Deps, inf *route.InForce, fl *fleet.Fleet, gu *canary.Guard, wt *warmup.Tracker, rl *ratelimit.Tracker, rep *replica.Replica, ac core.UpstreamClient, de *suspect.Detector, qu *suspect.Recorder, sc *shutdownState, di *share.Divider, le *lenders, off mechanism.Disabled) *forward.Forwarder {
	re := set.RetryBudget
	window := time.Duration(re.Window)
	slack := func(now time.Time) float64 { return re.Slack * di.Part(now, window) }
	return forward.New(deps, ac, forward.Components{
		InForce: inf, Fleet: fl, Canary: gu, Warmup: wt, RateLimits: rl, Cooldowns: cooldown.New(), Suspects: de, Permits: qu,
		ConfigAge:      func() time.Duration { return rep.Age(time.Now()) },
		NewRetryWindow: forward.RetryWindows(window, re.Ratio, slack), Shares: di, BorrowRetry: func(sv core.ServiceID) bool { return le.borrow(sv) },
		Stopping: sc.remaining, Off: off,
	}, answerBuffers(set.Memory)...)
}

// answerBuffersShare is the share of the allowed memory for parts of answers that are not passed on yet.
const answerBuffersShare = 0.2

func answerBuffers(mb int64) []forward.Option {
	if mb <= 0 {
		return nil
	}
	return []forward.Option{forward.AnswerBuffers(int64(answerBuffersShare * float64(mb<<20)))}
}

func newWatchHandler(deps core.Deps, la platform.Layout, inf *route.InForce, fl *fleet.Fleet, gu *canary.Guard, wt *warmup.Tracker, fw *forward.Forwarder, cl *upstream.Client, qu *suspect.Recorder, me *members) *watch.Handler {
	ha := watch.New(deps, la, watch.Targets{
		InForce: inf, Fleet: fl, Canary: gu, Warmup: wt, Regions: la.Regions,
		OnRemoved: func(ho core.Host) {
			cl.CloseIdle(ho.Addr)
			fw.Forget(ho.ID)
		},
		OnQuarantine: qu.HandleChange,
	})
	me.list, me.count, me.standing = ha.Members, ha.EntryCount, ha.Standing
	return ha
}

func newRecorder(deps core.Deps, gu *canary.Guard, st *platform.Store, la platform.Layout, rd *membership.Readers) *canary.Recorder {
	return canary.NewRecorder(deps, gu, st, la, watch.PrefixSteps, func(core.ServiceID) int { return rd.WriterRank(time.Now()) })
}

func newDetector(deps core.Deps, reg *suspect.Registry, me *members) *suspect.Detector {
	return suspect.NewDetector(reg, suspect.Among(deps.Self, func() int { return me.count() }))
}

func newQuarantineRecorder(deps core.Deps, de *suspect.Detector, st *platform.Store, rd *membership.Readers) *suspect.Recorder {
	return suspect.NewRecorder(deps, de, st, func() int { return rd.WriterRank(time.Now()) })
}

func newCollector(gu *canary.Guard, si *sibling.Siblings) *canary.Collector {
	return canary.NewCollector(gu, si)
}

func newGossiper(set settings.Gateway, deps core.Deps, fw *forward.Forwarder, fo *replica.Follower, rd *membership.Readers, rg *membership.Registrar, me *members, le *lenders) *sibling.Gossiper {
	local := func() []string { return me.othersInRegion(set.Siblings, set.Regions, deps.Region) }
	isReader := func() bool { return rd.IsReader(time.Now()) }
	remote := func() map[core.Region][]string { return me.byRemoteRegion(set.Regions, deps.Region) }
	gs := sibling.NewGossiper(deps.Self, set.Siblings, fw, fo, local, isReader, sibling.RemoteEntries(remote), sibling.Heartbeats(rg))
	le.borrow = gs.BorrowRetry
	return gs
}

func newSyncer(set settings.Gateway, deps core.Deps, inf *route.InForce, fl *fleet.Fleet, mem core.PrefixCaches, fw *forward.Forwarder, me *members, off mechanism.Disabled) *prefixsync.Syncer {
	others := func() []string { return me.othersInRegion(set.Siblings, set.Regions, deps.Region) }
	return prefixsync.New(deps, inf, fl, mem, fw, prefixsync.Without(off), prefixsync.Entries(set.Siblings, others))
}

func newWarmupSyncer(set settings.Gateway, deps core.Deps, inf *route.InForce, fl *fleet.Fleet, wt *warmup.Tracker, pr core.WarmupProber, me *members, off mechanism.Disabled) *warmupsync.Syncer {
	others := func() []string { return me.othersInRegion(set.Siblings, set.Regions, deps.Region) }
	return warmupsync.New(deps, inf, fl, wt, pr, warmupsync.Without(off), warmupsync.Entries(set.Siblings, others))
}
