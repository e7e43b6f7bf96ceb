package dispatch

import (
	"context"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/cascade"
	"skylarkstand/core/event"
	"skylarkstand/core/meter"
	"skylarkstand/core/rollout"
)

// evaluator has answers rated and passes the ratings to the learner of the cascades and to the
// guard of roll-outs.
type evaluator struct {
	deps    core.Deps
	rater   core.Rater
	learner *cascade.Learner
	health  *cascade.RaterHealth
	guard   *rollout.Guard
	// foreground and background are semaphores that limit the ratings in flight: of answers that a
	// caller waits for, and of all others. They are separate so that background ratings cannot
	// take the slots of those that callers wait for.
	foreground, background chan struct{}
}

const (
	// ratingWait is how long a caller waits for a rating; after that the declared quality is used.
	// Ratings take some tens of milliseconds. A much longer wait would use up the time that the
	// cheap stage of a cascade saves.
	ratingWait = 300 * time.Millisecond
	// ratingTimeout limits a call for a rating that no caller waits for any more. A late rating
	// still improves the estimates, but a rating service that hangs must not hold its slot
	// forever.
	ratingTimeout = 10 * time.Second
	// maxForeground limits the ratings that callers wait for to about the number of requests that
	// an entry has in flight at its limit. maxBackground limits the others and maxCopyBytes the
	// copy of each answer, 16 MiB in total. Answers beyond these limits stay unrated, which makes
	// the learner and the guard slower but never incorrect.
	maxForeground = 1024
	maxBackground = 64
	maxCopyBytes  = 256 << 10
)

func newEvaluator(deps core.Deps, ra core.Rater) *evaluator {
	return &evaluator{
		deps: deps, rater: ra, learner: cascade.NewLearner(), health: &cascade.RaterHealth{}, guard: rollout.New(),
		foreground: make(chan struct{}, maxForeground), background: make(chan struct{}, maxBackground),
	}
}

// ratingJob is an answer to be rated.
type ratingJob struct {
	target         core.ModelVersion
	prompt, answer []byte
	// learn receives the rating, even a late one. It may be nil.
	learn func(core.Quality)
}

// rate requests a rating in a separate goroutine and returns a channel that receives it. It
// returns nil if the semaphore has no free slot.
func (ev *evaluator) rate(ctx context.Context, sem chan struct{}, rj ratingJob) <-chan core.Quality {
	select {
	case sem <- struct{}{}:
	default:
		meter.RatingsSkipped.Inc(ev.deps.Metrics)
		return nil
	}
	result := make(chan core.Quality, 1)
	go func() {
		defer func() { <-sem }()
		defer close(result)
		rctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ratingTimeout)
		defer cancel()
		began := time.Now()
		got, err := ev.rater.Rate(rctx, rj.target, rj.prompt, rj.answer)
		if err != nil {
			return
		}
		now := time.Now()
		if now.Sub(began) <= ratingWait {
			ev.health.Record(now, true)
		}
		ev.guard.Observe(rollout.Outcome{Version: rj.target, Kind: rollout.Rating, Bad: got < rollout.MinGoodRating, At: now})
		if rj.learn != nil {
			rj.learn(got)
		}
		result <- got
	}()
	return result
}

// await returns a rating that a caller waits for, or false if there is none within
// ratingWait.
func (ev *evaluator) await(ctx context.Context, rj ratingJob) (core.Quality, bool) {
	result := ev.rate(ctx, ev.foreground, rj)
	if result == nil {
		return 0, false
	}
	limit := time.NewTimer(ratingWait)
	defer limit.Stop()
	select {
	case got, ok := <-result:
		if ok {
			return got, true
		}
	case <-limit.C:
	case <-ctx.Done():
		return 0, false
	}
	if ev.health.Record(time.Now(), false) {
		event.Log(ev.deps.Log, event.RatingsAway)
	}
	return 0, false
}
