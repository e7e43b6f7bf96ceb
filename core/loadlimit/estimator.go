package loadlimit

import (
	"math"
	"time"

	"skylarkstand/core"
)

// Levels is the number of levels of load that are distinguished: of an upstream with more slots, a level
// is an eighth of them; with fewer, one slot.
const Levels = 8

// Count counts the answers that were made at a level, and the failures among them. Older ones count less
// and less.
type Count struct {
	Answers  float64 `json:"answers"`
	Failures float64 `json:"failures"`
}

func (co *Count) add(other Count) {
	co.Answers += other.Answers
	co.Failures += other.Failures
}

// rate is the share of failures.
func (co Count) rate() float64 {
	if co.Answers == 0 {
		return 0
	}
	return co.Failures / co.Answers
}

// Counts holds the counts of the levels, beginning with the lowest.
type Counts [Levels]Count

// Limit is the highest level at which a version's upstreams do not fail more often than below; 0 is no
// limit.
type Limit int

// Max returns the number of requests that an upstream with the given slots may have at a time under the
// limit, or 0 if there is none.
func (li Limit) Max(slots int) int {
	if li <= 0 || slots <= 0 {
		return 0
	}
	return max(int(li)*slots/levelsOf(slots), 1)
}

// Share is the limit for one of several entries that send requests to the same upstreams.
type Share struct {
	Limit Limit
	// Entries is the number of entries, or 0 for a version that is not watched.
	Entries int
}

// Watched reports whether the version's failures under load are being counted.
func (sh Share) Watched() bool { return sh.Entries > 0 }

func levelsOf(slots int) int { return min(slots, Levels) }

// levelOf returns the level of a load, from 1.
func levelOf(lo core.Load) int {
	requests, levels := float64(lo.Running)+float64(lo.Queued), levelsOf(lo.Slots)
	share := min(max(requests/float64(lo.Slots), 0), 1)
	return max(int(math.Ceil(share*float64(levels))), 1)
}

// Estimator estimates the limit of a version. The zero value has seen nothing.
type Estimator struct {
	own Counts
	// siblings is the sum of the other entries' counts, as of the last merge.
	siblings Counts
	// countedAt is when the own counts were last reduced for their age.
	countedAt time.Time
	limit     Limit
}

const (
	// halfLife is the age at which an answer counts half. The failures of an incident that has ended
	// would otherwise count against the load that came with it.
	halfLife = 5 * time.Second
	// minFailures and minAnswers are the least failures above a limit and the least answers below it.
	minFailures = 4
	minAnswers  = 10
	// minDifference is the least difference of the rates of failures above and below a limit.
	minDifference = 0.15
	// threshold is the log-likelihood ratio of two different rates to a common one from which on a limit
	// applies: at equal rates, 600 answers reach it by chance about once in 100 times.
	threshold = 6.0
	// suspectFailures is the number of failures above the lowest level from which on the counts of the
	// other entries are of interest.
	suspectFailures = 1.5
)

// Observe counts an answer that was made under a load, and reports whether that set or lowered the limit.
func (es *Estimator) Observe(now time.Time, lo core.Load, failed bool) bool {
	if lo.Slots <= 0 {
		return false
	}
	es.age(now)
	co := &es.own[levelOf(lo)-1]
	co.Answers++
	if !failed {
		return false
	}
	co.Failures++
	return es.update()
}

// Merge replaces the counts of the other entries, and reports whether that set or lowered the limit.
func (es *Estimator) Merge(now time.Time, others []Counts) bool {
	es.age(now)
	es.siblings = Counts{}
	for i := range others {
		es.siblings.add(&others[i])
	}
	return es.update()
}

// Adopt applies the limit that another entry has found, and reports whether that set or lowered the limit.
func (es *Estimator) Adopt(li Limit) bool {
	if li <= 0 || li > Levels || es.limit > 0 && li >= es.limit {
		return false
	}
	es.limit = li
	return true
}

// Counts returns this entry's own counts.
func (es *Estimator) Counts(now time.Time) Counts {
	es.age(now)
	return es.own
}

// Limit returns the limit.
func (es *Estimator) Limit() Limit { return es.limit }

// Suspects reports whether this entry has seen enough failures under load to ask the others for theirs.
func (es *Estimator) Suspects(now time.Time) bool {
	es.age(now)
	failures := 0.0
	for _, co := range es.own[1:] {
		failures += co.Failures
	}
	return failures >= suspectFailures
}

// Total returns the counts of all entries.
func (es *Estimator) Total() Counts {
	total := es.own
	total.add(&es.siblings)
	return total
}

func (cs *Counts) add(other *Counts) {
	for i := range cs {
		cs[i].add(other[i])
	}
}

// age reduces the own counts for the time since the last call.
func (es *Estimator) age(now time.Time) {
	if es.countedAt.IsZero() {
		es.countedAt = now
	}
	weight := math.Exp2(-max(now.Sub(es.countedAt), 0).Seconds() / halfLife.Seconds())
	es.countedAt = now
	for i := range es.own {
		es.own[i].Answers *= weight
		es.own[i].Failures *= weight
	}
}

// update lowers the limit to the level that explains the failures best. A limit is never raised: under
// it, hardly any answers are made above it.
func (es *Estimator) update() bool {
	counts := es.Total()
	allowed := Limit(Levels)
	if es.limit > 0 {
		allowed = es.limit // What fails above the limit already has its explanation.
	}
	best, evidence := Limit(0), threshold
	for li := Limit(1); li < allowed; li++ {
		if ev := evidenceFor(counts[:li], counts[li:allowed]); ev >= evidence {
			best, evidence = li, ev
		}
	}
	if best == 0 {
		return false
	}
	es.limit = best
	return true
}

// evidenceFor returns the log-likelihood ratio between different rates of failures at the lower and the
// higher levels, and a common one. It is 0 if there are too few answers, or the rates differ too little.
func evidenceFor(lower, higher []Count) float64 {
	below, above := sum(lower), sum(higher)
	if above.Failures < minFailures || below.Answers < minAnswers || above.rate() < below.rate()+minDifference {
		return 0
	}
	all := below
	all.add(above)
	return below.logLikelihood(below.rate()) + above.logLikelihood(above.rate()) - all.logLikelihood(all.rate())
}

func sum(counts []Count) Count {
	var out Count
	for _, co := range counts {
		out.add(co)
	}
	return out
}

// logLikelihood returns the log-likelihood of the counts under a rate of failures.
func (co Count) logLikelihood(rate float64) float64 {
	sum := 0.0
	if co.Failures > 0 {
		sum += co.Failures * math.Log(rate)
	}
	if good := co.Answers - co.Failures; good > 0 {
		sum += good * math.Log(1-rate)
	}
	return sum
}
