// Package entry is an agent's server for the links from entries: it accepts links, runs the
// attempts that arrive over them and reports the upstream's state to the entries.
//
// # Usage
//
//	srv := entry.New(deps, host, inForce, executor, gate)
//	go srv.Serve(ctx, listener)
//	srv.StartDraining()      // refuse new work and announce it on all links
//	srv.Drain(ctx)           // wait for the attempts in flight
package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/event"
	"skylarkstand/core/execute"
	"skylarkstand/core/order"
	"skylarkstand/io/frame"
	"skylarkstand/io/link"
)

// Server accepts links from entries. It is safe for concurrent use.
type Server struct {
	deps core.Deps
	host core.Host
	inf  *declaration.InForce
	ex   *execute.Executor
	gate *order.Gate

	mu       sync.Mutex
	controls map[*link.Control]bool
	// inFlight counts the streams that are being served. Their work ends with abort.
	inFlight atomic.Int64
	work     context.Context
	abort    context.CancelFunc
	// down states that the upstream accepts no connections.
	down  atomic.Bool
	bills billCopies
}

// New returns a server for the upstream beside the agent.
func New(deps core.Deps, ho core.Host, inf *declaration.InForce, ex *execute.Executor, ga *order.Gate) *Server {
	srv := &Server{deps: deps, host: ho, inf: inf, ex: ex, gate: ga, controls: map[*link.Control]bool{}, bills: newBillCopies(deps)}
	srv.work, srv.abort = context.WithCancel(context.Background())
	return srv
}

// Serve accepts links until the listener closes or the context ends.
func (srv *Server) Serve(ctx context.Context, li net.Listener) error {
	stop := context.AfterFunc(ctx, func() { li.Close() })
	defer stop()
	go srv.reportState(ctx)
	go srv.bills.serve(ctx)
	for {
		conn, err := li.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return err
		}
		go srv.serveLink(ctx, conn)
	}
}

// serveLink serves one connection. Its first stream is the control stream.
func (srv *Server) serveLink(ctx context.Context, conn net.Conn) {
	ses, st, cleanup, err := link.Accept(ctx, conn)
	if err != nil {
		return
	}
	defer cleanup()
	var co *link.Control
	co = link.NewControl(srv.deps, srv.inf, st, link.Handlers{
		Settled: srv.bills.receiveBill, Durable: srv.bills.receiveDurable,
		Hello: func(he *frame.Hello) { srv.bills.addLink(core.ProcessID(he.Process), co) },
	})
	defer func() { srv.bills.removeLink(co) }()
	srv.addControl(co)
	defer srv.removeControl(co)
	if co.Hello(srv.host.ID) != nil || co.Send(srv.stateFrame()) != nil {
		return
	}
	go func() {
		_ = co.Serve(ctx)
		ses.Close()
	}()
	for {
		st, err := ses.AcceptStream()
		if err != nil {
			return
		}
		srv.inFlight.Add(1)
		go func() {
			defer srv.inFlight.Add(-1)
			srv.serveStream(ctx, st)
		}()
	}
}

func (srv *Server) addControl(co *link.Control) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.controls[co] = true
}

func (srv *Server) removeControl(co *link.Control) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	delete(srv.controls, co)
}

// serveStream serves one stream: an order, or an attempt whose dispatch it reads and whose
// response it writes.
func (srv *Server) serveStream(ctx context.Context, st *yamux.Stream) {
	defer st.Close()
	rd, wr := frame.NewReader(st), frame.NewWriter(st)
	fr, err := rd.Read()
	if err != nil {
		return
	}
	if or := fr.GetOrder(); or != nil {
		srv.handleOrder(ctx, wr, or)
		return
	}
	if fr.GetDispatch() == nil {
		return
	}
	at := link.AttemptFromFrame(fr.GetDispatch())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(srv.work, cancel)()
	// The entry sends nothing more on this stream. Its end means that the caller has
	// disconnected or the link is lost, and cancels the attempt at the upstream.
	go func() {
		_, _ = rd.Read()
		cancel()
	}()
	ans, err := srv.ex.Run(ctx, at)
	if err != nil {
		_ = wr.Write(link.FailureFrame(at.ID, srv.failure(err), srv.state()))
		return
	}
	defer ans.Close()
	srv.relay(wr, at, ans)
}

// relay copies a response to the entry. The end frame is sent only after the upstream's own
// end, so that a response that was cut never looks complete.
func (srv *Server) relay(wr *frame.Writer, at *core.Attempt, ans core.Answer) {
	ch := &frame.Chunk{Attempt: string(at.ID), Status: int32(ans.Status()), ContentType: ans.ContentType()}
	fr := &frame.Frame{Body: &frame.Frame_Chunk{Chunk: ch}}
	begun := false
	for {
		data, err := ans.Next()
		if errors.Is(err, io.EOF) && !begun && wr.Write(fr) != nil { // The status needs a chunk.
			return
		}
		if errors.Is(err, io.EOF) {
			// The slot is released before the end frame is sent with the state; otherwise an
			// idle upstream would appear to have one attempt running.
			us := ans.Usage()
			ans.Close()
			_ = wr.Write(&frame.Frame{Body: &frame.Frame_End{End: &frame.End{
				Attempt: string(at.ID), PromptTokens: int64(us.Prompt), GeneratedTokens: int64(us.Generated), State: srv.state(),
				ReplayOf: string(ans.ReplayOf()),
			}}})
			return
		}
		if err != nil {
			_ = wr.Write(link.FailureFrame(at.ID, srv.failure(err), srv.state()))
			return
		}
		for chunk := range slices.Chunk(data, maxChunkBytes) {
			ch.Data = chunk
			if wr.Write(fr) != nil {
				return
			}
			begun, ch.ContentType = true, "" // Only the first chunk carries it.
		}
	}
}

// maxChunkBytes bounds the data of one frame, so that a long response does not block the other
// streams of the link.
const maxChunkBytes = 64 << 10

// failure returns the failure to report. The end of the process is not that of the caller: another upstream may
// run the attempt where that is allowed.
func (srv *Server) failure(err error) *core.Failure {
	fl := asFailure(err)
	switch {
	case srv.work.Err() == nil:
		return fl
	case fl.Ran == core.NotRun:
		return core.Refuse(core.CodeLeaving, time.Second, "the agent is stopping")
	default:
		return core.OutcomeUnknown("the agent stopped before the answer was whole")
	}
}

func asFailure(err error) *core.Failure {
	var fl *core.Failure
	if errors.As(err, &fl) {
		return fl
	}
	return core.OutcomeUnknown("%v", err)
}

func (srv *Server) state() *frame.State {
	lo := srv.ex.Load()
	return &frame.State{
		Running: int32(lo.Running), Queued: int32(lo.Queued), Slots: int32(lo.Slots),
		Leaving: srv.ex.Draining(), Generation: uint64(srv.inf.Number()), Down: srv.down.Load(),
	}
}

func (srv *Server) stateFrame() *frame.Frame {
	return &frame.Frame{Body: &frame.Frame_State{State: srv.state()}}
}

func (srv *Server) broadcast() {
	srv.mu.Lock()
	cos := make([]*link.Control, 0, len(srv.controls))
	for co := range srv.controls {
		cos = append(cos, co)
	}
	srv.mu.Unlock()
	for _, co := range cos {
		_ = co.Send(srv.stateFrame())
	}
}

// reportInterval is the interval of state reports while the load changes. Responses carry the
// state too, so the reports only serve entries without traffic.
const reportInterval = time.Second

func (srv *Server) reportState(ctx context.Context) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	type state struct {
		load     core.Load
		draining bool
	}
	var last state
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		changed := srv.probe()
		now := state{srv.ex.Load(), srv.ex.Draining()}
		if now != last || changed {
			last = now
			srv.broadcast()
		}
	}
}

// probe checks whether the upstream accepts connections and reports whether that has changed.
// Without it, an upstream that is down would attract work: it fails fast and therefore always
// appears idle.
func (srv *Server) probe() bool {
	down := srv.ex.Probe() != nil
	if srv.down.Swap(down) == down {
		return false
	}
	if down {
		event.Log(srv.deps.Log, event.UpstreamDown, "upstream", srv.host.ID)
	}
	return true
}

// StartDraining refuses all new work from now on and announces it on all links, without waiting for
// the platform's host list, which lags.
func (srv *Server) StartDraining() {
	srv.ex.StartDraining()
	event.Log(srv.deps.Log, event.UpstreamLeaving, "upstream", srv.host.ID)
	srv.broadcast()
}

// abortTimeout is how long Drain waits for the final frames of attempts that it has canceled.
const abortTimeout = 500 * time.Millisecond

// Drain waits until no attempt is in flight and the bills of lost entries are handed over, or
// the context ends. Then it cancels the attempts that are left, so that their entries learn what is known of them, and
// returns the context's error.
func (srv *Server) Drain(ctx context.Context) error {
	if srv.awaitIdle(ctx) {
		srv.bills.drain(ctx)
		return nil
	}
	srv.abort()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortTimeout)
	defer cancel()
	srv.awaitIdle(last)
	return ctx.Err()
}

// awaitIdle reports whether the last attempt ended before the context.
func (srv *Server) awaitIdle(ctx context.Context) bool {
	const interval = 10 * time.Millisecond
	ti := time.NewTicker(interval)
	defer ti.Stop()
	for srv.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-ti.C:
		}
	}
	return true
}
