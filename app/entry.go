package app

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"time"

	"github.com/thejerf/suture/v4"

	"skylarkstand/app/settings"
	"skylarkstand/core"
	"skylarkstand/core/event"
	"skylarkstand/core/ledger"
	"skylarkstand/io/agent"
	"skylarkstand/io/caller"
)

type entryCmd struct {
	Settings string `arg:"--settings,required" help:"settings file, JSON with comments"`
}

func (cmd *entryCmd) run(ctx context.Context) error {
	set, err := settings.LoadEntry(cmd.Settings)
	if err != nil {
		return &exitError{ExitUsage, err}
	}
	limitProcessors(set.Processors)
	en, cleanup, err := wireEntry(set)
	if err != nil {
		return err
	}
	defer cleanup()
	return en.run(ctx)
}

// limitProcessors bounds the cores that the process uses at once, below what
// the host offers.
func limitProcessors(n int) { runtime.GOMAXPROCS(min(n, runtime.GOMAXPROCS(0))) }

// entryProcess is the parts of an entry process that start and stop.
type entryProcess struct {
	set       settings.Entry
	deps      core.Deps
	pool      *agent.Pool
	led       *ledger.Writer
	successor *ledger.Successor
	reader    *configReader
	guard     *guardDuty
	srv       *caller.Server
	admin     http.Handler
}

// run serves until the context ends and then stops as planned: readyz fails,
// the listener closes, the work in flight ends, the ledger is flushed.
func (en *entryProcess) run(ctx context.Context) error {
	li, err := net.Listen("tcp", en.set.Listen)
	if err != nil {
		return err
	}
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	en.pool.OnHosts(func(hosts []core.Host) {
		en.reader.Update(hosts)
		en.guard.Update(hosts)
	})
	sup := newSupervisor("entry", en.deps)
	sup.Add(en.pool)
	sup.Add(en.led)
	sup.Add(en.successor)
	sup.Add(en.reader)
	sup.Add(en.guard)
	done := sup.ServeBackground(duties)

	defer serveAdmin(en.set.Admin, en.admin)()
	hs := callerServer(en.set, en.srv)
	served := make(chan error, 1)
	go func() { served <- hs.Serve(li) }()
	event.Log(en.deps.Log, event.Started, "role", "entry", "listen", li.Addr().String(), "process", en.deps.Self)

	select {
	case <-ctx.Done():
	case err := <-served:
		return err
	}
	en.drain(hs)
	stop()
	if err := <-done; !errors.Is(err, context.Canceled) {
		return err
	}
	event.Log(en.deps.Log, event.Stopped)
	return nil
}

// slop is what net/http allows a header beyond its bound.
const slop = 4096

// callerServer returns the server for callers. It refuses a header beyond the
// bound with 431 before it has read the whole of it.
func callerServer(set settings.Entry, ha http.Handler) *http.Server {
	return &http.Server{
		Handler: ha, ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit, MaxHeaderBytes: max(set.MaxHeader-slop, 1),
	}
}

// serveAdmin serves the page of operators and collectors, if there is an
// address for it, and returns the clean-up.
func serveAdmin(addr string, ha http.Handler) func() {
	if addr == "" {
		return func() {}
	}
	hs := &http.Server{Addr: addr, Handler: ha, ReadHeaderTimeout: headerLimit}
	go func() { _ = hs.ListenAndServe() }()
	return func() { _ = hs.Close() }
}

const (
	// headerLimit stops a caller that never ends its header from holding a
	// connection; idleLimit closes kept connections nobody uses.
	headerLimit = 10 * time.Second
	idleLimit   = 2 * time.Minute
	// noticeTime is what the platform's balancer needs to see that readyz
	// fails. Closing the listener at once would refuse callers that it still
	// sends here.
	noticeTime = 500 * time.Millisecond
	// flushLimit bounds the last write of the ledger, beside the drain limit:
	// requests that used all of that must not cost others their bills. With a
	// store that is away the process must still end; agents hold the copies.
	flushLimit = 10 * time.Second
)

func (en *entryProcess) drain(hs *http.Server) {
	event.Log(en.deps.Log, event.Stopping)
	en.srv.Leave()
	time.Sleep(noticeTime)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(en.set.DrainLimit))
	defer cancel()
	if err := hs.Shutdown(ctx); err != nil {
		event.Log(en.deps.Log, event.DrainCut, "error", err)
	}
	if err := en.led.Close(flushLimit); err != nil {
		event.Log(en.deps.Log, event.SegmentLate, "error", err)
	}
}

// newSupervisor returns the root of a process's tree. A duty that ends with an
// error or a panic is started again, with a growing pause.
func newSupervisor(name string, deps core.Deps) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		EventHook: func(ev suture.Event) {
			if ev.Type() != suture.EventTypeStopTimeout {
				event.Log(deps.Log, event.DutyFailed, "detail", ev.String())
			}
		},
	})
}
