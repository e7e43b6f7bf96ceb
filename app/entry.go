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
	"skylarkstand/io/limited"
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

// limitProcessors bounds the cores that the process uses at once. It never raises the bound above
// what the host offers.
func limitProcessors(n int) { runtime.GOMAXPROCS(min(n, runtime.GOMAXPROCS(0))) }

// entryProcess holds the components of an entry process that are started and stopped.
type entryProcess struct {
	set       settings.Entry
	deps      core.Deps
	pool      *agent.Pool
	led       *ledger.Writer
	successor *ledger.Successor
	reader    *configReader
	guard     *guardService
	srv       *caller.Server
	admin     http.Handler
}

// run serves until the context ends and then shuts down gracefully: readyz fails, the listener
// closes, the requests in flight complete and the ledger is flushed.
func (en *entryProcess) run(ctx context.Context) error {
	li, err := net.Listen("tcp", en.set.Listen)
	if err != nil {
		return err
	}
	serviceCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
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
	done := sup.ServeBackground(serviceCtx)

	defer serveAdmin(en.set.Admin, en.admin)()
	hs, abort := callerServer(en.set, en.srv)
	served := make(chan error, 1)
	go func() { served <- hs.Serve(li) }()
	event.Log(en.deps.Log, event.Started, "role", "entry", "listen", li.Addr().String(), "process", en.deps.Self)

	select {
	case <-ctx.Done():
	case err := <-served:
		return err
	}
	en.drain(hs, abort)
	stop()
	if err := <-done; !errors.Is(err, context.Canceled) {
		return err
	}
	event.Log(en.deps.Log, event.Stopped)
	return nil
}

// headerSlop is how many bytes net/http accepts beyond MaxHeaderBytes.
const headerSlop = 4096

// callerServer returns the server for callers, and a function that cancels the requests in flight. It refuses a header
// above the bound with 431 before the whole header is read.
func callerServer(set settings.Entry, ha http.Handler) (*http.Server, context.CancelFunc) {
	base, cancel := context.WithCancelCause(context.Background())
	return &http.Server{
		Handler: ha, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: max(set.MaxHeader-headerSlop, 1),
		BaseContext: func(net.Listener) context.Context { return base },
	}, func() { cancel(caller.ErrStopping) }
}

// shutdown waits for the requests in flight. If the context ends first, it cancels those that are left, so that their
// callers get a final response, and returns the context's error.
func shutdown(ctx context.Context, hs *http.Server, abort context.CancelFunc) error {
	defer abort()
	err := hs.Shutdown(ctx)
	if err == nil {
		return nil
	}
	abort()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortTimeout)
	defer cancel()
	if hs.Shutdown(last) != nil {
		err = errors.Join(err, hs.Close()) // Their callers get no response.
	}
	return err
}

// serveAdmin serves the endpoints for operators and metrics collectors if an address is set, and
// returns a function that stops the server.
func serveAdmin(addr string, ha http.Handler) func() {
	if addr == "" {
		return func() {}
	}
	hs := &http.Server{Addr: addr, Handler: ha, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: limited.MaxHeader}
	go func() { _ = hs.ListenAndServe() }()
	return func() { _ = hs.Close() }
}

const (
	// headerTimeout prevents a caller that never completes its header from holding a connection.
	// idleTimeout closes unused keep-alive connections.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// leaveDelay is how long the platform's balancer needs to detect that readyz fails. Closing
	// the listener immediately would refuse callers that it still sends to this process.
	leaveDelay = 500 * time.Millisecond
	// abortTimeout is how long a stop waits for the final responses of requests that it has canceled.
	abortTimeout = 500 * time.Millisecond
	// flushTimeout bounds the final write of the ledger. It is separate from the drain limit, so
	// that requests that use up the drain limit do not cause the loss of other requests' bills.
	// If the store is unavailable, the process must still exit; agents hold copies of the bills.
	flushTimeout = 10 * time.Second
)

func (en *entryProcess) drain(hs *http.Server, abort context.CancelFunc) {
	event.Log(en.deps.Log, event.Stopping)
	en.srv.StartDraining()
	time.Sleep(leaveDelay)
	limit := time.Duration(en.set.DrainLimit)
	en.srv.RefuseLate(time.Now().Add(limit))
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := shutdown(ctx, hs, abort); err != nil {
		event.Log(en.deps.Log, event.DrainCut, "error", err)
	}
	if err := en.led.Close(flushTimeout); err != nil {
		event.Log(en.deps.Log, event.SegmentLate, "error", err)
	}
}

// newSupervisor returns the root of a process's supervision tree. A service that ends with an
// error or a panic is restarted with a growing backoff.
func newSupervisor(name string, deps core.Deps) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		EventHook: func(ev suture.Event) {
			if ev.Type() != suture.EventTypeStopTimeout {
				event.Log(deps.Log, event.DutyFailed, "detail", ev.String())
			}
		},
	})
}
