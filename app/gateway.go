package app

import (
	"context"
	"encoding/json"
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
	"skylarkstand/core/feed"
	"skylarkstand/core/fleet"
	"skylarkstand/core/mirror"
	"skylarkstand/core/recall"
	"skylarkstand/core/register"
	"skylarkstand/core/route"
	"skylarkstand/io/front"
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
	// collectAt is the growth of the heap between two collections, in percent.
	// A gateway's heap is a few MB; collecting more often costs it little and
	// keeps what the host has to hold small.
	collectAt = 50
	// memoryPart is the share of the allowed memory at which the collector
	// works harder. The rest is for stacks, buffers of the kernel and what a
	// burst allocates between two collections.
	memoryPart = 0.6
)

func limitMemory(mb int64) {
	debug.SetGCPercent(collectAt)
	if mb > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(mb<<20)))
	}
}

// gatewayProcess is the parts of a gateway that start and stop.
type gatewayProcess struct {
	set      settings.Gateway
	deps     core.Deps
	inf      *route.InForce
	fleet    *fleet.Fleet
	mirror   *mirror.Mirror
	feed     *feed.Feed
	follower *mirror.Follower
	reg      *register.Registrar
	guard    *canary.Guard
	recorder *canary.Recorder
	pooler   *canary.Pooler
	sharer   *sibling.Sharer
	recaller *recall.Recaller
	gauges   *gauges
	srv      *front.Server
	admin    metricsPage

	stop *stopClock
}

// stopClock tells the parts of a process how far its planned stop is.
type stopClock struct {
	leaving atomic.Bool
	// ends is when the process must have ended, in nanoseconds since epoch; 0
	// until the stop has been noticed.
	ends  atomic.Int64
	epoch time.Time
}

func newStopClock() *stopClock { return &stopClock{epoch: time.Now()} }

// noticed notes that callers who still come have nowhere else to go, and when
// the process ends.
func (sc *stopClock) noticed(ends time.Time) { sc.ends.Store(int64(ends.Sub(sc.epoch))) }

// left returns how long the process still serves, once its stop was noticed.
func (sc *stopClock) left() (time.Duration, bool) {
	ends := sc.ends.Load()
	return time.Until(sc.epoch.Add(time.Duration(ends))), ends != 0
}

// run serves until the context ends and then stops as planned.
func (gw *gatewayProcess) run(ctx context.Context) error {
	gw.mirror.Subscribe(gw.feed.Changed)
	gw.mirror.Subscribe(func([]core.Change) { gw.sharer.Changed() })
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	sup := newSupervisor("gateway", gw.deps)
	sup.Add(gw.follower)
	sup.Add(gw.reg)
	sup.Add(gw.recorder)
	sup.Add(gw.pooler)
	sup.Add(gw.sharer)
	sup.Add(gw.recaller)
	sup.Add(gw.gauges)
	done := sup.ServeBackground(duties)

	defer serveAdmin(gw.set.Admin, http.Handler(gw.admin))()
	closeAsides, err := gw.serveAsides()
	if err != nil {
		return err
	}
	defer closeAsides()
	li, err := net.Listen("tcp", gw.set.Listen)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	hs := gw.srv.HTTP()
	served := make(chan error, 1)
	go func() { served <- hs.Serve(front.Listen(li)) }()
	event.Log(gw.deps.Log, event.Started, "role", "gateway", "listen", gw.set.Listen, "process", gw.deps.Self,
		"zone", gw.deps.Zone, "store", gw.set.Store)
	select {
	case err := <-served:
		return eris.Wrap(err, "serve")
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

// serveAsides serves the balancer's question and the siblings'.
func (gw *gatewayProcess) serveAsides() (func(), error) {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+gw.set.ReadinessPath, gw.ready)
	sibs := http.NewServeMux()
	sibs.Handle("GET "+sibling.Path, sibling.Handler(gw.mirror, gw.follower.Doubtful))
	sibs.Handle("GET "+sibling.ReportsPath, sibling.Reports(gw.guard))
	closeReady, err := serveAside(gw.set.Readiness, ready)
	if err != nil {
		return nil, err
	}
	closeSibs, err := serveAside(gw.set.Siblings, sibs)
	if err != nil {
		closeReady()
		return nil, err
	}
	return func() {
		closeSibs()
		closeReady()
	}, nil
}

func serveAside(addr string, ha http.Handler) (func(), error) {
	li, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	hs := &http.Server{Handler: ha, ReadHeaderTimeout: headerLimit}
	go func() { _ = hs.Serve(li) }()
	return func() { _ = hs.Close() }, nil
}

// ready tells the balancer whether new connections may come: not before a
// configuration and upstreams are known, and not once the process leaves. A
// store that is away later does not count: what is known goes on to be right.
func (gw *gatewayProcess) ready(w http.ResponseWriter, _ *http.Request) {
	if gw.stop.leaving.Load() || gw.inf.Current() == nil || gw.fleet.Len() == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

const (
	// unnoticed is how long the balancer may send connections after readiness
	// has gone: it asks once a second and goes by two misses in a row.
	unnoticed = 2300 * time.Millisecond
	// killMargin is kept of the drain limit: the process must have ended by
	// itself when that is over.
	killMargin = 400 * time.Millisecond
)

// drain stops as planned. Until the balancer has noticed, connections are
// accepted as before; each answer closes its connection, so that callers go
// elsewhere without being cut off. Then idle connections are closed, what
// cannot end in time is refused, and what is under way ends within the drain
// limit. The listener stays open to the end: when all entries stop at once, a
// caller that finds nobody cannot be told when to come back.
func (gw *gatewayProcess) drain() {
	ends := time.Now().Add(time.Duration(gw.set.DrainLimit) - killMargin)
	gw.stop.leaving.Store(true)
	gw.srv.Leave()
	event.Log(gw.deps.Log, event.Stopping, "under-way", gw.srv.Flying())
	time.Sleep(min(unnoticed, time.Until(ends)))
	gw.stop.noticed(ends)
	gw.srv.CloseIdle()
	ctx, cancel := context.WithDeadline(context.Background(), ends)
	defer cancel()
	if left := gw.srv.Drain(ctx); left > 0 {
		event.Log(gw.deps.Log, event.DrainCut, "under-way", left)
	}
}

// reloadEvery is how often the settings file is looked at: it may change
// without a signal.
const reloadEvery = 2 * time.Second

// watchSettings reads the settings again when the file changes or the process is
// told to. Addresses, place and bounds are those of the start; a change of them
// is logged, so that an operator sees what waits for the next one. The channel
// is closed when the context has ended and the file is watched no more.
//
// The signal is listened for until the process is gone: its default action is to
// end the process, which during a planned stop would cut off every request that
// the stop waits for.
func (gw *gatewayProcess) watchSettings(ctx context.Context, path string) <-chan struct{} {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		defer close(done)
		gw.reloads(ctx, path, hup)
	}()
	return done
}

func (gw *gatewayProcess) reloads(ctx context.Context, path string, hup <-chan os.Signal) {
	ti := time.NewTicker(reloadEvery)
	defer ti.Stop()
	last := modified(path)
	for {
		told := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			told = true
		case <-ti.C:
		}
		if at := modified(path); told || at != last {
			last = at
			gw.reload(path)
		}
	}
}

// modified is when a file was changed last; zero when that cannot be told.
func modified(path string) time.Time {
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

// member renders the process's own line of the list of entries.
func member(set settings.Gateway, deps core.Deps) ([]byte, error) {
	raw, err := json.Marshal(feed.Member{ID: deps.Self, Addr: set.Siblings, Zone: deps.Zone})
	return raw, eris.Wrap(err, "register")
}
