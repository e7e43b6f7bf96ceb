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
	figureAsks = 20_000
	// figureTarget is the quality that both users ask for in the figures.
	figureTarget = 0.9
	// landesamtPrice and associationPrice are what a second of waiting is
	// worth to the two users, in millicents.
	landesamtPrice   core.Millicents = 5
	associationPrice core.Millicents = 3000
)

// always runs one stage for all requests.
func always(asks []ask, stage int) *result {
	re := &result{}
	for _, as := range asks {
		re.add(as.cost[stage], as.good[stage], as.took[stage])
	}
	return re
}

// fixed runs the cheap stage and, when its answer is rated badly, the other.
func fixed(asks []ask) *result {
	re := &result{}
	for _, as := range asks {
		if as.good[0] {
			re.add(as.cost[0], true, as.took[0]+as.rate)
		} else {
			re.add(as.cost[0]+as.cost[1], as.good[1], as.took[0]+as.rate+as.took[1])
		}
	}
	return re
}

// hindsight is the cost of the best rule a class that could have been chosen
// had all outcomes been known: cheap alone, cheap and then costly, or costly
// alone, in the shares that just meet the target.
func hindsight(asks []ask, target float64) float64 {
	const rules = 3
	var cost, good [len(shape)][rules]float64
	for _, as := range asks {
		cl := as.class
		per := [rules]*result{always([]ask{as}, 0), fixed([]ask{as}), always([]ask{as}, 1)}
		for ru, re := range per {
			cost[cl][ru] += re.cost
			good[cl][ru] += re.quality
		}
	}
	pick := func(worth float64) (total, quality float64) {
		for cl := range cost {
			best := 0
			for ru := range rules {
				if worth*good[cl][ru]-cost[cl][ru] > worth*good[cl][best]-cost[cl][best] {
					best = ru
				}
			}
			total += cost[cl][best]
			quality += good[cl][best]
		}
		return total, quality
	}
	need := target * float64(len(asks))
	low, high := 0.0, 1e6
	for range 100 {
		if mid := (low + high) / 2; second(pick(mid)) >= need {
			high = mid
		} else {
			low = mid
		}
	}
	// Between the two sides of the step, a share of each meets the target.
	lc, lq := pick(low)
	hc, hq := pick(high)
	if hq <= lq {
		return hc
	}
	return lc + (hc-lc)*max(need-lq, 0)/(hq-lq)
}

func second(_, quality float64) float64 { return quality }

// clairvoyant is the cost had each answer's rating been known before it was
// asked for: the cheap stage for all, but for the requests that only the
// costly one answers well, the least costly first, until the target is met.
func clairvoyant(asks []ask, target float64) float64 {
	re := always(asks, 0)
	var extra []float64
	for _, as := range asks {
		if !as.good[0] && as.good[1] {
			extra = append(extra, float64(as.cost[1]-as.cost[0]))
		}
	}
	slices.SortFunc(extra, cmp.Compare[float64])
	need := int(target*float64(len(asks)) - re.quality)
	for _, more := range extra[:min(max(need, 0), len(extra))] {
		re.cost += more
	}
	return re.cost
}

// withDrafts is a mix with more drafts than the late answers that count: their
// own length sets the tail, whatever is decided.
var withDrafts = [...]kind{withShare(shape[0], 0.6), withShare(shape[1], 0.3), withShare(shape[2], 0.1)}

func withShare(ki kind, share float64) kind {
	ki.share = share
	return ki
}

// outcome is a mix under the two users' weights.
type outcome struct{ calm, hasty *result }

func both(asks []ask, high core.Millicents, seed uint64) outcome {
	return outcome{learn(asks, figureTarget, landesamtPrice, seed), learn(asks, figureTarget, high, seed)}
}

func (ou outcome) tailRatio() float64 { return ou.hasty.p95().Seconds() / ou.calm.p95().Seconds() }

// runs returns the outcomes of five seeds, by their ratio of tails.
func runs() []outcome {
	var ous []outcome
	for seed := range uint64(5) {
		ous = append(ous, both(draw(figureAsks, seed+1, shape[:]), associationPrice, seed+1))
	}
	slices.SortFunc(ous, func(le, ri outcome) int { return cmp.Compare(le.tailRatio(), ri.tailRatio()) })
	return ous
}

func TestFiguresQualityCascade(t *testing.T) {
	if os.Getenv("SKYLARKSTAND_MEASURE") != "1" {
		t.Skip("figures are measured by make measure")
	}
	asks := draw(figureAsks, 1, shape[:])
	ou := both(asks, associationPrice, 1)
	calm, hasty, five := ou.calm, ou.hasty, runs()
	best := hindsight(asks, figureTarget)
	costliest := always(asks, 1)

	figure.AtLeast("cascade-quality-landesamt", calm.mean(), "share", figureTarget-0.005)
	figure.AtLeast("cascade-quality-association", hasty.mean(), "share", figureTarget-0.005)
	figure.AtMost("cascade-cost-over-best-in-hindsight", calm.cost/best, "ratio", 1.15)
	figure.AtMost("cascade-cost-over-clairvoyant", calm.cost/clairvoyant(asks, figureTarget), "ratio", 1.15)
	figure.AtLeast("cascade-cost-below-always-costliest", 1-calm.cost/costliest.cost, "share", 0.4)
	figure.AtMost("cascade-p95-association-over-landesamt", five[2].tailRatio(), "ratio", 0.8)
	figure.Plain("cascade-p95-association-over-landesamt-worst-of-five-seeds", five[4].tailRatio(), "ratio")
	figure.Plain("cascade-p95-ratio-at-a-third-of-the-weight", both(asks, associationPrice/3, 1).tailRatio(), "ratio")
	figure.Plain("cascade-p95-ratio-at-a-weight-of-80", both(asks, 80, 1).tailRatio(), "ratio")
	figure.Plain("cascade-p95-ratio-with-one-draft-in-ten", both(draw(figureAsks, 1, withDrafts[:]), associationPrice, 1).tailRatio(), "ratio")
	worst := 1.0
	for _, ou := range five {
		worst = min(worst, ou.calm.mean(), ou.hasty.mean())
	}
	figure.AtLeast("cascade-quality-worst-of-ten-runs", worst, "share", figureTarget-0.01)
	for _, row := range []struct {
		name string
		re   *result
	}{{"landesamt", calm}, {"association", hasty}, {"always-cheapest", always(asks, 0)}, {"always-costliest", costliest}, {"fixed-cascade", fixed(asks)}} {
		figure.Plain("cascade-"+row.name+"-cost-over-best", row.re.cost/best, "ratio")
		figure.Plain("cascade-"+row.name+"-quality", row.re.mean(), "share")
		figure.Plain("cascade-"+row.name+"-p95", float64(row.re.p95())/float64(time.Millisecond), "ms")
	}
}
