package cascade

import (
	"sync"
	"time"

	"skylarkstand/core"
)

// Position is the position of a stage in a request's run. A stage that runs after
// another one failed gets harder requests and passes less often.
type Position int

// The positions of a stage: the first of its request, or after another one.
const (
	First Position = iota
	AfterFailure
)

// assumedLatencies is used for a stage without observed latencies.
var assumedLatencies = []float64{assumedLatency.Seconds()}

const (
	// firstPriorWeight and afterPriorWeight are the numbers of ratings that the
	// declared quality counts as. After another stage has failed it is less
	// predictive, since it was declared for all requests.
	firstPriorWeight = 20
	afterPriorWeight = 5
	// costPriorWeight is the number of observations that the declared cost and the
	// assumed latency count as.
	costPriorWeight = 1
	// assumedLatency is the latency assumed for a stage that was never run. It is
	// the same for all stages, so that it favours none.
	assumedLatency = time.Second
	// exploreShare is the greatest fraction of requests that start at a cheaper stage
	// than the best one by the estimates, to detect a cheap stage that has improved.
	// They still escalate if the answer is rated badly, so an exploration risks the
	// cost and latency of one cheap stage.
	exploreShare = 0.02
	// exploreMaxWeight is the weight of ratings below which a stage is explored.
	exploreMaxWeight = 30
	// maxStages bounds the number of stageStats. The configuration bounds the
	// workspaces and cascades, but versions change, and a process may run for months.
	maxStages = 1 << 14
)

// Decision is the next step of a request.
type Decision struct {
	// Stage is the index of the stage to run.
	Stage int
	// Final is set if no stage would be run after it, whatever its rating: its
	// answer can be streamed to the caller.
	Final bool
}

// Learner makes the decisions for the cascades of all workspaces, based on the runs
// and ratings recorded with it. It is safe for concurrent use.
type Learner struct {
	mu       sync.Mutex
	stages   map[stageKey]*stageStats
	deficits map[deficitKey]*deficit
}

type stageKey struct {
	workspace core.WorkspaceID
	cascade   core.CascadeID
	class     Class
	target    core.ModelVersion
}

type deficitKey struct {
	workspace core.WorkspaceID
	cascade   core.CascadeID
}

// stageStats holds the estimates of one stage for one class of requests.
type stageStats struct {
	passRates [2]estimate
	cost      estimate
	latency   estimate
	latencies recentValues
	lastUsed  time.Time
}

// NewLearner returns a learner without observations.
func NewLearner() *Learner {
	return &Learner{stages: map[stageKey]*stageStats{}, deficits: map[deficitKey]*deficit{}}
}

// Start decides at which stage a request starts. Draw is a random number from 0 to 1
// that decides whether the request explores.
func (le *Learner) Start(now time.Time, rq *Request, draw float64) Decision {
	le.mu.Lock()
	defer le.mu.Unlock()
	ods, pr := le.expectations(now, rq)
	start := pr.start(ods)
	if draw < exploreShare {
		start = le.explore(now, rq, start)
	}
	return Decision{Stage: start, Final: pr.final(ods, start, 0)}
}

// explore returns the cheapest stage before start that has few recent ratings, or
// start if there is none.
func (le *Learner) explore(now time.Time, rq *Request, start int) int {
	for i := range start {
		es := &le.stage(now, rq, i).passRates[First]
		es.decay(now)
		if es.weight < exploreMaxWeight {
			return i
		}
	}
	return start
}

// Next decides whether a request escalates after the answer of a stage was rated,
// and to which stage. Waited is the latency of the request so far.
func (le *Learner) Next(now time.Time, rq *Request, stage int, rating core.Quality, waited time.Duration) (Decision, bool) {
	le.mu.Lock()
	defer le.mu.Unlock()
	ods, pr := le.expectations(now, rq)
	next, gain := pr.next(ods, stage, waited.Seconds())
	if next == noStage || gain <= pr.answerValue*float64(rating) {
		return Decision{}, false
	}
	return Decision{Stage: next, Final: pr.final(ods, next, waited.Seconds())}, true
}

// Expected returns the expected quality of a stage's answer.
func (le *Learner) Expected(now time.Time, rq *Request, stage int, po Position) core.Quality {
	le.mu.Lock()
	defer le.mu.Unlock()
	return core.Quality(le.passRate(now, rq, stage, po))
}

// RecordRating records a rating of a stage's answer, which may arrive after the request has
// ended.
func (le *Learner) RecordRating(now time.Time, rq *Request, stage int, po Position, rating core.Quality) {
	le.mu.Lock()
	defer le.mu.Unlock()
	le.stage(now, rq, stage).passRates[po].add(now, float64(rating))
}

// RecordRun records the cost and the latency of a stage's answer.
func (le *Learner) RecordRun(now time.Time, rq *Request, stage int, cost core.Millicents, took time.Duration) {
	le.mu.Lock()
	defer le.mu.Unlock()
	ss := le.stage(now, rq, stage)
	ss.cost.add(now, float64(cost))
	ss.latency.add(now, took.Seconds())
	ss.latencies.add(took.Seconds())
}

// RecordResult records the quality of the answer that the caller got, either its rating or
// its expected quality, and the latency of the request.
func (le *Learner) RecordResult(rq *Request, quality core.Quality, waited time.Duration) {
	le.mu.Lock()
	defer le.mu.Unlock()
	le.deficit(rq).add(float64(rq.Target-quality), waited)
}

// RecordSampledRating records a rating of an answer whose expected quality was passed to
// RecordResult. Share is the fraction of such answers that is rated.
func (le *Learner) RecordSampledRating(rq *Request, expected, rating core.Quality, share float64) {
	le.mu.Lock()
	defer le.mu.Unlock()
	le.deficit(rq).correct(float64(expected), float64(rating), share)
}

// expectations returns what is expected of each stage for a request, and the current
// prices.
func (le *Learner) expectations(now time.Time, rq *Request) ([]expectation, pricing) {
	ods := make([]expectation, len(rq.Stages))
	for i, st := range rq.Stages {
		ss := le.stage(now, rq, i)
		exp := expectation{
			passFirst: le.passRate(now, rq, i, First), passAfter: le.passRate(now, rq, i, AfterFailure),
			cost:        ss.cost.value(float64(st.Cost), costPriorWeight),
			meanLatency: ss.latency.value(assumedLatency.Seconds(), costPriorWeight),
			latencies:   ss.latencies.values(),
		}
		if len(exp.latencies) == 0 {
			exp.latencies = assumedLatencies
		}
		ods[i] = exp
	}
	de, last := le.deficit(rq), &ods[len(ods)-1]
	pr := pricing{secondPrice: float64(rq.LatencyPrice), tailLatency: de.tailLatency}
	pr.answerValue = de.answerValue(now, last.cost+pr.latencyPrice(last, 0))
	return ods, pr
}

func (le *Learner) passRate(now time.Time, rq *Request, stage int, po Position) float64 {
	es := &le.stage(now, rq, stage).passRates[po]
	es.decay(now)
	priorWeight := float64(firstPriorWeight)
	if po == AfterFailure {
		priorWeight = afterPriorWeight
	}
	return es.value(float64(rq.Stages[stage].DeclaredQuality), priorWeight)
}

func (le *Learner) deficit(rq *Request) *deficit {
	key := deficitKey{rq.Workspace, rq.Cascade}
	de := le.deficits[key]
	if de == nil {
		de = newDeficit()
		le.deficits[key] = de
	}
	return de
}

func (le *Learner) stage(now time.Time, rq *Request, stage int) *stageStats {
	key := stageKey{rq.Workspace, rq.Cascade, rq.Class, rq.Stages[stage].Target}
	ss := le.stages[key]
	if ss == nil {
		if len(le.stages) >= maxStages {
			le.evict(now)
		}
		ss = &stageStats{}
		le.stages[key] = ss
	}
	ss.lastUsed = now
	return ss
}

// evict deletes the stages that were not used for 8 half-lives, and if that is not
// enough, arbitrary ones. A deleted stage starts again from its declared values.
func (le *Learner) evict(now time.Time) {
	for key, ss := range le.stages {
		if now.Sub(ss.lastUsed) > 8*halfLife {
			delete(le.stages, key)
		}
	}
	for key := range le.stages {
		if len(le.stages) < maxStages {
			return
		}
		delete(le.stages, key)
	}
}
