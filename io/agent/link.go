package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/event"
	"skylarkstand/core/placement"
	"skylarkstand/io/frame"
	protocol "skylarkstand/io/link"
)

// link is the connection to one agent. It redials until its context ends.
type link struct {
	deps   core.Deps
	inf    *declaration.InForce
	host   core.Host
	hash   uint64
	cancel context.CancelFunc
	// unwantedSince is the time at which the link left the entry's subset, or zero. It is guarded by
	// the pool's lock.
	unwantedSince time.Time
	// onBills handles the bills that the agent hands over.
	onBills func(*link, *frame.Told)

	connected        atomic.Bool
	listedLeaving    atomic.Bool
	announcedLeaving atomic.Bool
	upstreamDown     atomic.Bool
	// ownInFlight counts the attempts of this entry in flight on the link; upstreamDown is what the
	// agent last reported.
	ownInFlight atomic.Int64
	load        atomic.Pointer[report]
	ses         atomic.Pointer[yamux.Session]
	control     atomic.Pointer[protocol.Control]
}

// report is the last load that an agent reported, with its time of arrival and the number of this
// entry's attempts in flight then: a report lags, and its load includes those attempts.
type report struct {
	core.Load
	at  time.Time
	own int
}

func newLink(deps core.Deps, inf *declaration.InForce, ho core.Host) *link {
	return &link{deps: deps, inf: inf, host: ho, hash: placement.Hash(ho.ID)}
}

func (ln *link) snapshot() core.Upstream {
	up := core.Upstream{
		Host: ln.host, IDHash: ln.hash, Connected: ln.connected.Load() && !ln.upstreamDown.Load(), OwnAttempts: int(ln.ownInFlight.Load()),
		Leaving: ln.listedLeaving.Load() || ln.announcedLeaving.Load(),
	}
	if re := ln.load.Load(); re != nil {
		up.Load, up.ReportedAt, up.OwnAtReport = re.Load, re.at, re.own
	}
	return up
}

func (ln *link) serve(ctx context.Context) { protocol.Redial(ctx, ln.connect) }

// connect opens one connection and serves it until it ends.
func (ln *link) connect(ctx context.Context) {
	ses, st, err := protocol.Dial(ctx, ln.host.Addr)
	if err != nil {
		return
	}
	defer ses.Close()
	co := protocol.NewControl(ln.deps, ln.inf, st, protocol.Handlers{State: ln.recordState, Told: ln.receiveBills, Hello: func(he *frame.Hello) {
		if he.Upstream != string(ln.host.ID) {
			// The address was reassigned to another upstream and the host list lags.
			ses.Close()
			return
		}
		ln.ses.Store(ses)
		ln.announcedLeaving.Store(false)
		ln.connected.Store(true)
		event.Log(ln.deps.Log, event.LinkUp, "upstream", ln.host.ID)
	}})
	ln.control.Store(co)
	if err := co.Hello(""); err != nil {
		return
	}
	err = co.Serve(ctx)
	ln.control.Store(nil)
	if ln.connected.Swap(false) && ctx.Err() == nil {
		event.Log(ln.deps.Log, event.LinkDown, "upstream", ln.host.ID, "error", err)
	}
}

// recordState records a state that the agent reported, with a response or on its own.
func (ln *link) recordState(st *frame.State) {
	if st == nil {
		return
	}
	ln.load.Store(&report{
		Load: core.Load{Running: requests(st.Running), Queued: requests(st.Queued), Slots: requests(st.Slots)},
		at:   time.Now(), own: int(ln.ownInFlight.Load()),
	})
	ln.upstreamDown.Store(st.Down)
	// A draining upstream may have restarted.
	if was := ln.announcedLeaving.Swap(st.Leaving); st.Leaving && !was {
		event.Log(ln.deps.Log, event.UpstreamLeaving, "upstream", ln.host.ID)
	}
}

// requests converts a number of an agent to a number of requests.
func requests(n int32) int { return int(min(max(n, 0), core.MaxSlots)) }

func (ln *link) receiveBills(to *frame.Told) {
	if ln.onBills != nil && to.Process != "" {
		ln.onBills(ln, to)
	}
}

func (ln *link) send(fr *frame.Frame) {
	if co := ln.control.Load(); co != nil {
		_ = co.Send(fr)
	}
}

// dispatch opens a stream for the attempt, sends the attempt and waits for the first frame of the
// answer.
func (ln *link) dispatch(ctx context.Context, at *core.Attempt) (core.Answer, error) {
	ses := ln.ses.Load()
	if ses == nil || !ln.connected.Load() {
		return nil, core.Refuse(core.CodeNoUpstream, time.Second, "there is no link to upstream %s", ln.host.ID)
	}
	st, err := ses.OpenStream()
	if err != nil {
		return nil, core.Refuse(core.CodeNoUpstream, time.Second, "the link to upstream %s is lost", ln.host.ID)
	}
	ln.ownInFlight.Add(1)
	an := newAnswer(ctx, ln, st, at.ID)
	if err := frame.NewWriter(st).Write(protocol.DispatchFrame(at)); err != nil {
		an.Close()
		// The agent may have received the complete frame before the link failed.
		return nil, core.OutcomeUnknown("the link to upstream %s was lost in the hand-over", ln.host.ID)
	}
	if err := an.awaitFirst(); err != nil {
		an.Close()
		return nil, err
	}
	return an, nil
}
