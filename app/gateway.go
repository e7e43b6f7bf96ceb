package app

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/app/settings"
	"skylarkstand/core"
	"skylarkstand/core/canary"
	"skylarkstand/core/event"
	"skylarkstand/core/fleet"
	"skylarkstand/core/membership"
	"skylarkstand/core/prefixsync"
	"skylarkstand/core/replica"
	"skylarkstand/core/route"
	"skylarkstand/core/suspect"
	"skylarkstand/core/warmupsync"
	"skylarkstand/core/watch"
	"skylarkstand/io/front"
	"skylarkstand/io/limited"
	"skylarkstand/io/sibling"
)

type gatewayCmd struct {
	Settings string `arg:"--settings,required" help:"settings file, JSON with comments"`
	Check    bool   `arg:"--check" help:"only check the settings"`
}

func (cmd *gatewayCmd) run(ctx context.Context) error {
	set, err := settings.LoadGateway(cmd.Settings)
	if err != nil {
		return &exitError{ExitUsage, err}
	}
	if cmd.Check {
		return nil
	}
	limitMemory(set.Memory)
	gw, cleanup, err := wireGateway(set)
	if err != nil {
		return err
	}
	defer cleanup()
	gw.watchSettings(ctx, cmd.Settings)
	return gw.run(ctx)
}

const (
	// gcPercent is the heap growth between two garbage collections, in percent. A gateway's heap
	// is a few MB, so collecting more often than the default costs little and keeps the resident
	// memory small.
	gcPercent = 50
	// memoryLimitShare is the share of the allowed memory that is set as the runtime's soft memory
	// limit, above which the collector runs more often. The rest is for stacks, kernel buffers
	// and the allocations of a burst between two collections.
	memoryLimitShare = 0.6
)

func limitMemory(mb int64) {
	debug.SetGCPercent(gcPercent)
	if mb > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(mb<<20)))
	}
}

// gatewayProcess holds the components of a gateway that are started and stopped.
type gatewayProcess struct {
	set       settings.Gateway
	deps      core.Deps
	inf       *route.InForce
	fleet     *fleet.Fleet
	replica   *replica.Replica
	handler   *watch.Handler
	follower  *replica.Follower
	registrar *membership.Registrar
	guard     *canary.Guard
	recorder  *canary.Recorder
	// quarantine keeps the requests that crash upstreams in the store.
	quarantine *suspect.Recorder
	collector  *canary.Collector
	gossiper   *sibling.Gossiper
	syncer     *prefixsync.Syncer
	warmups    *warmupsync.Syncer
	gauges     *gauges
	srv        *front.Server
	admin      metricsPage

	stop *shutdownState
}

// shutdownState is the progress of a process's graceful shutdown. It is safe for concurrent use.
type shutdownState struct {
	leaving atomic.Bool
	// deadline is when the process must have exited, in nanoseconds since epoch; 0 until the
	// balancer has stopped sending connections.
	deadline atomic.Int64
	epoch    time.Time
}

func newShutdownState() *shutdownState { return &shutdownState{epoch: time.Now()} }

// setDeadline records when the process ends. It is called once the balancer has stopped sending
// connections. Callers that still connect after that have no other entry to use.
func (sc *shutdownState) setDeadline(at time.Time) { sc.deadline.Store(int64(at.Sub(sc.epoch))) }

// remaining returns how long the process still serves. The result is false until the deadline is
// set.
func (sc *shutdownState) remaining() (time.Duration, bool) {
	deadline := sc.deadline.Load()
	return time.Until(sc.epoch.Add(time.Duration(deadline))), deadline != 0
}

// run serves until the context ends and then shuts down gracefully.
func (gw *gatewayProcess) run(ctx context.Context) error {
	gw.replica.Subscribe(gw.handler.HandleChanges)
	gw.replica.Subscribe(func([]core.Change) { gw.gossiper.AnnounceDigest() })
	serviceCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	sup := newSupervisor("gateway", gw.deps)
	sup.Add(gw.follower)
	sup.Add(gw.registrar)
	sup.Add(gw.recorder)
	sup.Add(gw.quarantine)
	sup.Add(gw.collector)
	sup.Add(gw.gossiper)
	sup.Add(gw.syncer)
	sup.Add(gw.warmups)
	sup.Add(gw.gauges)
	done := sup.ServeBackground(serviceCtx)

	defer serveAdmin(gw.set.Admin, http.Handler(gw.admin))()
	closeInternal, err := gw.serveInternal()
	if err != nil {
		return err
	}
	defer closeInternal()
	li, err := net.Listen("tcp", gw.set.Listen)
	if err != nil {
		return eris.Wrap(err, "the listener for callers could not be opened")
	}
	hs := gw.srv.HTTP()
	served := make(chan error, 1)
	go func() { served <- hs.Serve(front.Listen(li)) }()
	event.Log(gw.deps.Log, event.Started, "role", "gateway", "listen", gw.set.Listen, "process", gw.deps.Self,
		"zone", gw.deps.Zone, "store", gw.set.Store)
	select {
	case err := <-served:
		return eris.Wrap(err, "the server for callers failed")
	case <-ctx.Done():
	}
	gw.drain()
	stop()
	if err := <-done; !errors.Is(err, context.Canceled) {
		return err
	}
	event.Log(gw.deps.Log, event.Stopped)
	return nil
}

// serveInternal serves the readiness endpoint for the balancer and the endpoints for sibling
// entries, and returns a function that stops both servers.
func (gw *gatewayProcess) serveInternal() (func(), error) {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+gw.set.ReadinessPath, gw.ready)
	sibs := http.NewServeMux()
	sibs.Handle("GET "+sibling.ReplicaPath, sibling.ReplicaHandler(gw.set.Siblings, gw.replica, gw.follower.Doubtful))
	sibs.Handle("GET "+sibling.ReportsPath, sibling.ReportsHandler(gw.guard))
	closeReady, err := serveOn(gw.set.Readiness, ready)
	if err != nil {
		return nil, err
	}
	closeSibs, err := serveOn(gw.set.Siblings, sibs)
	if err != nil {
		closeReady()
		return nil, err
	}
	closeSeed := func() {}
	if gw.set.SeedListen != "" {
		if closeSeed, err = serveOn(gw.set.SeedListen, sibs); err != nil {
			closeSibs()
			closeReady()
			return nil, err
		}
	}
	return func() {
		closeSeed()
		closeSibs()
		closeReady()
	}, nil
}

func serveOn(addr string, ha http.Handler) (func(), error) {
	li, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "an internal listener could not be opened")
	}
	hs := &http.Server{Handler: ha, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: limited.MaxHeader}
	go func() { _ = hs.Serve(li) }()
	return func() { _ = hs.Close() }, nil
}

// ready reports to the balancer whether to send new connections: not before a configuration and
// upstreams are loaded, and not once the process is leaving. A later outage of the store does not
// affect readiness, since the loaded state stays valid.
func (gw *gatewayProcess) ready(w http.ResponseWriter, _ *http.Request) {
	if gw.stop.leaving.Load() || gw.inf.Current() == nil || gw.fleet.Len() == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

const (
	// balancerDelay is how long the balancer may send connections after readiness fails: it probes
	// once a second and removes an entry after two consecutive failures.
	balancerDelay = 2300 * time.Millisecond
	// exitMargin is subtracted from the drain limit: the process must exit by itself before the
	// platform kills it at the limit.
	exitMargin = 400 * time.Millisecond
)

// drain shuts down gracefully. Until the balancer has detected the failed readiness, connections
// are still accepted; each response closes its connection, so that callers move to other entries
// without being cut off. Then idle connections are closed, requests that cannot complete in time
// are refused, and requests in flight complete within the drain limit. The listener stays open to
// the end: if all entries stop at once, a caller that cannot connect receives no Retry-After.
func (gw *gatewayProcess) drain() {
	ends := time.Now().Add(time.Duration(gw.set.DrainLimit) - exitMargin)
	gw.stop.leaving.Store(true)
	gw.srv.StartDraining()
	event.Log(gw.deps.Log, event.Stopping, "under-way", gw.srv.InFlight())
	time.Sleep(min(balancerDelay, time.Until(ends)))
	gw.stop.setDeadline(ends)
	gw.srv.CloseIdle()
	ctx, cancel := context.WithDeadline(context.Background(), ends)
	defer cancel()
	if remaining := gw.srv.Drain(ctx); remaining > 0 {
		event.Log(gw.deps.Log, event.DrainCut, "under-way", remaining)
	}
}

// settingsPollInterval is how often the settings file is checked for changes, since it may change
// without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings when the file changes or the process receives SIGHUP.
// Addresses, zone and bounds stay as they were at the start; a change of them is logged, so that an
// operator sees which changes take effect at the next start. The returned channel is closed when
// the context has ended and the file is no longer watched.
//
// SIGHUP stays registered until the process exits: its default action terminates the process, which
// during a graceful shutdown would cut off every request that the shutdown waits for.
func (gw *gatewayProcess) watchSettings(ctx context.Context, path string) <-chan struct{} {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		defer close(done)
		gw.watchLoop(ctx, path, hup)
	}()
	return done
}

func (gw *gatewayProcess) watchLoop(ctx context.Context, path string, hup <-chan os.Signal) {
	ti := time.NewTicker(settingsPollInterval)
	defer ti.Stop()
	last := modTime(path)
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signaled = true
		case <-ti.C:
		}
		if at := modTime(path); signaled || at != last {
			last = at
			gw.reload(path)
		}
	}
}

// modTime returns a file's modification time, or zero if it cannot be determined.
func modTime(path string) time.Time {
	fi, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return fi.ModTime()
}

func (gw *gatewayProcess) reload(path string) {
	set, err := settings.LoadGateway(path)
	if err != nil {
		event.Log(gw.deps.Log, event.ReloadRefused, "error", err)
		return
	}
	event.Log(gw.deps.Log, event.Reloaded, "waiting-for-restart", gw.set.Changed(set))
}
