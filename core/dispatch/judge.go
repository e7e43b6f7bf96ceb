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

// judge has answers rated and keeps what follows from the ratings: the
// cascades' learner and the guard of roll-outs.
type judge struct {
	deps    core.Deps
	rater   core.Rater
	learner *cascade.Learner
	health  *cascade.Health
	guard   *rollout.Guard
	// waited and aside bound the ratings under way, of answers that a caller
	// waits for and of others. Each has its own places: ratings that nobody
	// waits for must not take those that somebody does.
	waited, aside chan struct{}
}

const (
	// rateLimit bounds the wait of a caller for a rating. Beyond it the
	// declared quality counts. Raters answer in some tens of milliseconds; a
	// cascade that waited much longer would lose what its cheap stage won.
	rateLimit = 300 * time.Millisecond
	// lateLimit bounds a rating that nobody waits for any more. It still
	// teaches; but a rater that is stuck must not hold its places for good.
	lateLimit = 10 * time.Second
	// maxWaited bounds the ratings that callers wait for: about what one entry
	// has in flight at its limit. maxAside bounds the others, and maxCopied
	// the copy of each answer: together 16 MiB. What has no place goes
	// unrated, which makes the learner and the guard slower, never wrong.
	maxWaited = 1024
	maxAside  = 64
	maxCopied = 256 << 10
)

func newJudge(deps core.Deps, ra core.Rater) *judge {
	return &judge{
		deps: deps, rater: ra, learner: cascade.NewLearner(), health: &cascade.Health{}, guard: rollout.New(),
		waited: make(chan struct{}, maxWaited), aside: make(chan struct{}, maxAside),
	}
}

// specimen is an answer to be rated.
type specimen struct {
	target         core.ModelVersion
	prompt, answer []byte
	// learn takes the rating, also a late one. It may be nil.
	learn func(core.Quality)
}

// rate asks for a rating in a goroutine of its own and hands it on. It returns
// nil when the places are taken.
func (jd *judge) rate(ctx context.Context, places chan struct{}, sp specimen) <-chan core.Quality {
	select {
	case places <- struct{}{}:
	default:
		meter.RatingsSkipped.Inc(jd.deps.Metrics)
		return nil
	}
	came := make(chan core.Quality, 1)
	go func() {
		defer func() { <-places }()
		defer close(came)
		rctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lateLimit)
		defer cancel()
		began := time.Now()
		got, err := jd.rater.Rate(rctx, sp.target, sp.prompt, sp.answer)
		if err != nil {
			return
		}
		now := time.Now()
		if now.Sub(began) <= rateLimit {
			jd.health.Note(now, true)
		}
		jd.guard.Observe(rollout.Outcome{Version: sp.target, Kind: rollout.Rating, Bad: got < rollout.GoodFrom, At: now})
		if sp.learn != nil {
			sp.learn(got)
		}
		came <- got
	}()
	return came
}

// await returns a rating that a caller waits for, or false when there is none
// in time.
func (jd *judge) await(ctx context.Context, sp specimen) (core.Quality, bool) {
	came := jd.rate(ctx, jd.waited, sp)
	if came == nil {
		return 0, false
	}
	limit := time.NewTimer(rateLimit)
	defer limit.Stop()
	select {
	case got, ok := <-came:
		if ok {
			return got, true
		}
	case <-limit.C:
	case <-ctx.Done():
		return 0, false
	}
	if jd.health.Note(time.Now(), false) {
		event.Log(jd.deps.Log, event.RatingsAway)
	}
	return 0, false
}
