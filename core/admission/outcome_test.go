package admission_test

import (
	"slices"
	"time"

	"skylarkstand/core"
)

// outcome is the result of a simulation as its callers observed it.
type outcome struct {
	length           time.Duration
	requests         []*request
	crossRegionBytes int
}

func newOutcome(si *sim) *outcome {
	return &outcome{length: si.sc.length, requests: si.requests, crossRegionBytes: si.crossRegionBytes}
}

// goodput returns the rate, per second, of responses in time while requests
// arrive: responses from a queue that drains afterwards do not count.
func (ou *outcome) goodput() float64 {
	return ou.rate(func(*request) float64 { return 1 })
}

// goodTokens returns the rate, per second, of the tokens of responses in time.
func (ou *outcome) goodTokens() float64 {
	return ou.rate(func(rq *request) float64 { return rq.output })
}

func (ou *outcome) rate(of func(*request) float64) float64 {
	sum := 0.0
	for _, rq := range ou.requests {
		if rq.state == answered && rq.ended <= ou.length {
			sum += of(rq)
		}
	}
	return sum / ou.length.Seconds()
}

func (ou *outcome) count(rs requestState) int {
	sum := 0
	for _, rq := range ou.requests {
		if rq.state == rs {
			sum++
		}
	}
	return sum
}

const maxRefusalDelay = 50 * time.Millisecond

// lateRefusals counts the refusals sent later than maxRefusalDelay after arrival.
func (ou *outcome) lateRefusals() int {
	sum := 0
	for _, rq := range ou.requests {
		if rq.state == refused && rq.ended-rq.arrived > maxRefusalDelay {
			sum++
		}
	}
	return sum
}

// attemptsPerRequest returns the mean number of attempts of the requests that were
// dispatched to an agent.
func (ou *outcome) attemptsPerRequest() float64 {
	dispatched, attempts := 0, 0
	for _, rq := range ou.requests {
		if rq.dispatches > 0 {
			dispatched++
			attempts += rq.dispatches
		}
	}
	return float64(attempts) / float64(max(dispatched, 1))
}

// percentile returns a percentile, in seconds, over the requests of all tenants
// except one. An unanswered request counts with its deadline, so that refusals do
// not look fast.
func (ou *outcome) percentile(part float64, except core.WorkspaceID, of func(*request) time.Duration) float64 {
	var all []time.Duration
	for _, rq := range ou.requests {
		switch {
		case rq.tenant.id == except:
		case rq.state == answered:
			all = append(all, of(rq))
		default:
			all = append(all, rq.tenant.deadline)
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
