// Package peer implements the links between entries. They propagate a configuration to entries that
// do not watch the platform's store, and to all entries while the store is unavailable. They also
// carry suspects, pinned sessions, and the evidence and halts of roll-outs.
//
// # Usage
//
//	mesh := peer.New(deps, inForce, suspects, self)
//	go mesh.Serve(ctx, listener)
//	mesh.Update(hosts)             // after each read of the host list
//	mesh.BroadcastSuspect(record)  // a request that crashed an upstream
package peer

import (
	"context"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/event"
	"skylarkstand/core/rollout"
	"skylarkstand/core/session"
	"skylarkstand/core/suspect"
	"skylarkstand/core/topology"
	"skylarkstand/io/frame"
	"skylarkstand/io/link"
)

// NoticeInterval is the interval of notices between entries. Two of them fit into the time after
// which other entries stop relying on a silent reader of the store.
const NoticeInterval = 2 * time.Second

// Mesh holds one entry's links to other entries. It is safe for concurrent use.
type Mesh struct {
	deps core.Deps
	inf  *declaration.InForce
	self core.Host

	suspects *suspect.Registry
	holder   *session.Holder
	outbound outboundSessions
	guard    *rollout.Guard

	mu       sync.Mutex
	peers    map[string]context.CancelFunc
	controls map[*link.Control]bool
	ctx      context.Context
	hosts    []core.Host
}

// Option changes a Mesh at construction.
type Option func(*Mesh)

// Guard sets the roll-out guard that receives the other entries' evidence.
func Guard(gu *rollout.Guard) Option { return func(me *Mesh) { me.guard = gu } }

// New returns a mesh for the entry at self.
func New(deps core.Deps, inf *declaration.InForce, reg *suspect.Registry, self core.Host, opts ...Option) *Mesh {
	me := &Mesh{
		deps: deps, inf: inf, suspects: reg, holder: session.NewHolder(), guard: rollout.New(), self: self,
		peers: map[string]context.CancelFunc{}, controls: map[*link.Control]bool{},
	}
	for _, opt := range opts {
		opt(me)
	}
	return me
}

// Serve accepts links until the context ends.
func (me *Mesh) Serve(ctx context.Context, li net.Listener) error {
	me.mu.Lock()
	me.ctx = ctx
	me.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { li.Close() })
	defer stop()
	for {
		conn, err := li.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return err
		}
		go me.accept(ctx, conn)
	}
}

func (me *Mesh) accept(ctx context.Context, conn net.Conn) {
	ses, st, cleanup, err := link.Accept(ctx, conn)
	if err != nil {
		return
	}
	defer cleanup()
	go me.serveStreams(ses)
	_ = me.serve(ctx, st)
}

// serve runs the control stream of one link until it ends.
func (me *Mesh) serve(ctx context.Context, st io.ReadWriteCloser) error {
	hd := link.Handlers{Suspect: me.receiveSuspect, Halt: me.receiveHalt}
	co := link.NewControl(me.deps, me.inf, st, hd, link.WithNoticeInterval(NoticeInterval))
	me.track(co, true)
	defer me.track(co, false)
	if err := co.Hello(""); err != nil {
		return err
	}
	return co.Serve(ctx)
}

// track adds an open control to the broadcast targets, or removes one that has ended.
func (me *Mesh) track(co *link.Control, open bool) {
	me.mu.Lock()
	defer me.mu.Unlock()
	if open {
		me.controls[co] = true
	} else {
		delete(me.controls, co)
	}
}

// receiveSuspect merges another entry's record of a suspect and forwards it if it is new. A record
// that is already present is not forwarded, so that records do not circulate.
func (me *Mesh) receiveSuspect(su *frame.Suspect) {
	now := time.Now()
	re := suspect.Record{
		Fingerprint: suspect.Fingerprint(su.Fingerprint), State: suspect.State(su.State),
		Until: now.Add(time.Duration(su.LeftMicros) * time.Microsecond),
	}
	if me.suspects.Merge(re, now) {
		go me.BroadcastSuspect(re)
	}
}

// BroadcastSuspect broadcasts a suspect's record to all linked entries.
func (me *Mesh) BroadcastSuspect(re suspect.Record) {
	me.broadcast(&frame.Frame{Body: &frame.Frame_Suspect{Suspect: &frame.Suspect{
		Fingerprint: uint64(re.Fingerprint), State: int32(re.State), LeftMicros: time.Until(re.Until).Microseconds(),
	}}})
}

// broadcast sends a frame to all linked entries.
func (me *Mesh) broadcast(fr *frame.Frame) {
	me.mu.Lock()
	cos := slices.Collect(maps.Keys(me.controls))
	me.mu.Unlock()
	for _, co := range cos {
		_ = co.Send(fr)
	}
}

// Update opens links to the peers that the host list implies and closes all others.
func (me *Mesh) Update(hosts []core.Host) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.hosts = hosts
	if me.ctx == nil {
		return
	}
	wanted := map[string]bool{}
	for _, ho := range topology.Peers(hosts, me.self) {
		wanted[ho.Addr] = true
		if me.peers[ho.Addr] == nil {
			ctx, cancel := context.WithCancel(me.ctx)
			me.peers[ho.Addr] = cancel
			go link.Redial(ctx, func(ctx context.Context) { me.connect(ctx, ho.Addr) })
		}
	}
	for addr, cancel := range me.peers {
		if !wanted[addr] {
			cancel()
			delete(me.peers, addr)
		}
	}
}

func (me *Mesh) connect(ctx context.Context, addr string) {
	ses, st, err := link.Dial(ctx, addr)
	if err != nil {
		return
	}
	defer ses.Close()
	event.Log(me.deps.Log, event.PeerUp, "peer", addr)
	err = me.serve(ctx, st)
	if ctx.Err() == nil {
		event.Log(me.deps.Log, event.PeerDown, "peer", addr, "error", err)
	}
}

// AwaitGeneration waits until the process at an address, an entry or an agent, has the generation
// gen or a newer one in force, and returns the generation that it has.
func AwaitGeneration(ctx context.Context, deps core.Deps, addr string, gen core.Generation) (core.Generation, error) {
	ses, st, err := link.Dial(ctx, addr)
	if err != nil {
		return 0, err
	}
	defer ses.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var got core.Generation
	record := func(theirs uint64) {
		got = max(got, core.Generation(theirs))
		if got >= gen {
			cancel()
		}
	}
	co := link.NewControl(deps, declaration.NewInForce(), st, link.Handlers{
		Hello:  func(he *frame.Hello) { record(he.Generation) },
		Notice: func(no *frame.Notice) { record(no.Generation) },
	}, link.WithoutConfig())
	if err := co.Hello(""); err != nil {
		return 0, err
	}
	err = co.Serve(ctx)
	if got >= gen {
		return got, nil
	}
	return got, err
}
