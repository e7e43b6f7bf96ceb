package balance

import (
	"time"

	"skylarkstand/core"
)

// prefillEstimator estimates how long engines take for the prefill of prompts, from the times to
// the headers of their responses.
//
// The time to a header is the prompt's prefill, the prefill work queued before it and the network
// and processing overhead. The first is wanted, and the other two are never negative: so the
// estimate is a low quantile, of attempts before which no queued work was known. A mean would
// count the queueing of a busy pool as slow prefill.
//
// Queued work is itself known by the estimates of all entries. Those that are too high make idle
// engines look busy, to the other entries too, so that no attempt would correct them. Therefore an
// attempt behind queued work counts as well if both together took much less than estimated.
type prefillEstimator struct {
	// overhead is the time to a header that doesn't depend on the prompt.
	overhead quantile
	// models holds the time for a thousand tokens, by model.
	models map[core.ModelID]*quantile
}

const (
	// defaultPrefill is the time for a thousand tokens before the first response of any model,
	// about that of the largest model of a slow deployment.
	defaultPrefill = 80 * time.Millisecond
	// prefillQuantile is the quantile of the prefill times that is estimated: low, since unknown
	// queueing only adds to them, but above the responses to prompts that were cached without this
	// entry's knowledge.
	prefillQuantile = 0.4
	// overheadQuantile is the quantile that is estimated for the overhead: the time of prompts that
	// were fully cached.
	overheadQuantile = 0.1
	// contradiction is the fraction of the estimated time below which an attempt behind queued work
	// corrects the estimate.
	contradiction = 0.5
	// fullWeightTokens is the length from which a prompt counts with full weight: the overhead
	// distorts the time of a shorter one more.
	fullWeightTokens = 2000
)

func newPrefillEstimator() prefillEstimator {
	return prefillEstimator{models: map[core.ModelID]*quantile{}}
}

// perThousand returns a model's prefill time for a thousand tokens. A model without samples is
// assumed to be as slow as the slowest: too low an estimate sends many long prompts to one engine,
// too high a one only distributes them.
func (est *prefillEstimator) perThousand(mo core.ModelID) time.Duration {
	if qu := est.models[mo]; qu != nil {
		return qu.estimate()
	}
	slowest := time.Duration(0)
	for _, qu := range est.models {
		slowest = max(slowest, qu.estimate())
	}
	if slowest == 0 {
		return defaultPrefill
	}
	return slowest
}

// observe records the time to the header of a response whose prompt had the given uncached tokens,
// at an engine without known queued work. At least half of the time counts as prefill: the overhead
// is unknown at first.
func (est *prefillEstimator) observe(mo core.ModelID, uncached core.Tokens, took time.Duration) {
	est.overhead.observe(took, overheadQuantile, 1)
	est.add(mo, uncached, max(took-est.overhead.estimate(), took/2))
}

// observeQueued records the time to the header of a response whose prompt should have taken the given
// time, behind queued work of the given time.
func (est *prefillEstimator) observeQueued(mo core.ModelID, uncached core.Tokens, took, prefill, queued time.Duration) {
	if ratio := float64(took) / float64(max(prefill+queued, 1)); ratio < contradiction {
		est.add(mo, uncached, time.Duration(ratio*float64(prefill)))
	}
}

func (est *prefillEstimator) add(mo core.ModelID, uncached core.Tokens, prefill time.Duration) {
	if uncached <= 0 {
		return
	}
	qu := est.models[mo]
	if qu == nil {
		qu = new(quantile)
		est.models[mo] = qu
	}
	qu.observe(time.Duration(1000*float64(prefill)/float64(uncached)), prefillQuantile, min(float64(uncached)/fullWeightTokens, 1))
}

// quantile estimates a quantile of a series of times. Each sample moves the estimate by a share of
// itself, so that it follows fast and slow engines alike, and one outlier has little effect.
type quantile struct {
	value float64 // nanoseconds
	seen  float64
}

const (
	// quantileStep is the share by which a sample moves the estimate after many samples: the estimate
	// doubles over some twenty samples that are above it.
	quantileStep = 0.08
	// quantileMin is the least estimate; a relative step can't move an estimate of zero.
	quantileMin = float64(10 * time.Microsecond)
)

func (qu *quantile) estimate() time.Duration { return time.Duration(qu.value) }

// observe moves the estimate towards the target quantile, from 0 to 1, of the samples. The first
// sample sets it, and the next few move it far.
func (qu *quantile) observe(took time.Duration, target, weight float64) {
	if qu.seen == 0 {
		qu.value = max(float64(took), quantileMin)
	}
	qu.seen += weight
	step := weight * max(quantileStep, 1/(1+qu.seen))
	if float64(took) < qu.value {
		qu.value *= 1 - step*(1-target)
	} else {
		qu.value *= 1 + step*target
	}
	qu.value = max(qu.value, quantileMin)
}
