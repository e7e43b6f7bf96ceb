package cascade_test

import (
	"cmp"
	"os"
	"slices"
	"testing"
	"time"

	"skylarkstand/core"
	"skylarkstand/test/figure"
)

const (
	figureRequests = 20_000
	// figureTarget is the quality target of both users in the figures.
	figureTarget = 0.9
	// landesamtPrice and associationPrice are the two users' prices of a second of
	// latency, in millicents.
	landesamtPrice   core.Millicents = 5
	associationPrice core.Millicents = 3000
)

// alwaysStage runs one stage for all requests.
func alwaysStage(requests []request, stage int) *result {
	re := &result{}
	for _, req := range requests {
		re.add(req.cost[stage], req.good[stage], req.latency[stage])
	}
	return re
}

// fixedCascade runs the cheap stage and, if its answer is rated badly, the costly one.
func fixedCascade(requests []request) *result {
	re := &result{}
	for _, req := range requests {
		if req.good[0] {
			re.add(req.cost[0], true, req.latency[0]+req.ratingDelay)
		} else {
			re.add(req.cost[0]+req.cost[1], req.good[1], req.latency[0]+req.ratingDelay+req.latency[1])
		}
	}
	return re
}

// bestInHindsight returns the cost of the best rule per class, chosen with all outcomes
// known: cheap alone, cheap and then costly, or costly alone, in the proportions that
// just meet the target.
func bestInHindsight(requests []request, target float64) float64 {
	const rules = 3
	var cost, good [len(classes)][rules]float64
	for _, req := range requests {
		cl := req.class
		per := [rules]*result{alwaysStage([]request{req}, 0), fixedCascade([]request{req}), alwaysStage([]request{req}, 1)}
		for ru, re := range per {
			cost[cl][ru] += re.cost
			good[cl][ru] += re.quality
		}
	}
	pick := func(answerValue float64) (total, quality float64) {
		for cl := range cost {
			best := 0
			for ru := range rules {
				if answerValue*good[cl][ru]-cost[cl][ru] > answerValue*good[cl][best]-cost[cl][best] {
					best = ru
				}
			}
			total += cost[cl][best]
			quality += good[cl][best]
		}
		return total, quality
	}
	need := target * float64(len(requests))
	low, high := 0.0, 1e6
	for range 100 {
		if mid := (low + high) / 2; qualityOf(pick(mid)) >= need {
			high = mid
		} else {
			low = mid
		}
	}
	// Interpolates between the two rules at the step, so as to meet the target exactly.
	lc, lq := pick(low)
	hc, hq := pick(high)
	if hq <= lq {
		return hc
	}
	return lc + (hc-lc)*max(need-lq, 0)/(hq-lq)
}

func qualityOf(_, quality float64) float64 { return quality }

// clairvoyant returns the cost if each answer's rating were known before the request:
// the cheap stage runs for all requests, except those that only the costly one answers
// well, in order of their extra cost, until the target is met.
func clairvoyant(requests []request, target float64) float64 {
	re := alwaysStage(requests, 0)
	var extra []float64
	for _, req := range requests {
		if !req.good[0] && req.good[1] {
			extra = append(extra, float64(req.cost[1]-req.cost[0]))
		}
	}
	slices.SortFunc(extra, cmp.Compare[float64])
	need := int(target*float64(len(requests)) - re.quality)
	for _, more := range extra[:min(max(need, 0), len(extra))] {
		re.cost += more
	}
	return re.cost
}

// withDrafts is a mix in which drafts are a larger fraction than the latency tail:
// their own length determines the tail, whatever is decided.
var withDrafts = [...]requestClass{withShare(classes[0], 0.6), withShare(classes[1], 0.3), withShare(classes[2], 0.1)}

func withShare(rc requestClass, share float64) requestClass {
	rc.share = share
	return rc
}

// outcome is the results of one mix with the two users' latency prices.
type outcome struct{ lowPrice, highPrice *result }

func simulateBoth(requests []request, high core.Millicents, seed uint64) outcome {
	return outcome{simulate(requests, figureTarget, landesamtPrice, seed), simulate(requests, figureTarget, high, seed)}
}

func (ou outcome) tailRatio() float64 {
	return ou.highPrice.p95().Seconds() / ou.lowPrice.p95().Seconds()
}

// outcomesBySeed returns the outcomes of five seeds, sorted by their ratio of tail
// latencies.
func outcomesBySeed() []outcome {
	var ous []outcome
	for seed := range uint64(5) {
		ous = append(ous, simulateBoth(generate(figureRequests, seed+1, classes[:]), associationPrice, seed+1))
	}
	slices.SortFunc(ous, func(le, ri outcome) int { return cmp.Compare(le.tailRatio(), ri.tailRatio()) })
	return ous
}

func TestFiguresQualityCascade(t *testing.T) {
	if os.Getenv("SKYLARKSTAND_MEASURE") != "1" {
		t.Skip("set SKYLARKSTAND_MEASURE=1 or run make measure to print the figures")
	}
	requests := generate(figureRequests, 1, classes[:])
	ou := simulateBoth(requests, associationPrice, 1)
	lowPrice, highPrice, five := ou.lowPrice, ou.highPrice, outcomesBySeed()
	best := bestInHindsight(requests, figureTarget)
	costliest := alwaysStage(requests, 1)

	figure.AtLeast("cascade-quality-landesamt", lowPrice.mean(), "share", figureTarget-0.005)
	figure.AtLeast("cascade-quality-association", highPrice.mean(), "share", figureTarget-0.005)
	figure.AtMost("cascade-cost-over-best-in-hindsight", lowPrice.cost/best, "ratio", 1.15)
	figure.AtMost("cascade-cost-over-clairvoyant", lowPrice.cost/clairvoyant(requests, figureTarget), "ratio", 1.15)
	figure.AtLeast("cascade-cost-below-always-costliest", 1-lowPrice.cost/costliest.cost, "share", 0.4)
	figure.AtMost("cascade-p95-association-over-landesamt", five[2].tailRatio(), "ratio", 0.8)
	figure.Unbounded("cascade-p95-association-over-landesamt-worst-of-five-seeds", five[4].tailRatio(), "ratio")
	figure.Unbounded("cascade-p95-ratio-at-a-third-of-the-weight", simulateBoth(requests, associationPrice/3, 1).tailRatio(), "ratio")
	figure.Unbounded("cascade-p95-ratio-at-a-weight-of-80", simulateBoth(requests, 80, 1).tailRatio(), "ratio")
	figure.Unbounded("cascade-p95-ratio-with-one-draft-in-ten", simulateBoth(generate(figureRequests, 1, withDrafts[:]), associationPrice, 1).tailRatio(), "ratio")
	worst := 1.0
	for _, ou := range five {
		worst = min(worst, ou.lowPrice.mean(), ou.highPrice.mean())
	}
	figure.AtLeast("cascade-quality-worst-of-ten-runs", worst, "share", figureTarget-0.01)
	for _, row := range []struct {
		name string
		re   *result
	}{{"landesamt", lowPrice}, {"association", highPrice}, {"always-cheapest", alwaysStage(requests, 0)}, {"always-costliest", costliest}, {"fixed-cascade", fixedCascade(requests)}} {
		figure.Unbounded("cascade-"+row.name+"-cost-over-best", row.re.cost/best, "ratio")
		figure.Unbounded("cascade-"+row.name+"-quality", row.re.mean(), "share")
		figure.Unbounded("cascade-"+row.name+"-p95", float64(row.re.p95())/float64(time.Millisecond), "ms")
	}
}
