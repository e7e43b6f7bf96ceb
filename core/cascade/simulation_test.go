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
		req := request{class: 2}
		switch u := rnd.Float64(); {
		case u < classes[0].share:
			req.class = 0
		case u < classes[0].share+classes[1].share:
			req.class = 1
		}
		rc, own := classes[req.class], rnd.Float64()
		for st := range 2 {
			hard := own
			if rnd.Float64() < 0.5 {
				hard = rnd.Float64()
			}
			size := math.Exp(0.2 * rnd.NormFloat64())
			req.good[st] = hard < rc.passRates[st]
			req.cost[st] = core.Millicents(float64(rc.cost[st]) * size)
			req.latency[st] = time.Duration(float64(rc.latency[st]) * size)
		}
		req.ratingDelay = time.Duration(30+rnd.IntN(60)) * time.Millisecond
		requests[i] = req
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
	for _, req := range requests {
		now = now.Add(time.Duration(rnd.ExpFloat64() * float64(50*time.Millisecond)))
		began := now
		lo.Schedule(began, func(at time.Time) {
			ex := &execution{le: le, lo: lo, re: re, req: req, rq: newRequest(req.class, target, price), began: began, rnd: rnd}
			ex.stage(at, le.Start(at, ex.rq, rnd.Float64()), cascade.First)
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
	req   request
	rq    *cascade.Request
	began time.Time
	cost  core.Millicents
	rnd   *rand.Rand
}

func (ex *execution) stage(at time.Time, de cascade.Decision, po cascade.Position) {
	ex.lo.Schedule(at.Add(ex.req.latency[de.Stage]), func(at time.Time) {
		ex.cost += ex.req.cost[de.Stage]
		ex.le.RecordRun(at, ex.rq, de.Stage, ex.req.cost[de.Stage], ex.req.latency[de.Stage])
		if !de.Final {
			ex.lo.Schedule(at.Add(ex.req.ratingDelay), func(at time.Time) { ex.rated(at, de, po) })
			return
		}
		ex.finish(at, de.Stage)
		expected := ex.le.Expected(at, ex.rq, de.Stage, po)
		ex.le.RecordResult(ex.rq, expected, at.Sub(ex.began))
		if ex.rnd.Float64() < sampleShare {
			ex.lo.Schedule(at.Add(ex.req.ratingDelay), func(at time.Time) {
				ex.le.RecordRating(at, ex.rq, de.Stage, po, ex.rating(de.Stage))
				ex.le.RecordSampledRating(ex.rq, expected, ex.rating(de.Stage), sampleShare)
			})
		}
	})
}

// sampleShare is the fraction of final answers that is rated.
const sampleShare = 0.3

func (ex *execution) rating(stage int) core.Quality {
	if ex.req.good[stage] {
		return 1
	}
	return 0
}

func (ex *execution) rated(at time.Time, de cascade.Decision, po cascade.Position) {
	got := ex.rating(de.Stage)
	ex.le.RecordRating(at, ex.rq, de.Stage, po, got)
	if next, more := ex.le.Next(at, ex.rq, de.Stage, got, at.Sub(ex.began)); more {
		ex.stage(at, next, cascade.AfterFailure)
		return
	}
	ex.le.RecordResult(ex.rq, got, at.Sub(ex.began))
	ex.finish(at, de.Stage)
}

func (ex *execution) finish(at time.Time, stage int) {
	ex.re.add(ex.cost, ex.req.good[stage], at.Sub(ex.began))
}
