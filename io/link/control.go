package link

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/event"
	"skylarkstand/io/frame"
)

// Handlers are called from the goroutine that reads the control stream. They must not block.
// Each handler has the name of its frame message; Told receives the bills that an agent hands over.
// Messages with a nil handler are dropped.
type Handlers struct {
	Hello   func(*frame.Hello)
	Notice  func(*frame.Notice)
	State   func(*frame.State)
	Settled func(*frame.Settled)
	Durable func(*frame.Durable)
	Ask     func(*frame.Ask)
	Told    func(*frame.Told)
	Suspect func(*frame.Suspect)
	Halt    func(*frame.Halt)
}

// Control is one side of a control stream.
type Control struct {
	deps core.Deps
	inf  *declaration.InForce
	st   io.ReadWriteCloser
	hd   Handlers

	// noticeInterval is the interval at which an unchanged notice is repeated; zero disables
	// repetition.
	noticeInterval time.Duration
	withoutConfig  bool

	ended atomic.Bool

	mu sync.Mutex
	wr *frame.Writer
}

// WithoutConfig makes the control request no configuration, for a process that needs only the
// number of the generation that the other side has.
func WithoutConfig() Option { return func(co *Control) { co.withoutConfig = true } }

// Option changes a Control at construction.
type Option func(*Control)

// WithNoticeInterval makes the control repeat its notice at an interval, so that a peer that does
// not read the store can compute how long ago its configuration was confirmed as the newest.
func WithNoticeInterval(d time.Duration) Option { return func(co *Control) { co.noticeInterval = d } }

// NewControl returns a Control on an open stream.
func NewControl(deps core.Deps, inf *declaration.InForce, st io.ReadWriteCloser, hd Handlers, opts ...Option) *Control {
	co := &Control{deps: deps, inf: inf, st: st, hd: hd, wr: frame.NewWriter(st)}
	for _, opt := range opts {
		opt(co)
	}
	return co
}

// Send writes a frame. It is safe for concurrent use.
func (co *Control) Send(fr *frame.Frame) error {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.wr.Write(fr)
}

// Hello sends this side's first frame.
func (co *Control) Hello(id core.UpstreamID) error {
	return co.Send(&frame.Frame{Body: &frame.Frame_Hello{Hello: &frame.Hello{
		Process: string(co.deps.Self), Zone: string(co.deps.Zone), Region: string(co.deps.Region),
		Generation: uint64(co.inf.Number()), Upstream: string(id),
	}}})
}

// Serve reads the stream until the stream or the context ends, and announces each newer generation
// to the peer.
func (co *Control) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer co.ended.Store(true)
	stop := context.AfterFunc(ctx, func() { co.st.Close() })
	defer stop()
	go co.announce(ctx)
	rd := frame.NewReader(co.st)
	for {
		fr, err := rd.Read()
		if err != nil {
			return err
		}
		if err := co.handle(fr); err != nil {
			return err
		}
	}
}

// announce sends a notice immediately, at each change of the configuration, and every
// noticeInterval.
func (co *Control) announce(ctx context.Context) {
	var tick <-chan time.Time
	if co.noticeInterval > 0 {
		tk := time.NewTicker(co.noticeInterval)
		defer tk.Stop()
		tick = tk.C
	}
	for {
		changed := co.inf.Changed()
		if co.sendNotice() != nil {
			return
		}
		select {
		case <-changed:
		case <-tick:
		case <-ctx.Done():
			return
		}
	}
}

func (co *Control) sendNotice() error {
	no := &frame.Notice{Generation: uint64(co.inf.Number())}
	if confirmed := co.inf.ConfirmedAt(); !confirmed.IsZero() {
		no.Fresh, no.AgeMicros = true, time.Since(confirmed).Microseconds()
	}
	return co.Send(&frame.Frame{Body: &frame.Frame_Notice{Notice: no}})
}

// handleNotice processes a peer's notice. The peer confirmed its generation as the newest AgeMicros
// ago; if this process has that generation or a newer one in force, the confirmation holds here
// too. The transit time of a notice makes the confirmation look more recent than it is, by at most
// the time that the link's keep-alive allows.
func (co *Control) handleNotice(no *frame.Notice) error {
	if no.Fresh && no.AgeMicros >= 0 && no.Generation <= uint64(co.inf.Number()) {
		co.inf.Confirm(time.Now().Add(-core.DurationWithin(float64(no.AgeMicros), time.Microsecond, maxAge)))
	}
	callIfSet(co.hd.Notice, no)
	return co.requestIfNewer(no.Generation)
}

// maxAge bounds the age of a confirmation.
const maxAge = 30 * 24 * time.Hour

func (co *Control) handle(fr *frame.Frame) error {
	switch body := fr.Body.(type) {
	case *frame.Frame_Hello:
		callIfSet(co.hd.Hello, body.Hello)
		return co.requestIfNewer(body.Hello.Generation)
	case *frame.Frame_Notice:
		return co.handleNotice(body.Notice)
	case *frame.Frame_Want:
		return co.sendConfig()
	case *frame.Frame_Config:
		co.adopt(body.Config.Generation)
	case *frame.Frame_State:
		callIfSet(co.hd.State, body.State)
		return co.requestIfNewer(body.State.Generation)
	case *frame.Frame_Settled:
		callIfSet(co.hd.Settled, body.Settled)
	case *frame.Frame_Durable:
		callIfSet(co.hd.Durable, body.Durable)
	case *frame.Frame_Ask:
		callIfSet(co.hd.Ask, body.Ask)
	case *frame.Frame_Told:
		callIfSet(co.hd.Told, body.Told)
	case *frame.Frame_Suspect:
		callIfSet(co.hd.Suspect, body.Suspect)
	case *frame.Frame_Halt:
		callIfSet(co.hd.Halt, body.Halt)
	}
	return nil
}

func callIfSet[T any](fn func(*T), msg *T) {
	if fn != nil {
		fn(msg)
	}
}

// requestIfNewer requests the peer's generation if it is newer than the local one. If it has been
// requested over another link already, this link checks again after [declaration.FetchRetryDelay]:
// the other peer may disappear before it responds, and no peer would announce the generation again.
func (co *Control) requestIfNewer(theirs uint64) error {
	if co.withoutConfig || theirs <= uint64(co.inf.Number()) || theirs > uint64(core.MaxGeneration) {
		return nil
	}
	if !co.inf.ShouldFetch(core.Generation(theirs), time.Now()) {
		time.AfterFunc(declaration.FetchRetryDelay, func() {
			if !co.ended.Load() {
				_ = co.requestIfNewer(theirs)
			}
		})
		return nil
	}
	return co.Send(&frame.Frame{Body: &frame.Frame_Want{Want: &frame.Want{Generation: theirs}}})
}

func (co *Control) sendConfig() error {
	sn := co.inf.Current()
	if sn == nil {
		return nil
	}
	return co.Send(&frame.Frame{Body: &frame.Frame_Config{Config: &frame.Config{Generation: sn.Raw}}})
}

func (co *Control) adopt(raw []byte) {
	adopted, err := co.inf.Adopt(raw)
	if err != nil {
		event.Log(co.deps.Log, event.ConfigBroken, "error", err)
		return
	}
	if adopted {
		event.Log(co.deps.Log, event.ConfigAdopted, "generation", co.inf.Number(), "from", "link")
	}
}
