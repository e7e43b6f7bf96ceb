package rollout

import (
	"context"
	"errors"
	"io"
	"time"

	"skylarkstand/core"
)

// Watch returns upstreams whose attempts are told to a guard. An attempt that
// is tried again elsewhere succeeds for its caller; seen from the caller, a
// version whose upstreams fail every other attempt would look well.
func Watch(ups core.Upstreams, gu *Guard) core.Upstreams { return &watched{ups, gu} }

type watched struct {
	core.Upstreams
	gu *Guard
}

// Dispatch implements [core.Upstreams].
func (wa *watched) Dispatch(ctx context.Context, id core.UpstreamID, at *core.Attempt) (core.Answer, error) {
	ans, err := wa.Upstreams.Dispatch(ctx, id, at)
	if at.Target.Model == "" {
		return ans, err
	}
	if err != nil {
		wa.end(ctx, id, at.Target, err)
		return nil, err
	}
	return &watchedAnswer{Answer: ans, wa: wa, ctx: ctx, id: id, mv: at.Target}, nil
}

// end tells how an attempt ended. What was refused before it ran says nothing
// about the version, nor does an end that the caller brought about.
func (wa *watched) end(ctx context.Context, id core.UpstreamID, mv core.ModelVersion, err error) {
	var fl *core.Failure
	failed, lost := false, false
	if err != nil {
		if ctx.Err() != nil {
			return
		}
		if errors.As(err, &fl) {
			if fl.Ran == core.NotRun {
				return
			}
			failed, lost = fl.Code == core.CodeUpstream, fl.Code == core.CodeOutcomeLost || fl.Code == core.CodeCrashed
		} else {
			lost = true
		}
	}
	now := time.Now()
	wa.gu.Observe(Outcome{Version: mv, Kind: Error, Bad: failed, At: now, Upstream: id})
	wa.gu.Observe(Outcome{Version: mv, Kind: Crash, Bad: lost, At: now, Upstream: id})
}

type watchedAnswer struct {
	core.Answer
	wa   *watched
	ctx  context.Context
	id   core.UpstreamID
	mv   core.ModelVersion
	told bool
}

// Next implements [core.Answer].
func (an *watchedAnswer) Next() ([]byte, error) {
	data, err := an.Answer.Next()
	if err != nil && !an.told {
		an.told = true
		if errors.Is(err, io.EOF) {
			an.wa.end(an.ctx, an.id, an.mv, nil)
		} else {
			an.wa.end(an.ctx, an.id, an.mv, err)
		}
	}
	return data, err
}
