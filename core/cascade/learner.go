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
func (le *Learner) Start(now time.Time, qu *Request, draw float64) Decision {
	le.mu.Lock()
	defer le.mu.Unlock()
	ods, pr := le.expectations(now, qu)
	start := pr.start(ods)
	if draw < exploreShare {
		start = le.explore(now, qu, start)
	}
	return Decision{Stage: start, Final: pr.final(ods, start, 0)}
}

// explore returns the cheapest stage before start that has few recent ratings, or
// start if there is none.
func (le *Learner) explore(now time.Time, qu *Request, start int) int {
	for i := range start {
		es := &le.stage(now, qu, i).passRates[First]
		es.decay(now)
		if es.weight < exploreMaxWeight {
			return i
		}
	}
	return start
}

// Next decides whether a request escalates after the answer of a stage was rated,
// and to which stage. Waited is the latency of the request so far.
func (le *Learner) Next(now time.Time, qu *Request, stage int, rating core.Quality, waited time.Duration) (Decision, bool) {
	le.mu.Lock()
	defer le.mu.Unlock()
	ods, pr := le.expectations(now, qu)
	next, gain := pr.next(ods, stage, waited.Seconds())
	if next == noStage || gain <= pr.answerValue*float64(rating) {
		return Decision{}, false
	}
	return Decision{Stage: next, Final: pr.final(ods, next, waited.Seconds())}, true
}

// Expected returns the expected quality of a stage's answer.
func (le *Learner) Expected(now time.Time, qu *Request, stage int, pl Position) core.Quality {
	le.mu.Lock()
	defer le.mu.Unlock()
	return core.Quality(le.passRate(now, qu, stage, pl))
}

// RecordRating records a rating of a stage's answer, which may arrive after the request has
// ended.
func (le *Learner) RecordRating(now time.Time, qu *Request, stage int, pl Position, rating core.Quality) {
	le.mu.Lock()
	defer le.mu.Unlock()
	le.stage(now, qu, stage).passRates[pl].add(now, float64(rating))
}

// RecordRun records the cost and the latency of a stage's answer.
func (le *Learner) RecordRun(now time.Time, qu *Request, stage int, cost core.Millicents, took time.Duration) {
	le.mu.Lock()
	defer le.mu.Unlock()
	ce := le.stage(now, qu, stage)
	ce.cost.add(now, float64(cost))
	ce.latency.add(now, took.Seconds())
	ce.latencies.add(took.Seconds())
}

// RecordResult records the quality of the answer that the caller got, either its rating or
// its expected quality, and the latency of the request.
func (le *Learner) RecordResult(qu *Request, quality core.Quality, waited time.Duration) {
	le.mu.Lock()
	defer le.mu.Unlock()
	le.deficit(qu).add(float64(qu.Target-quality), waited)
}

// RecordSampledRating records a rating of an answer whose expected quality was passed to
// RecordResult. Share is the fraction of such answers that is rated.
func (le *Learner) RecordSampledRating(qu *Request, expected, rating core.Quality, share float64) {
	le.mu.Lock()
	defer le.mu.Unlock()
	le.deficit(qu).correct(float64(expected), float64(rating), share)
}

// expectations returns what is expected of each stage for a request, and the current
// prices.
func (le *Learner) expectations(now time.Time, qu *Request) ([]expectation, pricing) {
	ods := make([]expectation, len(qu.Stages))
	for i, st := range qu.Stages {
		ce := le.stage(now, qu, i)
		od := expectation{
			passFirst: le.passRate(now, qu, i, First), passAfter: le.passRate(now, qu, i, AfterFailure),
			cost:        ce.cost.value(float64(st.Cost), costPriorWeight),
			meanLatency: ce.latency.value(assumedLatency.Seconds(), costPriorWeight),
			latencies:   ce.latencies.values(),
		}
		if len(od.latencies) == 0 {
			od.latencies = assumedLatencies
		}
		ods[i] = od
	}
	de, last := le.deficit(qu), &ods[len(ods)-1]
	pr := pricing{secondPrice: float64(qu.LatencyPrice), tailLatency: de.tailLatency}
	pr.answerValue = de.answerValue(now, last.cost+pr.latencyPrice(last, 0))
	return ods, pr
}

func (le *Learner) passRate(now time.Time, qu *Request, stage int, pl Position) float64 {
	es := &le.stage(now, qu, stage).passRates[pl]
	es.decay(now)
	priorWeight := float64(firstPriorWeight)
	if pl == AfterFailure {
		priorWeight = afterPriorWeight
	}
	return es.value(float64(qu.Stages[stage].DeclaredQuality), priorWeight)
}

func (le *Learner) deficit(qu *Request) *deficit {
	key := deficitKey{qu.Workspace, qu.Cascade}
	de := le.deficits[key]
	if de == nil {
		de = newDeficit()
		le.deficits[key] = de
	}
	return de
}

func (le *Learner) stage(now time.Time, qu *Request, stage int) *stageStats {
	key := stageKey{qu.Workspace, qu.Cascade, qu.Class, qu.Stages[stage].Target}
	ce := le.stages[key]
	if ce == nil {
		if len(le.stages) >= maxStages {
			le.evict(now)
		}
		ce = &stageStats{}
		le.stages[key] = ce
	}
	ce.lastUsed = now
	return ce
}

// evict deletes the stages that were not used for 8 half-lives, and if that is not
// enough, arbitrary ones. A deleted stage starts again from its declared values.
func (le *Learner) evict(now time.Time) {
	for key, ce := range le.stages {
		if now.Sub(ce.lastUsed) > 8*halfLife {
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
