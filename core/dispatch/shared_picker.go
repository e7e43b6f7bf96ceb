package dispatch

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/placement"
)

// Lister appends the upstreams of an entry to a buffer, so that a selection does not have to
// allocate.
type Lister interface {
	AppendServing(buf []core.Upstream, mv core.ModelVersion) []core.Upstream
	AppendOffering(buf []core.Upstream, sv core.ServiceID) []core.Upstream
	// EntryCount returns how many entries share the upstreams, including this one.
	EntryCount() int
}

// singleEntry adapts [core.Upstreams] to Lister for an entry without siblings.
type singleEntry struct{ core.Upstreams }

func (se singleEntry) AppendServing(buf []core.Upstream, mv core.ModelVersion) []core.Upstream {
	return append(buf, se.Serving(mv)...)
}

func (se singleEntry) AppendOffering(buf []core.Upstream, sv core.ServiceID) []core.Upstream {
	return append(buf, se.Offering(sv)...)
}

func (se singleEntry) EntryCount() int { return 1 }

// sharedPicker makes a Picker safe for concurrent use.
type sharedPicker struct {
	list Lister
	// randIntN returns a random number in [0, n).
	randIntN func(n int) int

	mu sync.Mutex
	pk *placement.Picker
	// buf is reused by all selections; mu guards it.
	buf []core.Upstream
}

func newSharedPicker(deps core.Deps, ups core.Upstreams) *sharedPicker {
	return &sharedPicker{list: singleEntry{ups}, randIntN: rand.IntN, pk: placement.New(deps.Zone, deps.Region)}
}

// candidates lists the upstreams to select from. The caller holds mu.
func (sp *sharedPicker) candidates(mv core.ModelVersion, sv core.ServiceID) []core.Upstream {
	if sv != "" {
		sp.buf = sp.list.AppendOffering(sp.buf[:0], sv)
	} else {
		sp.buf = sp.list.AppendServing(sp.buf[:0], mv)
	}
	return sp.buf
}

// allowed filters, in place, the candidates on which new work of a workspace may be placed.
func allowed(sn *declaration.Snapshot, ws core.WorkspaceID, cands []core.Upstream) []core.Upstream {
	return slices.DeleteFunc(cands, func(up core.Upstream) bool { return !sn.MayPlace(ws, up.Host) })
}

func (sp *sharedPicker) pick(sn *declaration.Snapshot, rq *Request, at *core.Attempt, tried []core.UpstreamID) (placement.Choice, bool) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	cands := allowed(sn, rq.Workspace, sp.candidates(at.Target, at.Service))
	if rq.claim != nil {
		cands = preferred(*rq.claim, cands, tried)
	}
	return sp.pk.Pick(time.Now(), placement.Request{
		Pool: poolOf(at), Prefix: placement.Prefix(rq.Prompt), Body: len(rq.Body), CrossRegion: rq.CrossRegion, Tried: tried,
	}, cands, sp.randIntN)
}

func poolOf(at *core.Attempt) placement.Pool {
	return placement.Pool{Target: at.Target, Service: at.Service, Unstreamed: !at.Stream}
}

// send dispatches an attempt and records the time until its answer starts.
func (sp *sharedPicker) send(ctx context.Context, ups core.Upstreams, ch placement.Choice, at *core.Attempt) (core.Answer, error) {
	sent := time.Now()
	sp.mu.Lock()
	sp.pk.RecordSent(sent, ch.ID)
	sp.mu.Unlock()
	ans, err := ups.Dispatch(ctx, ch.ID, at)
	sp.mu.Lock()
	defer sp.mu.Unlock()
	if err != nil {
		sp.pk.RecordFailure(time.Now(), ch.ID)
		return nil, err
	}
	now := time.Now()
	sp.pk.RecordFirstChunk(now, poolOf(at), ch.ID, sent)
	return &measuredAnswer{Answer: ans, pl: sp, po: poolOf(at), ch: ch, sent: sent, began: now}, nil
}

// measuredAnswer is an answer whose throughput the picker records, and also its size if it comes
// from another region.
type measuredAnswer struct {
	core.Answer
	pl          *sharedPicker
	po          placement.Pool
	ch          placement.Choice
	sent, began time.Time
	chunks      int
}

// Next implements [core.Answer].
func (ma *measuredAnswer) Next() ([]byte, error) {
	data, err := ma.Answer.Next()
	ma.chunks++
	switch {
	case err == nil && ma.ch.CrossRegion:
		ma.pl.mu.Lock()
		ma.pl.pk.ChargeCrossRegion(time.Now(), len(data))
		ma.pl.mu.Unlock()
	case errors.Is(err, io.EOF) && ma.po.Unstreamed:
		if out := int(ma.Usage().Generated); out >= placement.MinMeasuredTokens {
			ma.recordChunks(time.Since(ma.sent), out)
		}
	}
	if err == nil && !ma.po.Unstreamed && ma.chunks == placement.MeasuredChunks+1 {
		ma.recordChunks(time.Since(ma.began), placement.MeasuredChunks)
	}
	return data, err
}

func (ma *measuredAnswer) recordChunks(took time.Duration, chunks int) {
	ma.pl.mu.Lock()
	defer ma.pl.mu.Unlock()
	ma.pl.pk.RecordChunks(ma.po, ma.ch.ID, took, chunks)
}

// Capacity returns the capacity of the upstreams of a model version or plain service, in the local
// region or, if crossRegion is set, in the other regions.
func (dis *Dispatcher) Capacity(mv core.ModelVersion, sv core.ServiceID, crossRegion bool) placement.Capacity {
	dis.pl.mu.Lock()
	defer dis.pl.mu.Unlock()
	cands := dis.pl.candidates(mv, sv)
	if crossRegion {
		return dis.pl.pk.CrossRegionCapacity(time.Now(), cands)
	}
	return dis.pl.pk.Capacity(cands, dis.pl.list.EntryCount())
}
