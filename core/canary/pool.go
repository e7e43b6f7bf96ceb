package canary

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/loadlimit"
	"skylarkstand/core/mechanism"
)

// Report is an entry's evidence on a roll-out in progress, as sent to its siblings.
type Report struct {
	Service core.ServiceID `json:"service"`
	// From is the reporting process; empty if it has no name.
	From core.ProcessID `json:"from,omitempty"`
	// Order is the revision of the order.
	Order core.Revision `json:"order"`
	// Elapsed is the time since the order was received, in milliseconds.
	Elapsed int64 `json:"elapsed-ms"`
	// Requests counts the entry's requests for the service, and Sent those to the new version.
	Requests int `json:"requests"`
	Sent     int `json:"sent"`
	// Rate is the present rate of the entry's requests, a second.
	Rate float64 `json:"rate"`
	// Pools holds the evidence by route and model, and over all of them under [allPools].
	Pools map[string]Tallies `json:"pools"`
	// OldFailures are the old version's rates of failures where they are high, by route and model.
	OldFailures map[string]float64 `json:"old-failures,omitempty"`
	// OldAnswers counts the old version's answers since the order, by route and model.
	OldAnswers map[string]int `json:"old-answers,omitempty"`
	// OldSessions are the sessions within the first step's share that continue on the old version
	// at the reporting entry.
	OldSessions []core.SessionID `json:"settled,omitempty"`
	// Answered counts the attempts of the early steps with an outcome, Overdue those that should have
	// had one by now.
	Answered int `json:"answered,omitempty"`
	Overdue  int `json:"overdue,omitempty"`
	// Tested counts the outcomes that tell how fast the version is.
	Tested int `json:"tested,omitempty"`
	// Loads counts the answers of the new version by the load of their upstreams.
	Loads *loadlimit.Counts `json:"loads,omitempty"`
	// LoadLimit is the limit that the entry has found for the load of the new version's upstreams.
	LoadLimit loadlimit.Limit `json:"load-limit,omitempty"`
}

const (
	// maxCount bounds the counts of a report, and maxElapsed its time.
	maxCount   = 1 << 40
	maxElapsed = 365 * 24 * time.Hour
	// maxPools bounds the routes and models of a report, and maxOldSessions its sessions.
	maxPools       = 1 << 12
	maxOldSessions = 1 << 16
	// maxEvidence bounds what one answer adds to a sum: rates are from minBaseline to maxIncrease.
	maxEvidence = 5
	// maxReporters bounds the processes whose reports are kept.
	maxReporters = 1 << 12
)

// plausible reports whether the numbers of a report are within their ranges.
func (re *Report) plausible() bool {
	within := func(counts ...int) bool {
		return !slices.ContainsFunc(counts, func(n int) bool { return n < 0 || n > maxCount })
	}
	ok := within(re.Requests, re.Sent, re.Answered, re.Overdue, re.Tested) && re.Rate >= 0 && re.Rate <= maxCount &&
		re.Elapsed >= 0 && re.Elapsed <= maxElapsed.Milliseconds() && len(re.Pools) <= maxPools && len(re.OldSessions) <= maxOldSessions
	for _, ta := range re.Pools {
		for _, te := range ta.tests() {
			ok = ok && te.tally.plausible()
		}
	}
	for _, rate := range re.OldFailures {
		ok = ok && rate >= 0 && rate <= 1
	}
	for _, n := range re.OldAnswers {
		ok = ok && within(n)
	}
	return ok
}

// plausible reports whether the evidence can be that of so many answers.
func (ta *Tally) plausible() bool {
	if ta.Bad < 0 || ta.Bad > ta.Seen || ta.Seen > maxCount {
		return false
	}
	least, most := -maxEvidence*float64(ta.Seen-ta.Bad)-1, maxEvidence*float64(ta.Bad)+1
	within := func(sum float64) bool { return sum >= least && sum <= most }
	return within(ta.Sum) && within(ta.Total) && !slices.ContainsFunc(ta.Ratios[:], func(ra float64) bool { return !within(ra) })
}

// allPools is the key of the evidence over all pools.
const allPools = ""

// Tallies is the evidence of all tests.
type Tallies struct {
	Failures        Tally `json:"fails"`
	SlowAnswers     Tally `json:"slows"`
	VerySlowAnswers Tally `json:"very-slows"`
	SlowPrefills    Tally `json:"slow-prefills"`
}

// Tally is the evidence of one test.
type Tally struct {
	Sum  float64 `json:"sum"`
	Bad  int     `json:"bad"`
	Seen int     `json:"seen"`
	// Total is the sum without limits: below 0 it is evidence for the version.
	Total float64 `json:"total"`
	// Ratios are the evidence on each increase of the rate of failures that is tested.
	Ratios ratios `json:"ratios,omitzero"`
}

// Siblings are the sibling entries.
type Siblings interface {
	// Reports returns the roll-out reports of the siblings that respond.
	Reports(ctx context.Context) []Report
}

// Reports returns this entry's reports on the roll-outs in progress, and on the versions that completed
// ones have brought.
func (gu *Guard) Reports(now time.Time) []Report {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	var out []Report
	for sv, ro := range gu.rollouts {
		if ro.order.Revision == 0 || ro.state() == RolledBack {
			continue
		}
		loads := ro.load.Counts(now)
		if ro.final() {
			out = append(out, Report{Service: sv, Order: ro.order.Revision, Loads: &loads, LoadLimit: ro.load.Limit()})
			continue
		}
		co := ro.trialCount(now)
		out = append(out, Report{
			Service: sv, From: gu.self, Order: ro.order.Revision, Elapsed: now.Sub(ro.startedAt).Milliseconds(),
			Requests: ro.own.all, Sent: ro.own.sent, Rate: ro.rate.perSecond(now), Pools: ro.evidence.tallies(), OldFailures: ro.evidence.highFailureRates(),
			OldAnswers:  ro.evidence.oldAnswers(),
			OldSessions: gu.localOldSessions(now, ro), Answered: co.answered, Overdue: co.overdue, Tested: co.tested, Loads: &loads, LoadLimit: ro.load.Limit(),
		})
	}
	return out
}

// tallies returns the evidence of the pools in which the new version has answered.
func (ev *evidence) tallies() map[string]Tallies {
	out := map[string]Tallies{allPools: ev.all.tallies()}
	for name, co := range ev.pools {
		if co.fails.seen+co.slows.seen+co.slowPrefills.seen > 0 {
			out[name] = co.tallies()
		}
	}
	return out
}

// highFailureRates returns the old version's rates of failures where they are high.
func (ev *evidence) highFailureRates() map[string]float64 {
	var out map[string]float64
	for name, co := range ev.pools {
		if co.fails.rated < highRated || co.fails.rate < highRate {
			continue
		}
		if out == nil {
			out = map[string]float64{}
		}
		out[name] = co.fails.rate
	}
	return out
}

func (co *comparison) tallies() Tallies {
	return Tallies{co.fails.tally(), co.slows.tally(), co.verySlows.tally(), co.slowPrefills.tally()}
}

func (cu cusum) tally() Tally { return Tally{cu.drift, cu.bad, cu.seen, cu.total, cu.ratios.rounded()} }

// pooledThreshold is the sum of the entries' evidence at which a version is bad. It is slightly
// higher than the threshold for a single entry, since each entry contributes the chance result of
// its first few answers.
const pooledThreshold = 7.0

// MergeReports merges the siblings' reports; now must not be earlier than when they were made.
func (gu *Guard) MergeReports(now time.Time, reports []Report) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	for sv, ro := range gu.rollouts {
		if ro.order.Revision == 0 || ro.state() == RolledBack {
			continue
		}
		ro.mergeLoads(now, reports)
		if ro.final() {
			continue
		}
		ro.evidence.mergeOldFailures(reports, sv, ro.order.Revision)
		sums := ro.evidence.tallies()
		ro.siblings, ro.siblingTrials, ro.siblingSpeed = requestCount{}, trialCount{}, Tallies{}
		maps.DeleteFunc(ro.remoteOldSessions, func(_ core.SessionID, at time.Time) bool { return now.Sub(at) > gu.gap })
		for _, re := range reports {
			if re.Service != sv || re.Order != ro.order.Revision || !re.plausible() {
				continue
			}
			if began := now.Add(-time.Duration(re.Elapsed) * time.Millisecond); began.Before(ro.startedAt) {
				ro.joinedLate = ro.joinedLate || ro.startedAt.Sub(began) > settleTime
				ro.startedAt = began
			}
			for _, se := range re.OldSessions {
				ro.remoteOldSessions[se] = now
			}
			ro.reportedAt = now
			ro.siblings.entries++
			ro.siblings.all += re.Requests
			ro.siblings.sent += re.Sent
			ro.siblings.perSecond += re.Rate
			if gu.off.Has(mechanism.PooledEvidence) {
				continue
			}
			ro.siblingTrials = ro.siblingTrials.add(trialCount{answered: re.Answered, overdue: re.Overdue, tested: re.Tested})
			ro.siblingSpeed.SlowAnswers.add(re.Pools[allPools].SlowAnswers)
			ro.siblingSpeed.SlowPrefills.add(re.Pools[allPools].SlowPrefills)
			ro.keepReport(re)
			for name, ta := range re.Pools {
				sum := sums[name]
				sum.Failures.add(ta.Failures)
				sum.SlowAnswers.add(ta.SlowAnswers)
				sum.VerySlowAnswers.add(ta.VerySlowAnswers)
				sum.SlowPrefills.add(ta.SlowPrefills)
				sums[name] = sum
			}
		}
		ro.suspicion = suspicion{}
		for name, sum := range sums {
			if ro.badReason == "" && !ro.inPlace {
				ro.badReason = sum.badReason()
			}
			ro.suspicion = ro.suspicion.max(sum.suspicion(name))
		}
	}
}

// mergeOldFailures takes over the siblings' rates of failures of the old version.
func (ev *evidence) mergeOldFailures(reports []Report, sv core.ServiceID, order core.Revision) {
	for _, co := range ev.pools {
		co.fails.siblingRate = 0
	}
	for _, re := range reports {
		if re.Service != sv || re.Order != order || !re.plausible() {
			continue
		}
		for name, rate := range re.OldFailures {
			co := ev.pool(name)
			co.fails.siblingRate = max(co.fails.siblingRate, rate)
		}
	}
}

func (ta *Tally) add(other Tally) {
	ta.Sum += other.Sum
	ta.Bad += other.Bad
	ta.Seen += other.Seen
	ta.Total += other.Total
	ta.Ratios.add(other.Ratios)
}

// badReason returns why a version is bad by the evidence of all entries, or "".
func (ta Tallies) badReason() string {
	for _, te := range ta.tests() {
		if te.tally.Sum >= pooledThreshold && te.tally.Bad >= minBad {
			return te.describe()
		}
	}
	return ""
}

// test is the evidence of one test, with what it says of a bad answer.
type test struct {
	tally Tally
	what  string
}

func (ta Tallies) tests() []test {
	return []test{{ta.Failures, "failed"}, {ta.SlowAnswers, "were slow"}, {ta.VerySlowAnswers, "were very slow"}, {ta.SlowPrefills, "were slow to begin"}}
}

func (te test) describe() string {
	return fmt.Sprintf("%d of %d answers at all entries %s", te.tally.Bad, te.tally.Seen, te.what)
}

// suspicion is the strongest evidence against a version that is no verdict yet.
type suspicion struct {
	sum float64
	why string
}

func (su suspicion) max(other suspicion) suspicion {
	if other.sum > su.sum {
		return other
	}
	return su
}

// suspicion returns the strongest evidence in a pool.
func (ta Tallies) suspicion(pool string) suspicion {
	su := suspicion{}
	for _, te := range ta.tests() {
		su = su.max(suspicion{te.tally.Sum, fmt.Sprintf("%s (pool %q)", te.describe(), pool)})
	}
	return su
}

// Collector periodically collects the siblings' reports. It implements suture's Service.
type Collector struct {
	gu  *Guard
	sib Siblings
}

const (
	// collectInterval is how often reports are collected during a roll-out. A report is 200 bytes;
	// with four entries this makes 2 kB a second in total.
	collectInterval = time.Second
	// lastStepInterval replaces collectInterval in the last step: the completion depends on the present
	// rate of requests at all entries.
	lastStepInterval = 200 * time.Millisecond
	collectTimeout   = 700 * time.Millisecond
)

// NewCollector returns a collector of the siblings' reports.
func NewCollector(gu *Guard, sib Siblings) *Collector { return &Collector{gu: gu, sib: sib} }

// Serve implements suture's Service.
func (co *Collector) Serve(ctx context.Context) error {
	ti := time.NewTicker(lastStepInterval)
	defer ti.Stop()
	var collected time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ti.C:
			if interval := co.gu.collectInterval(now); interval > 0 && now.Sub(collected) >= interval-lastStepInterval/2 {
				collected = now
				co.collect(ctx)
			}
		}
	}
}

func (co *Collector) collect(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	reports := co.sib.Reports(ctx)
	// Uses the time of the response, not of the request: otherwise the network delay would be added
	// to the reported elapsed time in every round.
	co.gu.MergeReports(time.Now(), reports)
}
