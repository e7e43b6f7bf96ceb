package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/placement"
)

// placer lets goroutines share one picker.
type placer struct {
	mu sync.Mutex
	pk *placement.Picker
	// buf is reused between decisions, which read it under the lock.
	buf []core.Upstream
}

func newPlacer(deps core.Deps, opts []placement.Option) *placer {
	return &placer{pk: placement.New(deps.Zone, deps.Region, opts...)}
}

// lister is implemented by upstreams that list candidates into a buffer.
type lister interface {
	AppendServing(buf []core.Upstream, mv core.ModelVersion) []core.Upstream
	AppendOffering(buf []core.Upstream, sv core.ServiceID) []core.Upstream
}

// candidates is called with the lock held.
func (pl *placer) candidates(ups core.Upstreams, mv core.ModelVersion, sv core.ServiceID) []core.Upstream {
	li, ok := ups.(lister)
	switch {
	case ok && sv != "":
		pl.buf = li.AppendOffering(pl.buf[:0], sv)
	case ok:
		pl.buf = li.AppendServing(pl.buf[:0], mv)
	case sv != "":
		return ups.Offering(sv)
	default:
		return ups.Serving(mv)
	}
	return pl.buf
}

func (pl *placer) pick(ups core.Upstreams, rq *Request, at *core.Attempt, tried []core.UpstreamID) (placement.Choice, bool) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	cands := pl.candidates(ups, at.Target, at.Service)
	return pl.pk.Pick(time.Now(), placement.Request{
		Pool: poolOf(at), Prefix: placement.Prefix(rq.Prompt), Body: len(rq.Body), Tried: tried,
	}, cands, rand.IntN)
}

func poolOf(at *core.Attempt) placement.Pool {
	return placement.Pool{Target: at.Target, Service: at.Service, Whole: !at.Stream}
}

// send hands an attempt over and notes how soon its answer begins.
func (pl *placer) send(ctx context.Context, ups core.Upstreams, ch placement.Choice, at *core.Attempt) (core.Answer, error) {
	sent := time.Now()
	pl.mu.Lock()
	pl.pk.Sent(sent, ch.ID)
	pl.mu.Unlock()
	ans, err := ups.Dispatch(ctx, ch.ID, at)
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if err != nil {
		pl.pk.Failed(time.Now(), ch.ID)
		return nil, err
	}
	pl.pk.Heard(time.Now(), poolOf(at), ch, sent)
	if ch.Crossing {
		return &crossing{Answer: ans, pl: pl}, nil
	}
	return ans, nil
}

// crossing charges an answer's bytes to the budget of the link between
// regions, as they come.
type crossing struct {
	core.Answer
	pl *placer
}

// Next implements [core.Answer].
func (cr *crossing) Next() ([]byte, error) {
	data, err := cr.Answer.Next()
	if len(data) > 0 {
		cr.pl.mu.Lock()
		cr.pl.pk.Crossed(time.Now(), len(data))
		cr.pl.mu.Unlock()
	}
	return data, err
}

// census is implemented by upstreams that know how many entries share them.
type census interface{ Entries() int }

// Room returns how many requests of this entry the upstreams of a model
// version, or of a plain service, take at once.
func (dis *Dispatcher) Room(mv core.ModelVersion, sv core.ServiceID) int {
	entries := 1
	if ce, ok := dis.ups.(census); ok {
		entries = ce.Entries()
	}
	dis.pl.mu.Lock()
	defer dis.pl.mu.Unlock()
	cands := dis.pl.candidates(dis.ups, mv, sv)
	return dis.pl.pk.Room(cands, entries, dis.pl.pk.MayCross(time.Now(), 0))
}
