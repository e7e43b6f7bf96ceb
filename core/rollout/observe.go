package rollout

import (
	"context"
	"errors"
	"io"
	"time"

	"skylarkstand/core"
)

// ObserveAttempts wraps upstreams so that a guard observes their attempts. An attempt that is
// retried on another upstream succeeds for its caller; observed at the caller, a version whose
// upstreams fail every other attempt would look healthy.
func ObserveAttempts(ups core.Upstreams, gu *Guard) core.Upstreams {
	return &observedUpstreams{ups, gu}
}

type observedUpstreams struct {
	core.Upstreams
	gu *Guard
}

// Dispatch implements [core.Upstreams].
func (ou *observedUpstreams) Dispatch(ctx context.Context, id core.UpstreamID, at *core.Attempt) (core.Answer, error) {
	ans, err := ou.Upstreams.Dispatch(ctx, id, at)
	if at.Target.Model == "" {
		return ans, err
	}
	if err != nil {
		ou.recordEnd(ctx, id, at.Target, err)
		return nil, err
	}
	return &observedAnswer{Answer: ans, ups: ou, ctx: ctx, id: id, mv: at.Target}, nil
}

// recordEnd records how an attempt ended. A refusal before it ran is no evidence about the version,
// nor is an end caused by the caller.
func (ou *observedUpstreams) recordEnd(ctx context.Context, id core.UpstreamID, mv core.ModelVersion, err error) {
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
	ou.gu.Observe(Outcome{Version: mv, Kind: Error, Bad: failed, At: now, Upstream: id})
	ou.gu.Observe(Outcome{Version: mv, Kind: Crash, Bad: lost, At: now, Upstream: id})
}

type observedAnswer struct {
	core.Answer
	ups      *observedUpstreams
	ctx      context.Context
	id       core.UpstreamID
	mv       core.ModelVersion
	recorded bool
}

// Next implements [core.Answer].
func (an *observedAnswer) Next() ([]byte, error) {
	data, err := an.Answer.Next()
	if err != nil && !an.recorded {
		an.recorded = true
		if errors.Is(err, io.EOF) {
			an.ups.recordEnd(an.ctx, an.id, an.mv, nil)
		} else {
			an.ups.recordEnd(an.ctx, an.id, an.mv, err)
		}
	}
	return data, err
}
