package peer

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"skylarkstand/core"
	"skylarkstand/core/rendezvous"
	"skylarkstand/core/session"
	"skylarkstand/io/frame"
	"skylarkstand/io/link"
)

const (
	// holdersPerSession is the number of entries of the region that hold a session: its preferred
	// holder and the second choice, so that the restart of one loses nothing.
	holdersPerSession = 2
	// findTimeout bounds the wait for the holders. It delays the first token of a session's first
	// request through an entry; if no holder answers in time, the pin is lost, not the request.
	findTimeout = 50 * time.Millisecond
	// recordTimeout bounds a background message to a holder.
	recordTimeout = 2 * time.Second
	// maxPendingRecords bounds the number of concurrent messages to holders. Further ones are
	// dropped: the token still pins the session, and the next request through this entry finds it
	// here.
	maxPendingRecords = 256
)

// holders returns the preferred holders of a session in the local region.
func (me *Mesh) holders(key session.Key) []core.Host {
	me.mu.Lock()
	hosts := me.hosts
	me.mu.Unlock()
	var candidates []core.Host
	for _, ho := range hosts {
		if ho.Role == core.RoleEntry && ho.Region == me.self.Region && !ho.Leaving && ho.Addr != "" {
			candidates = append(candidates, ho)
		}
	}
	name := string(key.Workspace) + "\x00" + string(key.Session)
	return rendezvous.Top(name, candidates, holdersPerSession, func(ho core.Host) string { return ho.Addr })
}

// Find returns the versions that a session is pinned to, as held here or else as its holders report
// them. It returns nil if no holder has them or answers within findTimeout.
func (me *Mesh) Find(ctx context.Context, key session.Key) session.Versions {
	if vs := me.holder.Find(key, time.Now()); vs != nil {
		return vs
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	for _, ho := range me.holders(key) {
		if ho.Addr == me.self.Addr {
			continue
		}
		if vs := me.fetch(ctx, ho.Addr, key); vs != nil {
			me.holder.Record(key, vs, time.Now())
			return vs
		}
	}
	return nil
}

func (me *Mesh) fetch(ctx context.Context, addr string, key session.Key) session.Versions {
	fr, err := me.exchange(ctx, addr, &frame.Frame{Body: &frame.Frame_PinAsk{PinAsk: &frame.PinAsk{
		Workspace: string(key.Workspace), Session: string(key.Session),
	}}})
	if err != nil || fr.GetPins() == nil || len(fr.GetPins().Versions) == 0 {
		return nil
	}
	return versionsOf(fr.GetPins())
}

func versionsOf(pi *frame.Pins) session.Versions {
	vs := session.Versions{}
	for mo, ve := range pi.Versions {
		vs[core.ModelID(mo)] = core.VersionID(ve)
	}
	return vs
}

func pinsFrame(key session.Key, vs session.Versions) *frame.Frame {
	pi := &frame.Pins{Workspace: string(key.Workspace), Session: string(key.Session), Versions: map[string]string{}}
	for mo, ve := range vs {
		pi.Versions[string(mo)] = string(ve)
	}
	return &frame.Frame{Body: &frame.Frame_Pins{Pins: pi}}
}

// Record records the versions that a session is pinned to: here immediately, and at its holders in
// the background.
func (me *Mesh) Record(key session.Key, vs session.Versions) {
	me.holder.Record(key, vs, time.Now())
	for _, ho := range me.holders(key) {
		if ho.Addr == me.self.Addr || !me.outbound.acquire() {
			continue
		}
		go func() {
			defer me.outbound.release()
			ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
			defer cancel()
			_, _ = me.exchange(ctx, ho.Addr, pinsFrame(key, vs))
		}()
	}
}

// serveStreams serves the streams that a peer opens after its control stream.
func (me *Mesh) serveStreams(ses *yamux.Session) {
	for {
		st, err := ses.AcceptStream()
		if err != nil {
			return
		}
		go me.serveStream(st)
	}
}

func (me *Mesh) serveStream(st *yamux.Stream) {
	defer st.Close()
	fr, err := frame.NewReader(st).Read()
	if err != nil {
		return
	}
	wr, now := frame.NewWriter(st), time.Now()
	switch body := fr.Body.(type) {
	case *frame.Frame_PinAsk:
		key := session.Key{Workspace: core.WorkspaceID(body.PinAsk.Workspace), Session: core.SessionID(body.PinAsk.Session)}
		_ = wr.Write(pinsFrame(key, me.holder.Find(key, now)))
	case *frame.Frame_Pins:
		key := session.Key{Workspace: core.WorkspaceID(body.Pins.Workspace), Session: core.SessionID(body.Pins.Session)}
		me.holder.Record(key, versionsOf(body.Pins), now)
		_ = wr.Write(pinsFrame(key, nil))
	case *frame.Frame_Evidence:
		_ = wr.Write(me.poolEvidence(body.Evidence))
	}
}

// outboundSessions holds the links over which this entry sends requests to others. A link is opened
// when it is first needed and stays open.
type outboundSessions struct {
	mu       sync.Mutex
	open     map[string]*yamux.Session
	inFlight int
}

func (se *outboundSessions) acquire() bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.inFlight >= maxPendingRecords {
		return false
	}
	se.inFlight++
	return true
}

func (se *outboundSessions) release() {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.inFlight--
}

// exchange sends a frame to an entry and returns the response.
func (me *Mesh) exchange(ctx context.Context, addr string, fr *frame.Frame) (*frame.Frame, error) {
	ses, err := me.sessionTo(ctx, addr)
	if err != nil {
		return nil, err
	}
	st, err := ses.OpenStream()
	if err != nil {
		return nil, err
	}
	defer st.Close()
	stop := context.AfterFunc(ctx, func() { st.Close() })
	defer stop()
	if err := frame.NewWriter(st).Write(fr); err != nil {
		return nil, err
	}
	return frame.NewReader(st).Read()
}

func (me *Mesh) sessionTo(ctx context.Context, addr string) (*yamux.Session, error) {
	me.outbound.mu.Lock()
	ses := me.outbound.open[addr]
	me.outbound.mu.Unlock()
	if ses != nil && !ses.IsClosed() {
		return ses, nil
	}
	ses, st, err := link.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	go func() {
		_ = me.serve(me.serveContext(), st)
		ses.Close()
	}()
	me.outbound.mu.Lock()
	defer me.outbound.mu.Unlock()
	if other := me.outbound.open[addr]; other != nil && !other.IsClosed() {
		ses.Close()
		return other, nil
	}
	if me.outbound.open == nil {
		me.outbound.open = map[string]*yamux.Session{}
	}
	me.outbound.open[addr] = ses
	return ses, nil
}

// serveContext returns the context of Serve, or the background context before Serve is called.
func (me *Mesh) serveContext() context.Context {
	me.mu.Lock()
	defer me.mu.Unlock()
	if me.ctx == nil {
		return context.Background()
	}
	return me.ctx
}
