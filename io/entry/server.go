// Package entry is an agent's side of the links from the entries: it accepts
// links, runs the attempts that come over them and tells the entries how the
// upstream is.
//
// # Usage
//
//	srv := entry.New(deps, host, inForce, executor, gate)
//	go srv.Serve(ctx, listener)
//	srv.Leave()              // refuse new work and say so on all links
//	srv.Drain(ctx)           // wait for the work in flight
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
	inFlight sync.WaitGroup
	// down tells that the upstream accepts no connections.
	down  atomic.Bool
	bills bills
}

// New returns a server for the upstream beside the agent.
func New(deps core.Deps, ho core.Host, inf *declaration.InForce, ex *execute.Executor, ga *order.Gate) *Server {
	return &Server{deps: deps, host: ho, inf: inf, ex: ex, gate: ga, controls: map[*link.Control]bool{}, bills: newBills(deps)}
}

// Serve accepts links until the listener closes or the context ends.
func (srv *Server) Serve(ctx context.Context, li net.Listener) error {
	stop := context.AfterFunc(ctx, func() { li.Close() })
	defer stop()
	go srv.report(ctx)
	go srv.bills.serve(ctx)
	for {
		conn, err := li.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return err
		}
		go srv.link(ctx, conn)
	}
}

// link serves one connection. Its first stream is the control stream.
func (srv *Server) link(ctx context.Context, conn net.Conn) {
	ses, st, cleanup, err := link.Accept(ctx, conn)
	if err != nil {
		return
	}
	defer cleanup()
	var co *link.Control
	co = link.NewControl(srv.deps, srv.inf, st, link.Handlers{
		Settled: srv.bills.settled, Durable: srv.bills.durable,
		Hello: func(he *frame.Hello) { srv.bills.linked(core.ProcessID(he.Process), co) },
	})
	defer func() { srv.bills.unlinked(co) }()
	srv.enter(co)
	defer srv.leave(co)
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
			defer srv.inFlight.Done()
			srv.attempt(ctx, st)
		}()
	}
}

func (srv *Server) enter(co *link.Control) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.controls[co] = true
}

func (srv *Server) leave(co *link.Control) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	delete(srv.controls, co)
}

// attempt runs one stream: a dispatch in, an answer out.
func (srv *Server) attempt(ctx context.Context, st *yamux.Stream) {
	defer st.Close()
	rd, wr := frame.NewReader(st), frame.NewWriter(st)
	fr, err := rd.Read()
	if err != nil {
		return
	}
	if or := fr.GetOrder(); or != nil {
		srv.order(ctx, wr, or)
		return
	}
	if fr.GetDispatch() == nil {
		return
	}
	at := link.Attempt(fr.GetDispatch())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The entry sends nothing more on this stream; its end means that the
	// caller is gone or the link is lost, and the upstream is told to cancel.
	go func() {
		_, _ = rd.Read()
		cancel()
	}()
	ans, err := srv.ex.Run(ctx, at)
	if err != nil {
		_ = wr.Write(link.FailureFrame(at.ID, failureOf(err), srv.state()))
		return
	}
	defer ans.Close()
	srv.relay(wr, at, ans)
}

// relay copies an answer to the entry. The end frame goes out only after the
// upstream's own end: an answer that was cut never looks whole.
func (srv *Server) relay(wr *frame.Writer, at *core.Attempt, ans core.Answer) {
	ch := &frame.Chunk{Attempt: string(at.ID), Status: int32(ans.Status()), ContentType: ans.ContentType()}
	fr := &frame.Frame{Body: &frame.Frame_Chunk{Chunk: ch}}
	for {
		data, err := ans.Next()
		if errors.Is(err, io.EOF) {
			us := ans.Usage()
			_ = wr.Write(&frame.Frame{Body: &frame.Frame_End{End: &frame.End{
				Attempt: string(at.ID), PromptTokens: int64(us.Prompt), GeneratedTokens: int64(us.Generated), State: srv.state(),
				ReplayOf: string(ans.ReplayOf()),
			}}})
			return
		}
		if err != nil {
			_ = wr.Write(link.FailureFrame(at.ID, failureOf(err), srv.state()))
			return
		}
		for piece := range slices.Chunk(data, maxPiece) {
			ch.Data = piece
			if wr.Write(fr) != nil {
				return
			}
			ch.ContentType = "" // The first chunk has told it.
		}
	}
}

// maxPiece bounds the data of one frame, so that a long answer does not hold
// up the other streams of the link.
const maxPiece = 64 << 10

func failureOf(err error) *core.Failure {
	var fl *core.Failure
	if errors.As(err, &fl) {
		return fl
	}
	return core.Lost("%v", err)
}

func (srv *Server) state() *frame.State {
	lo := srv.ex.Load()
	return &frame.State{
		Running: int32(lo.Running), Queued: int32(lo.Queued), Slots: int32(lo.Slots),
		Leaving: srv.ex.Leaving(), Generation: uint64(srv.inf.Number()), Down: srv.down.Load(),
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

// reportEvery is the pace of state reports while the load changes. Answers
// carry the state as well, so this one only helps entries without traffic.
const reportEvery = time.Second

func (srv *Server) report(ctx context.Context) {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	var last core.Load
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now, turned := srv.ex.Load(), srv.probe()
		if now != last || turned {
			last = now
			srv.broadcast()
		}
	}
}

// probe asks whether the upstream accepts connections and reports a turn. An
// upstream that went down would otherwise draw work: it fails fast, so it
// always looks idle.
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

// Leave refuses all new work from now on and says so on all links, without
// waiting for the platform's list, which lags.
func (srv *Server) Leave() {
	srv.ex.Leave()
	event.Log(srv.deps.Log, event.UpstreamLeaving, "upstream", srv.host.ID)
	srv.broadcast()
}

// Drain waits until no attempt is in flight and the bills of lost entries are
// handed over, or the context ends.
func (srv *Server) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		srv.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
		srv.bills.drain(ctx)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
