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

// kind is the truth about one class of requests: how often each stage's answer
// is good, what it costs and how long it takes at the median.
type kind struct {
	share  float64
	length int
	passes [2]float64
	cost   [2]core.Millicents
	took   [2]time.Duration
}

// shape is a mix of questions, replies and a few drafts such as the users
// describe: a cheap model does for most questions and for few drafts. Its
// prices and the mean quality of its stages are near the demonstration's. The
// cheap stage has the smaller pool, and is not twice as fast.
var shape = [...]kind{
	{0.70, 120, [2]float64{0.78, 0.97}, [2]core.Millicents{7, 100}, [2]time.Duration{600 * time.Millisecond, 1000 * time.Millisecond}},
	{0.25, 1200, [2]float64{0.63, 0.96}, [2]core.Millicents{12, 180}, [2]time.Duration{700 * time.Millisecond, 1250 * time.Millisecond}},
	{0.05, 9000, [2]float64{0.45, 0.93}, [2]core.Millicents{30, 450}, [2]time.Duration{900 * time.Millisecond, 1600 * time.Millisecond}},
}

// ask is one request with what each stage would make of it.
type ask struct {
	class int
	good  [2]bool
	cost  [2]core.Millicents
	took  [2]time.Duration
	rate  time.Duration
}

// draw makes requests. A hard one is hard for both stages: half of the chance
// is the request's own, half the stage's.
func draw(n int, seed uint64, shape []kind) []ask {
	rnd := rand.New(rand.NewPCG(seed, 5))
	asks := make([]ask, n)
	for i := range asks {
		as := ask{class: 2}
		switch u := rnd.Float64(); {
		case u < shape[0].share:
			as.class = 0
		case u < shape[0].share+shape[1].share:
			as.class = 1
		}
		ki, own := shape[as.class], rnd.Float64()
		for st := range 2 {
			hard := own
			if rnd.Float64() < 0.5 {
				hard = rnd.Float64()
			}
			size := math.Exp(0.2 * rnd.NormFloat64())
			as.good[st] = hard < ki.passes[st]
			as.cost[st] = core.Millicents(float64(ki.cost[st]) * size)
			as.took[st] = time.Duration(float64(ki.took[st]) * size)
		}
		as.rate = time.Duration(30+rnd.IntN(60)) * time.Millisecond
		asks[i] = as
	}
	return asks
}

// result is what callers got from a policy.
type result struct {
	cost, quality float64
	latencies     []time.Duration
}

func (re *result) add(cost core.Millicents, good bool, took time.Duration) {
	re.cost += float64(cost)
	if good {
		re.quality++
	}
	re.latencies = append(re.latencies, took)
}

func (re *result) mean() float64 { return re.quality / float64(len(re.latencies)) }

func (re *result) p95() time.Duration {
	slices.Sort(re.latencies)
	return re.latencies[len(re.latencies)*95/100]
}

func question(class int, target core.Quality, price core.Millicents) *cascade.Question {
	st := func(mo core.ModelID, qu core.Quality, cost core.Millicents) cascade.Stage {
		return cascade.Stage{Target: core.ModelVersion{Model: mo, Version: "v1"}, Declared: qu, Cost: cost}
	}
	return &cascade.Question{
		Workspace: "ws", Cascade: "quick", Class: cascade.ClassOf(shape[class].length), Target: target, LatencyPrice: price,
		Stages: []cascade.Stage{st("desk", 0.8, 20), st("drafter", 0.95, 250)},
	}
}

// learn runs requests, 20 a second, through a learner: the decisions of later
// requests are made before earlier ones have ended.
func learn(asks []ask, target core.Quality, price core.Millicents, seed uint64) *result {
	le, lo, re := cascade.NewLearner(), &eventqueue.Queue{}, &result{}
	rnd := rand.New(rand.NewPCG(seed, 6))
	now := time.Unix(1_000_000, 0)
	for _, as := range asks {
		now = now.Add(time.Duration(rnd.ExpFloat64() * float64(50*time.Millisecond)))
		began := now
		lo.At(began, func(at time.Time) {
			wk := &walk{le: le, lo: lo, re: re, as: as, qu: question(as.class, target, price), began: began, rnd: rnd}
			wk.stage(at, le.Start(at, wk.qu, rnd.Float64()), cascade.First)
		})
	}
	lo.Run()
	return re
}

// walk is one request on its way through the cascade.
type walk struct {
	le    *cascade.Learner
	lo    *eventqueue.Queue
	re    *result
	as    ask
	qu    *cascade.Question
	began time.Time
	paid  core.Millicents
	rnd   *rand.Rand
}

func (wk *walk) stage(at time.Time, de cascade.Decision, pl cascade.Place) {
	wk.lo.At(at.Add(wk.as.took[de.Stage]), func(at time.Time) {
		wk.paid += wk.as.cost[de.Stage]
		wk.le.Ran(at, wk.qu, de.Stage, wk.as.cost[de.Stage], wk.as.took[de.Stage])
		if !de.Final {
			wk.lo.At(at.Add(wk.as.rate), func(at time.Time) { wk.rated(at, de, pl) })
			return
		}
		wk.end(at, de.Stage)
		expected := wk.le.Expected(at, wk.qu, de.Stage, pl)
		wk.le.Done(wk.qu, expected, at.Sub(wk.began))
		if wk.rnd.Float64() < sampled {
			wk.lo.At(at.Add(wk.as.rate), func(at time.Time) {
				wk.le.Rated(at, wk.qu, de.Stage, pl, wk.rating(de.Stage))
				wk.le.Sampled(wk.qu, expected, wk.rating(de.Stage), sampled)
			})
		}
	})
}

// sampled is the share of the answers nothing depends on that are rated.
const sampled = 0.3

func (wk *walk) rating(stage int) core.Quality {
	if wk.as.good[stage] {
		return 1
	}
	return 0
}

func (wk *walk) rated(at time.Time, de cascade.Decision, pl cascade.Place) {
	got := wk.rating(de.Stage)
	wk.le.Rated(at, wk.qu, de.Stage, pl, got)
	if next, more := wk.le.Next(at, wk.qu, de.Stage, got, at.Sub(wk.began)); more {
		wk.stage(at, next, cascade.After)
		return
	}
	wk.le.Done(wk.qu, got, at.Sub(wk.began))
	wk.end(at, de.Stage)
}

func (wk *walk) end(at time.Time, stage int) {
	wk.re.add(wk.paid, wk.as.good[stage], at.Sub(wk.began))
}
