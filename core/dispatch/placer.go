package dispatch

import (
	"context"
	"errors"
	"io"
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
		Pool: poolOf(at), Prefix: placement.Prefix(rq.Prompt), Body: len(rq.Body), Cross: rq.Crossing, Tried: tried,
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
	now := time.Now()
	pl.pk.Heard(now, poolOf(at), ch.ID, sent)
	return &watched{Answer: ans, pl: pl, po: poolOf(at), ch: ch, sent: sent, began: now}, nil
}

// watched is an answer whose pace and, over the link between regions, size
// the placement learns.
type watched struct {
	core.Answer
	pl          *placer
	po          placement.Pool
	ch          placement.Choice
	sent, began time.Time
	pieces      int
}

// Next implements [core.Answer].
func (wa *watched) Next() ([]byte, error) {
	data, err := wa.Answer.Next()
	wa.pieces++
	switch {
	case err == nil && wa.ch.Crossing:
		wa.pl.mu.Lock()
		wa.pl.pk.Crossed(time.Now(), len(data))
		wa.pl.mu.Unlock()
	case errors.Is(err, io.EOF) && wa.po.Whole:
		if out := int(wa.Usage().Generated); out >= placement.PacePieces {
			wa.paced(time.Since(wa.sent), out)
		}
	}
	if err == nil && !wa.po.Whole && wa.pieces == placement.PacePieces+1 {
		wa.paced(time.Since(wa.began), placement.PacePieces)
	}
	return data, err
}

func (wa *watched) paced(took time.Duration, pieces int) {
	wa.pl.mu.Lock()
	defer wa.pl.mu.Unlock()
	wa.pl.pk.Paced(wa.po, wa.ch.ID, took, pieces)
}

// census is implemented by upstreams that know how many entries share them.
type census interface{ Entries() int }

// Room returns what the upstreams of a model version, or of a plain service,
// take: in the own region, or in the others.
func (dis *Dispatcher) Room(mv core.ModelVersion, sv core.ServiceID, far bool) placement.Room {
	entries := 1
	if ce, ok := dis.ups.(census); ok {
		entries = ce.Entries()
	}
	dis.pl.mu.Lock()
	defer dis.pl.mu.Unlock()
	cands := dis.pl.candidates(dis.ups, mv, sv)
	if far {
		return dis.pl.pk.FarRoom(time.Now(), cands)
	}
	return dis.pl.pk.Room(cands, entries)
}
