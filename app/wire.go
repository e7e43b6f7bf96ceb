//go:build wireinject

package app

import (
	"github.com/google/wire"

	"skylarkstand/app/settings"
	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/dispatch"
	"skylarkstand/core/ledger"
	"skylarkstand/core/replica"
	"skylarkstand/core/rollout"
	"skylarkstand/core/route"
	"skylarkstand/core/suspect"
	"skylarkstand/io/agent"
	"skylarkstand/io/entry"
	"skylarkstand/io/front"
	"skylarkstand/io/hosts"
	"skylarkstand/io/rater"
	"skylarkstand/io/store"
	"skylarkstand/platform"
)

//go:generate wire

func wireEntry(set settings.Entry) (*entryProcess, func(), error) {
	wire.Build(
		newEntryProcess, wire.FieldsOf(new(process), "Deps", "Page"), newEntryStore, newHosts, newRater,
		declaration.NewInForce, agent.New, newLedger, newSuccessor, rollout.New, newDispatcher, newKeyring, newCaller,
		newConfigReader, newGuardService, suspect.New, newMesh, newUpstreams, newEntryAdmin, wire.Struct(new(statusPage), "*"),
		wire.Bind(new(core.Store), new(*store.Store)),
		wire.Bind(new(core.Hosts), new(*hosts.List)),
		wire.Bind(new(core.Rater), new(*rater.Rater)),
		wire.Bind(new(dispatch.Biller), new(*ledger.Writer)),
		wire.Struct(new(entryProcess), "*"),
	)
	return nil, nil, nil
}

func wireAgent(set settings.Agent) (*agentProcess, func(), error) {
	wire.Build(
		newAgentProcess, wire.FieldsOf(new(process), "Deps", "Page"), newAgentStore, newUpstreamHost, newRunner,
		declaration.NewInForce, newClaims, newExecutor, newGate, entry.New, newAgentAdmin,
		wire.Bind(new(core.Store), new(*store.Store)),
		wire.Struct(new(agentProcess), "*"),
	)
	return nil, nil, nil
}

func wireGateway(set settings.Gateway) (*gatewayProcess, func(), error) {
	wire.Build(
		newGatewayProcess, wire.FieldsOf(new(process), "Deps", "Page"), newUpstreamClient, newPlatformStore, newLayout,
		newFleet, newWarmup, newRateLimits, newDisabled, newGuard, newCodec, newMembers, newDivider, newLenders, newSiblings, newFollower, newForwarder, newWatchHandler, newMember, newReaders, newRegistrar, newRecorder, newQuarantineRecorder, newCollector, suspect.New, newDetector, newGossiper, newSyncer, newWarmupSyncer, newGauges, newShutdownState,
		route.NewInForce, replica.New, front.New, platform.NewUpstreams,
		wire.Bind(new(core.UpstreamClient), new(*platform.Upstreams)), wire.Bind(new(core.PrefixCaches), new(*platform.Upstreams)), wire.Bind(new(core.WarmupProber), new(*platform.Upstreams)),
		wire.Struct(new(gatewayProcess), "set", "deps", "inf", "fleet", "replica", "handler", "follower", "registrar", "guard", "recorder", "quarantine", "collector", "gossiper", "syncer", "warmups", "gauges", "srv", "admin", "stop"),
	)
	return nil, nil, nil
}
