package app

import (
	"log/slog"
	"net/http"
	"os"
	"time"

	"skylarkstand/app/settings"
	"skylarkstand/core"
	"skylarkstand/core/admission"
	"skylarkstand/core/claim"
	"skylarkstand/core/declaration"
	"skylarkstand/core/dispatch"
	"skylarkstand/core/execute"
	"skylarkstand/core/ledger"
	"skylarkstand/core/order"
	"skylarkstand/core/placement"
	"skylarkstand/core/rollout"
	"skylarkstand/core/session"
	"skylarkstand/core/suspect"
	"skylarkstand/io/agent"
	"skylarkstand/io/caller"
	"skylarkstand/io/engine"
	"skylarkstand/io/hosts"
	"skylarkstand/io/metrics"
	"skylarkstand/io/peer"
	"skylarkstand/io/rater"
	"skylarkstand/io/service"
	"skylarkstand/io/store"
)

// metricsPage is the handler of GET /metrics.
type metricsPage http.Handler

func newLogger(level string) *slog.Logger {
	var lv slog.Level
	if lv.UnmarshalText([]byte(level)) != nil {
		lv = slog.LevelInfo
	}
	return slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: lv}))
}

// process holds the components that every process has, whatever its role.
type process struct {
	Deps core.Deps
	Page metricsPage
}

func newProcess(role, level string, zo core.Zone, re core.Region) (process, func()) {
	scope, page, cleanup := metrics.New(role)
	deps := core.Deps{
		Self: core.ProcessID(core.NewID()), Zone: zo, Region: re,
		Log: newLogger(level), Metrics: scope,
	}
	return process{Deps: deps, Page: page}, cleanup
}

func newEntryProcess(set settings.Entry) (process, func()) {
	return newProcess("entry", set.LogLevel, set.Zone, set.Region)
}

func newAgentProcess(set settings.Agent) (process, func()) {
	return newProcess("agent", set.LogLevel, set.Zone, set.Region)
}

func newEntryStore(set settings.Entry) *store.Store { return store.New(set.Store) }
func newAgentStore(set settings.Agent) *store.Store { return store.New(set.Store) }
func newHosts(set settings.Entry) *hosts.List       { return hosts.New(set.Hosts) }
func newRater(set settings.Entry) *rater.Rater      { return rater.New(set.Rater) }

func newKeyring(set settings.Entry) *session.Keyring { return session.NewKeyring(set.PinSecret) }

func newLedger(set settings.Entry, deps core.Deps, st core.Store, po *agent.Pool) *ledger.Writer {
	return ledger.New(deps, st, ledger.MinInterval(time.Duration(set.LedgerPace)),
		ledger.WriteBudget(set.LedgerWrites, po.ListedEntries), ledger.OnDurable(po.ReportDurable))
}

func newSuccessor(deps core.Deps, st core.Store, po *agent.Pool, led *ledger.Writer) *ledger.Successor {
	su := ledger.NewSuccessor(deps, st, led)
	po.OnBills(su.Offer)
	return su
}

func newCaller(set settings.Entry, deps core.Deps, page metricsPage, inf *declaration.InForce, dis *dispatch.Dispatcher, kr *session.Keyring, mesh *peer.Mesh) *caller.Server {
	capacity := func(po admission.Pool) admission.Capacity {
		return admission.Capacity(dis.Capacity(po.Target, po.Service, po.CrossRegion))
	}
	gt := admission.NewGate(capacity, admission.MaxWait(time.Duration(set.MaxWait)), admission.MaxQueue(set.MaxQueue))
	return caller.New(deps, inf, dis, kr, caller.Gate(gt),
		caller.WithSessions(mesh), caller.MaxConfigAge(time.Duration(set.Freshness)), caller.MaxBody(set.MaxBody), caller.MaxInFlight(set.MaxInFlight), caller.Metrics(page))
}

// entryHost returns the entry's own record in the host list.
func entryHost(set settings.Entry) core.Host {
	return core.Host{Role: core.RoleEntry, Addr: set.PeerListen, Zone: set.Zone, Region: set.Region}
}

func newMesh(set settings.Entry, deps core.Deps, inf *declaration.InForce, reg *suspect.Registry, gu *rollout.Guard) *peer.Mesh {
	return peer.New(deps, inf, reg, entryHost(set), peer.Guard(gu))
}

func newUpstreams(deps core.Deps, po *agent.Pool, reg *suspect.Registry, mesh *peer.Mesh) core.Upstreams {
	return suspect.NewUpstreams(deps, po, reg, mesh.BroadcastSuspect)
}

func newDispatcher(set settings.Entry, deps core.Deps, inf *declaration.InForce, ups core.Upstreams, po *agent.Pool, ra core.Rater, bi dispatch.Biller, gu *rollout.Guard) *dispatch.Dispatcher {
	return dispatch.New(deps, inf, ups, ra, bi, dispatch.Guard(gu),
		dispatch.Candidates(po), dispatch.Placement(placement.CrossRegionBudget(set.CrossingBudget)))
}

// newUpstreamHost returns the agent's own record in the host list.
func newUpstreamHost(set settings.Agent) core.Host {
	return core.Host{
		Role: core.RoleAgent, ID: set.Upstream, Addr: set.Listen, Zone: set.Zone, Region: set.Region,
		Model: set.Model, Version: set.Version, Service: set.Service,
	}
}

func newRunner(set settings.Agent, deps core.Deps) core.Runner {
	if set.ServiceURL != "" {
		return service.New(set.ServiceURL)
	}
	return engine.New(deps, set.Engine)
}

func newClaims(set settings.Agent, deps core.Deps, st core.Store) (*claim.Table, func()) {
	return claim.New(deps, st, claim.Retention(time.Duration(set.ClaimRetention)), claim.WriteBudget(set.ClaimWrites))
}

func newExecutor(set settings.Agent, deps core.Deps, ho core.Host, inf *declaration.InForce, ru core.Runner, tbl *claim.Table) *execute.Executor {
	return execute.New(deps, ho, inf, ru, tbl, execute.Slots(set.Slots), execute.Queue(set.Queue))
}

func newGate(ho core.Host, st core.Store) *order.Gate { return order.NewGate(st, ho.ID) }

func newAgentAdmin(page metricsPage) http.Handler { return newAdmin(page) }

func newEntryAdmin(page metricsPage, sp *statusPage) http.Handler {
	mux := newAdmin(page)
	mux.Handle("GET /status", sp)
	return mux
}

func newAdmin(page metricsPage) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", page)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	return mux
}
