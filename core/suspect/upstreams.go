package suspect

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/event"
)

// Upstreams guards an entry's upstreams with a registry. It implements
// [core.Upstreams].
type Upstreams struct {
	core.Upstreams
	deps     core.Deps
	reg      *Registry
	announce func(Record)
}

// NewUpstreams returns ups guarded by a registry. It calls announce with each record
// to send to the other entries; announce must not block.
func NewUpstreams(deps core.Deps, ups core.Upstreams, reg *Registry, announce func(Record)) *Upstreams {
	return &Upstreams{Upstreams: ups, deps: deps, reg: reg, announce: announce}
}

// copyRetryAfter is the Retry-After of a suspect while a copy of it runs alone. By then
// that copy has most likely ended.
const copyRetryAfter = 2 * time.Second

// Dispatch implements [core.Upstreams].
func (ups *Upstreams) Dispatch(ctx context.Context, id core.UpstreamID, at *core.Attempt) (core.Answer, error) {
	fp, now := FingerprintOf(at), time.Now()
	re, ok := ups.reg.Begin(fp, now)
	switch {
	case re.State == Quarantined:
		return nil, core.Refuse(core.CodeQuarantined, re.Until.Sub(now), "this request crashed an upstream while it ran alone there")
	case !ok:
		return nil, core.Refuse(core.CodeSuspected, copyRetryAfter, "an upstream crashed with this request in flight; a copy of it runs alone now")
	}
	ru := &run{ups: ups, fp: fp, alone: re.State == Suspected, upstream: id}
	exclusive := *at
	exclusive.Exclusive = ru.alone
	ans, err := ups.Upstreams.Dispatch(ctx, id, &exclusive)
	if err != nil {
		ru.handleError(err)
		return nil, err
	}
	return &answer{Answer: ans, run: ru}, nil
}

// run is one guarded attempt.
type run struct {
	ups      *Upstreams
	fp       Fingerprint
	alone    bool
	upstream core.UpstreamID
	once     sync.Once
}

func (ru *run) end(record func()) {
	ru.once.Do(func() {
		if record != nil {
			record()
		}
		if ru.alone {
			ru.ups.reg.End(ru.fp)
		}
	})
}

func (ru *run) handleError(err error) {
	var fl *core.Failure
	if !errors.As(err, &fl) || fl.Code != core.CodeCrashed {
		ru.end(nil)
		return
	}
	ru.end(func() {
		re := ru.ups.reg.RecordCrash(ru.fp, ru.alone, time.Now())
		event.Log(ru.ups.deps.Log, event.UpstreamCrashed, "upstream", ru.upstream, "fingerprint", uint64(ru.fp), "alone", ru.alone)
		ru.ups.announce(re)
	})
}

// answer wraps an answer to record how it ends.
type answer struct {
	core.Answer
	run *run
}

// Next implements [core.Answer].
func (an *answer) Next() ([]byte, error) {
	data, err := an.Answer.Next()
	switch {
	case errors.Is(err, io.EOF):
		an.run.end(func() { an.run.ups.reg.ClearSuspect(an.run.fp) })
	case err != nil:
		an.run.handleError(err)
	}
	return data, err
}

// Close implements [core.Answer].
func (an *answer) Close() {
	an.Answer.Close()
	an.run.end(nil)
}
