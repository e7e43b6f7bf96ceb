package app

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"skylarkstand/app/settings"
	"skylarkstand/core"
	"skylarkstand/core/event"
	"skylarkstand/io/entry"
)

type agentCmd struct {
	Settings string `arg:"--settings,required" help:"settings file, JSON with comments"`
}

func (cmd *agentCmd) run(ctx context.Context) error {
	set, err := settings.LoadAgent(cmd.Settings)
	if err != nil {
		return &exitError{ExitUsage, err}
	}
	limitProcessors(set.Processors)
	ag, cleanup, err := wireAgent(set)
	if err != nil {
		return err
	}
	defer cleanup()
	return ag.run(ctx)
}

// agentProcess holds the components of an agent process that are started and stopped.
type agentProcess struct {
	set   settings.Agent
	deps  core.Deps
	srv   *entry.Server
	admin http.Handler
}

// run serves until the context ends and then shuts down gracefully: it announces that the
// upstream is leaving and waits for the attempts in flight.
func (ag *agentProcess) run(ctx context.Context) error {
	li, err := net.Listen("tcp", ag.set.Listen)
	if err != nil {
		return err
	}
	serviceCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer serveAdmin(ag.set.Admin, ag.admin)()
	served := make(chan error, 1)
	go func() { served <- ag.srv.Serve(serviceCtx, li) }()
	event.Log(ag.deps.Log, event.Started, "role", "agent", "listen", li.Addr().String(), "upstream", ag.set.Upstream)

	select {
	case <-ctx.Done():
	case err := <-served:
		return err
	}
	event.Log(ag.deps.Log, event.Stopping)
	ag.srv.StartDraining()
	// Entries that have not yet processed the notice still dispatch; their attempts are refused.
	time.Sleep(leaveDelay)
	dctx, cancel := context.WithTimeout(context.Background(), time.Duration(ag.set.DrainLimit))
	defer cancel()
	if err := ag.srv.Drain(dctx); err != nil {
		event.Log(ag.deps.Log, event.DrainCut, "error", err)
	}
	stop()
	if err := <-served; !errors.Is(err, context.Canceled) {
		return err
	}
	event.Log(ag.deps.Log, event.Stopped)
	return nil
}
