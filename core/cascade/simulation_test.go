package cascade_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/cascade"
	"skylarkstand/test/eventqueue"
)

// requestClass holds the true properties of one class of requests: its fraction, prompt
// length, and for each stage the pass rate, the cost and the median latency.
type requestClass struct {
	share     float64
	length    int
	passRates [2]float64
	cost      [2]core.Millicents
	latency   [2]time.Duration
}

// classes is the users' mix of questions, replies and a few drafts: a cheap model
// suffices for most questions and for few drafts. The prices and the mean quality of the
// stages are close to the demonstration's. The cheap stage has the smaller pool, and is
// less than twice as fast.
var classes = [...]requestClass{
	{0.70, 120, [2]float64{0.78, 0.97}, [2]core.Millicents{7, 100}, [2]time.Duration{600 * time.Millisecond, 1000 * time.Millisecond}},
	{0.25, 1200, [2]float64{0.63, 0.96}, [2]core.Millicents{12, 180}, [2]time.Duration{700 * time.Millisecond, 1250 * time.Millisecond}},
	{0.05, 9000, [2]float64{0.45, 0.93}, [2]core.Millicents{30, 450}, [2]time.Duration{900 * time.Millisecond, 1600 * time.Millisecond}},
}

// request is one request with the result that each stage would produce.
type request struct {
	class       int
	good        [2]bool
	cost        [2]core.Millicents
	latency     [2]time.Duration
	ratingDelay time.Duration
}

// generate returns random requests. The difficulty of a request correlates between the
// stages: each stage uses a shared random number with probability one half, and otherwise
// its own.
func generate(n int, seed uint64, classes []requestClass) []request {
	rnd := rand.New(rand.NewPCG(seed, 5))
	requests := make([]request, n)
	for i := range requests {
		as := request{class: 2}
		switch u := rnd.Float64(); {
		case u < classes[0].share:
			as.class = 0
		case u < classes[0].share+classes[1].share:
			as.class = 1
		}
		ki, own := classes[as.class], rnd.Float64()
		for st := range 2 {
			hard := own
			if rnd.Float64() < 0.5 {
				hard = rnd.Float64()
			}
			size := math.Exp(0.2 * rnd.NormFloat64())
			as.good[st] = hard < ki.passRates[st]
			as.cost[st] = core.Millicents(float64(ki.cost[st]) * size)
			as.latency[st] = time.Duration(float64(ki.latency[st]) * size)
		}
		as.ratingDelay = time.Duration(30+rnd.IntN(60)) * time.Millisecond
		requests[i] = as
	}
	return requests
}

// result is the outcome of a policy for the callers.
type result struct {
	cost, quality float64
	latencies     []time.Duration
}

func (re *result) add(cost core.Millicents, good bool, latency time.Duration) {
	re.cost += float64(cost)
	if good {
		re.quality++
	}
	re.latencies = append(re.latencies, latency)
}

func (re *result) mean() float64 { return re.quality / float64(len(re.latencies)) }

func (re *result) p95() time.Duration {
	slices.Sort(re.latencies)
	return re.latencies[len(re.latencies)*95/100]
}

func newRequest(class int, target core.Quality, price core.Millicents) *cascade.Request {
	st := func(mo core.ModelID, qu core.Quality, cost core.Millicents) cascade.Stage {
		return cascade.Stage{Target: core.ModelVersion{Model: mo, Version: "v1"}, DeclaredQuality: qu, Cost: cost}
	}
	return &cascade.Request{
		Workspace: "ws", Cascade: "quick", Class: cascade.ClassOf(classes[class].length), Target: target, LatencyPrice: price,
		Stages: []cascade.Stage{st("desk", 0.8, 20), st("drafter", 0.95, 250)},
	}
}

// simulate runs requests at 20 per second through a learner, so that decisions for later
// requests are made before earlier ones have ended.
func simulate(requests []request, target core.Quality, price core.Millicents, seed uint64) *result {
	le, lo, re := cascade.NewLearner(), &eventqueue.Queue{}, &result{}
	rnd := rand.New(rand.NewPCG(seed, 6))
	now := time.Unix(1_000_000, 0)
	for _, as := range requests {
		now = now.Add(time.Duration(rnd.ExpFloat64() * float64(50*time.Millisecond)))
		began := now
		lo.Schedule(began, func(at time.Time) {
			wk := &execution{le: le, lo: lo, re: re, as: as, qu: newRequest(as.class, target, price), began: began, rnd: rnd}
			wk.stage(at, le.Start(at, wk.qu, rnd.Float64()), cascade.First)
		})
	}
	lo.Run()
	return re
}

// execution is one request in progress through the cascade.
type execution struct {
	le    *cascade.Learner
	lo    *eventqueue.Queue
	re    *result
	as    request
	qu    *cascade.Request
	began time.Time
	cost  core.Millicents
	rnd   *rand.Rand
}

func (wk *execution) stage(at time.Time, de cascade.Decision, pl cascade.Position) {
	wk.lo.Schedule(at.Add(wk.as.latency[de.Stage]), func(at time.Time) {
		wk.cost += wk.as.cost[de.Stage]
		wk.le.RecordRun(at, wk.qu, de.Stage, wk.as.cost[de.Stage], wk.as.latency[de.Stage])
		if !de.Final {
			wk.lo.Schedule(at.Add(wk.as.ratingDelay), func(at time.Time) { wk.rated(at, de, pl) })
			return
		}
		wk.finish(at, de.Stage)
		expected := wk.le.Expected(at, wk.qu, de.Stage, pl)
		wk.le.RecordResult(wk.qu, expected, at.Sub(wk.began))
		if wk.rnd.Float64() < sampleShare {
			wk.lo.Schedule(at.Add(wk.as.ratingDelay), func(at time.Time) {
				wk.le.RecordRating(at, wk.qu, de.Stage, pl, wk.rating(de.Stage))
				wk.le.RecordSampledRating(wk.qu, expected, wk.rating(de.Stage), sampleShare)
			})
		}
	})
}

// sampleShare is the fraction of final answers that is rated.
const sampleShare = 0.3

func (wk *execution) rating(stage int) core.Quality {
	if wk.as.good[stage] {
		return 1
	}
	return 0
}

func (wk *execution) rated(at time.Time, de cascade.Decision, pl cascade.Position) {
	got := wk.rating(de.Stage)
	wk.le.RecordRating(at, wk.qu, de.Stage, pl, got)
	if next, more := wk.le.Next(at, wk.qu, de.Stage, got, at.Sub(wk.began)); more {
		wk.stage(at, next, cascade.AfterFailure)
		return
	}
	wk.le.RecordResult(wk.qu, got, at.Sub(wk.began))
	wk.finish(at, de.Stage)
}

func (wk *execution) finish(at time.Time, stage int) {
	wk.re.add(wk.cost, wk.as.good[stage], at.Sub(wk.began))
}
