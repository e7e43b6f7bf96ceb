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

// Upstreams puts a registry before an entry's upstreams. It implements
// [core.Upstreams].
type Upstreams struct {
	core.Upstreams
	deps core.Deps
	reg  *Registry
	tell func(Record)
}

// NewUpstreams returns ups guarded by a registry. Tell is called with each
// record that other entries should hear of; it must not block.
func NewUpstreams(deps core.Deps, ups core.Upstreams, reg *Registry, tell func(Record)) *Upstreams {
	return &Upstreams{Upstreams: ups, deps: deps, reg: reg, tell: tell}
}

// retryAlone is when a copy that runs alone has most likely ended.
const retryAlone = 2 * time.Second

// Dispatch implements [core.Upstreams].
func (ups *Upstreams) Dispatch(ctx context.Context, id core.UpstreamID, at *core.Attempt) (core.Answer, error) {
	fp, now := Of(at), time.Now()
	re, ok := ups.reg.Begin(fp, now)
	switch {
	case re.State == Quarantined:
		return nil, core.Refuse(core.CodeQuarantined, re.Until.Sub(now), "this request crashed an upstream while it ran alone there")
	case !ok:
		return nil, core.Refuse(core.CodeSuspected, retryAlone, "an upstream crashed with this request in flight; a copy of it runs alone now")
	}
	ru := &run{ups: ups, fp: fp, alone: re.State == Suspected, upstream: id}
	solo := *at
	solo.Solo = ru.alone
	ans, err := ups.Upstreams.Dispatch(ctx, id, &solo)
	if err != nil {
		ru.failed(err)
		return nil, err
	}
	return &answer{Answer: ans, run: ru}, nil
}

// run is one attempt that is watched.
type run struct {
	ups      *Upstreams
	fp       Fingerprint
	alone    bool
	upstream core.UpstreamID
	once     sync.Once
}

func (ru *run) end(note func()) {
	ru.once.Do(func() {
		if note != nil {
			note()
		}
		if ru.alone {
			ru.ups.reg.End(ru.fp)
		}
	})
}

func (ru *run) failed(err error) {
	var fl *core.Failure
	if !errors.As(err, &fl) || fl.Code != core.CodeCrashed {
		ru.end(nil)
		return
	}
	ru.end(func() {
		re := ru.ups.reg.Crashed(ru.fp, ru.alone, time.Now())
		event.Log(ru.ups.deps.Log, event.UpstreamCrashed, "upstream", ru.upstream, "fingerprint", uint64(ru.fp), "alone", ru.alone)
		ru.ups.tell(re)
	})
}

// answer watches how an answer ends.
type answer struct {
	core.Answer
	run *run
}

// Next implements [core.Answer].
func (an *answer) Next() ([]byte, error) {
	data, err := an.Answer.Next()
	switch {
	case errors.Is(err, io.EOF):
		an.run.end(func() { an.run.ups.reg.Cleared(an.run.fp) })
	case err != nil:
		an.run.failed(err)
	}
	return data, err
}

// Close implements [core.Answer].
func (an *answer) Close() {
	an.Answer.Close()
	an.run.end(nil)
}
