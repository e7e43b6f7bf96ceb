package cascade

import (
	"sync"
	"time"

	"skylarkstand/core"
)

// Place says whether a stage was the first of its request. A stage that runs
// after another failed gets harder requests and passes less often.
type Place int

// The two places of a stage.
const (
	First Place = iota
	After
)

// assumedWaits is in place of the waits of a stage that was never run.
var assumedWaits = []float64{assumedLatency.Seconds()}

const (
	// firstStrength and afterStrength are the ratings that the declared
	// quality counts for. After a failure it says less, since it was declared
	// for all requests.
	firstStrength = 20
	afterStrength = 5
	// priceStrength is the same for declared prices and the assumed latency.
	priceStrength = 1
	// assumedLatency stands in for a stage that was never run. It is the same
	// for all stages, so that it favours none.
	assumedLatency = time.Second
	// exploreShare bounds the requests that begin with a stage which is not
	// the best by what is known, so that a cheap stage that got better is
	// found again. They still go on when the answer is rated badly: what they
	// put at risk is the price and the wait of one cheap stage.
	exploreShare = 0.02
	// exploreBelow is the weight of ratings below which a stage is explored.
	exploreBelow = 30
	// maxCells bounds the memory. The configuration bounds the workspaces and
	// cascades; versions come and go, and a process may run for months.
	maxCells = 1 << 14
)

// Decision is what to do with a request.
type Decision struct {
	// Stage is the index of the stage to run.
	Stage int
	// Final says that nothing would be run after it, whatever its rating: the
	// answer can be streamed to the caller at once.
	Final bool
}

// Learner decides for the cascades of all workspaces by what it has seen. It
// is safe for concurrent use.
type Learner struct {
	mu    sync.Mutex
	cells map[cellKey]*cell
	debts map[debtKey]*debt
}

type cellKey struct {
	workspace core.WorkspaceID
	cascade   core.CascadeID
	class     Class
	target    core.ModelVersion
}

type debtKey struct {
	workspace core.WorkspaceID
	cascade   core.CascadeID
}

// cell is what is known of one stage for one class of requests.
type cell struct {
	passes  [2]estimate
	cost    estimate
	latency estimate
	waits   recent
	used    time.Time
}

// NewLearner returns a learner that has seen nothing.
func NewLearner() *Learner {
	return &Learner{cells: map[cellKey]*cell{}, debts: map[debtKey]*debt{}}
}

// Start decides with which stage a request begins. The draw, from 0 to 1, says
// whether it explores.
func (le *Learner) Start(now time.Time, qu *Question, draw float64) Decision {
	le.mu.Lock()
	defer le.mu.Unlock()
	ods, pr := le.outlook(now, qu)
	start := pr.start(ods)
	if draw < exploreShare {
		start = le.explore(now, qu, start)
	}
	return Decision{Stage: start, Final: pr.final(ods, start, 0)}
}

// explore returns a cheaper stage that is little known, if there is one.
func (le *Learner) explore(now time.Time, qu *Question, start int) int {
	for i := range start {
		es := &le.cell(now, qu, i).passes[First]
		es.fade(now)
		if es.weight < exploreBelow {
			return i
		}
	}
	return start
}

// Next decides whether a request that has waited for some time goes on after a
// stage whose answer was rated, and with which stage.
func (le *Learner) Next(now time.Time, qu *Question, stage int, rating core.Quality, waited time.Duration) (Decision, bool) {
	le.mu.Lock()
	defer le.mu.Unlock()
	ods, pr := le.outlook(now, qu)
	next, gain := pr.next(ods, stage, waited.Seconds())
	if next == none || gain <= pr.worth*float64(rating) {
		return Decision{}, false
	}
	return Decision{Stage: next, Final: pr.final(ods, next, waited.Seconds())}, true
}

// Expected returns the quality that is expected of a stage's answer.
func (le *Learner) Expected(now time.Time, qu *Question, stage int, pl Place) core.Quality {
	le.mu.Lock()
	defer le.mu.Unlock()
	return core.Quality(le.pass(now, qu, stage, pl))
}

// Rated notes a rating of a stage's answer, which may come late.
func (le *Learner) Rated(now time.Time, qu *Question, stage int, pl Place, rating core.Quality) {
	le.mu.Lock()
	defer le.mu.Unlock()
	le.cell(now, qu, stage).passes[pl].add(now, float64(rating))
}

// Ran notes what a stage's answer has cost and how long it took.
func (le *Learner) Ran(now time.Time, qu *Question, stage int, cost core.Millicents, took time.Duration) {
	le.mu.Lock()
	defer le.mu.Unlock()
	ce := le.cell(now, qu, stage)
	ce.cost.add(now, float64(cost))
	ce.latency.add(now, took.Seconds())
	ce.waits.add(took.Seconds())
}

// Done notes the quality of the answer that the caller got, which is its
// rating or what was expected of it, and how long the caller waited.
func (le *Learner) Done(qu *Question, quality core.Quality, waited time.Duration) {
	le.mu.Lock()
	defer le.mu.Unlock()
	le.debt(qu).add(float64(qu.Target-quality), waited)
}

// Sampled notes a rating of an answer whose expected quality was given to Done.
// The share is of such answers that are rated.
func (le *Learner) Sampled(qu *Question, expected, rating core.Quality, share float64) {
	le.mu.Lock()
	defer le.mu.Unlock()
	le.debt(qu).correct(float64(expected), float64(rating), share)
}

// outlook gathers what is known for a request.
func (le *Learner) outlook(now time.Time, qu *Question) ([]odds, pricing) {
	ods := make([]odds, len(qu.Stages))
	for i, st := range qu.Stages {
		ce := le.cell(now, qu, i)
		od := odds{
			first: le.pass(now, qu, i, First), after: le.pass(now, qu, i, After),
			cost:  ce.cost.value(float64(st.Cost), priceStrength),
			mean:  ce.latency.value(assumedLatency.Seconds(), priceStrength),
			waits: ce.waits.all(),
		}
		if len(od.waits) == 0 {
			od.waits = assumedWaits
		}
		ods[i] = od
	}
	de, last := le.debt(qu), &ods[len(ods)-1]
	pr := pricing{second: float64(qu.LatencyPrice), late: de.late}
	pr.worth = de.worth(now, last.cost+pr.waiting(last, 0))
	return ods, pr
}

func (le *Learner) pass(now time.Time, qu *Question, stage int, pl Place) float64 {
	es := &le.cell(now, qu, stage).passes[pl]
	es.fade(now)
	strength := float64(firstStrength)
	if pl == After {
		strength = afterStrength
	}
	return es.value(float64(qu.Stages[stage].Declared), strength)
}

func (le *Learner) debt(qu *Question) *debt {
	key := debtKey{qu.Workspace, qu.Cascade}
	de := le.debts[key]
	if de == nil {
		de = newDebt()
		le.debts[key] = de
	}
	return de
}

func (le *Learner) cell(now time.Time, qu *Question, stage int) *cell {
	key := cellKey{qu.Workspace, qu.Cascade, qu.Class, qu.Stages[stage].Target}
	ce := le.cells[key]
	if ce == nil {
		if len(le.cells) >= maxCells {
			le.evict(now)
		}
		ce = &cell{}
		le.cells[key] = ce
	}
	ce.used = now
	return ce
}

// evict forgets what has faded, and if nothing has, any one cell: a cell that
// was forgotten begins again with what is declared.
func (le *Learner) evict(now time.Time) {
	for key, ce := range le.cells {
		if now.Sub(ce.used) > 8*halfLife {
			delete(le.cells, key)
		}
	}
	for key := range le.cells {
		if len(le.cells) < maxCells {
			return
		}
		delete(le.cells, key)
	}
}
