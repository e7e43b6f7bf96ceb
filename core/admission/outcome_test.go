package admission_test

import (
	"slices"
	"time"

	"skylarkstand/core"
)

// outcome is what the callers of a simulation got.
type outcome struct {
	length   time.Duration
	requests []*request
	crossed  int
}

func newOutcome(si *sim) *outcome {
	return &outcome{length: si.sit.length, requests: si.requests, crossed: si.crossed}
}

// goodput is the answers in time a second, while requests arrive: a queue that
// is worked off afterwards does not count.
func (ou *outcome) goodput() float64 {
	return ou.rate(func(*request) float64 { return 1 })
}

// goodUnits is the tokens a second of answers in time.
func (ou *outcome) goodUnits() float64 {
	return ou.rate(func(rq *request) float64 { return rq.output })
}

func (ou *outcome) rate(of func(*request) float64) float64 {
	sum := 0.0
	for _, rq := range ou.requests {
		if rq.end == answered && rq.ended <= ou.length {
			sum += of(rq)
		}
	}
	return sum / ou.length.Seconds()
}

func (ou *outcome) count(en ending) int {
	sum := 0
	for _, rq := range ou.requests {
		if rq.end == en {
			sum++
		}
	}
	return sum
}

const promptly = 50 * time.Millisecond

// late counts the refusals that did not come promptly.
func (ou *outcome) late() int {
	sum := 0
	for _, rq := range ou.requests {
		if rq.end == refused && rq.ended-rq.arrived > promptly {
			sum++
		}
	}
	return sum
}

// amplified is the attempts handed to agents over the requests that were.
func (ou *outcome) amplified() float64 {
	handed, attempts := 0, 0
	for _, rq := range ou.requests {
		if rq.dispatch > 0 {
			handed++
			attempts += rq.dispatch
		}
	}
	return float64(attempts) / float64(max(handed, 1))
}

// percentile is over the requests of all tenants but one. What was not
// answered counts as its deadline, so that refusing does not look fast.
func (ou *outcome) percentile(part float64, but core.WorkspaceID, of func(*request) time.Duration) float64 {
	var all []time.Duration
	for _, rq := range ou.requests {
		switch {
		case rq.ten.id == but:
		case rq.end == answered:
			all = append(all, of(rq))
		default:
			all = append(all, rq.ten.deadline)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(int(part*float64(len(all))), len(all)-1)].Seconds()
}

func first(rq *request) time.Duration { return rq.first }
func whole(rq *request) time.Duration { return rq.whole }
