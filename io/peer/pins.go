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
	// holdersPerSession is how many entries of the region hold a session: its
	// preferred one and the runner-up, so that one restart loses nothing.
	holdersPerSession = 2
	// askLimit bounds the wait for a holder. It comes before the first token
	// of a session's first request through an entry; a holder that does not
	// answer within it costs the pin, not the request.
	askLimit = 50 * time.Millisecond
	// keepLimit bounds telling a holder, in the background.
	keepLimit = 2 * time.Second
	// keeping bounds the notes to holders that are under way at once. Beyond
	// it notes are dropped: the token still keeps the session, and the next
	// request through this entry finds it here.
	keeping = 256
)

// holders returns the preferred holders of a session in this region.
func (me *Mesh) holders(key session.Key) []core.Host {
	me.mu.Lock()
	hosts := me.hosts
	me.mu.Unlock()
	var near []core.Host
	for _, ho := range hosts {
		if ho.Role == core.RoleEntry && ho.Region == me.self.Region && !ho.Leaving && ho.Addr != "" {
			near = append(near, ho)
		}
	}
	name := string(key.Workspace) + "\x00" + string(key.Session)
	return rendezvous.Top(name, near, holdersPerSession, func(ho core.Host) string { return ho.Addr })
}

// Find returns the versions that a session runs on: as held here, or as its
// holders say. Nil when nobody knows within askLimit.
func (me *Mesh) Find(ctx context.Context, key session.Key) session.Versions {
	if vs := me.holder.Find(key, time.Now()); vs != nil {
		return vs
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	for _, ho := range me.holders(key) {
		if ho.Addr == me.self.Addr {
			continue
		}
		if vs := me.ask(ctx, ho.Addr, key); vs != nil {
			me.holder.Keep(key, vs, time.Now())
			return vs
		}
	}
	return nil
}

func (me *Mesh) ask(ctx context.Context, addr string, key session.Key) session.Versions {
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

// Keep notes what a session runs on, here at once and at its holders in the
// background.
func (me *Mesh) Keep(key session.Key, vs session.Versions) {
	me.holder.Keep(key, vs, time.Now())
	for _, ho := range me.holders(key) {
		if ho.Addr == me.self.Addr || !me.asks.begin() {
			continue
		}
		go func() {
			defer me.asks.end()
			ctx, cancel := context.WithTimeout(context.Background(), keepLimit)
			defer cancel()
			_, _ = me.exchange(ctx, ho.Addr, pinsFrame(key, vs))
		}()
	}
}

// answer serves the streams that a peer opens after its control stream.
func (me *Mesh) answer(ses *yamux.Session) {
	for {
		st, err := ses.AcceptStream()
		if err != nil {
			return
		}
		go me.answerOne(st)
	}
}

func (me *Mesh) answerOne(st *yamux.Stream) {
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
		me.holder.Keep(key, versionsOf(body.Pins), now)
		_ = wr.Write(pinsFrame(key, nil))
	case *frame.Frame_Evidence:
		_ = wr.Write(me.pool(body.Evidence))
	}
}

// sessions are the links over which this entry asks others. They are opened
// when first needed and kept.
type sessions struct {
	mu     sync.Mutex
	open   map[string]*yamux.Session
	flying int
}

func (se *sessions) begin() bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.flying >= keeping {
		return false
	}
	se.flying++
	return true
}

func (se *sessions) end() {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.flying--
}

// exchange sends a frame to an entry and returns its answer.
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
	me.asks.mu.Lock()
	ses := me.asks.open[addr]
	me.asks.mu.Unlock()
	if ses != nil && !ses.IsClosed() {
		return ses, nil
	}
	ses, st, err := link.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	go func() {
		_ = me.serve(me.lifetime(), st)
		ses.Close()
	}()
	me.asks.mu.Lock()
	defer me.asks.mu.Unlock()
	if other := me.asks.open[addr]; other != nil && !other.IsClosed() {
		ses.Close()
		return other, nil
	}
	if me.asks.open == nil {
		me.asks.open = map[string]*yamux.Session{}
	}
	me.asks.open[addr] = ses
	return ses, nil
}

// lifetime is the context of the mesh; before Serve there is nobody to ask.
func (me *Mesh) lifetime() context.Context {
	me.mu.Lock()
	defer me.mu.Unlock()
	if me.ctx == nil {
		return context.Background()
	}
	return me.ctx
}
