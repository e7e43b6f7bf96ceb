package forward

import (
	"net/http"

	"skylarkstand/core"
	"skylarkstand/core/balance"
)

// verdict is the outcome of an attempt.
type verdict int

const (
	// taken: the upstream's answer, a success or its own refusal of the content.
	taken verdict = iota
	// failed: the upstream ran the work and failed.
	failed
	// refused: the upstream guarantees that it did not run the work.
	refused
	// stranger: the address belongs to another upstream now. Not run.
	stranger
	// unreached: nothing was sent. Not run.
	unreached
	// absent: no process listens at the address. Not run.
	absent
	// lost: no answer, or one that cannot be the upstream's. It may have run.
	lost
	// unsure: a success with a confidence that is too low, and a larger model is available.
	unsure
)

// mayHaveRun reports whether the work may have run.
func (ve verdict) mayHaveRun() bool { return ve == taken || ve == failed || ve == lost || ve == unsure }

// notRun reports whether the work certainly did not run.
func (ve verdict) notRun() bool {
	return ve == refused || ve == stranger || ve == unreached || ve == absent
}

// outcome returns the load balancer's outcome for a verdict.
func (ve verdict) outcome() balance.Outcome {
	switch ve {
	case taken, unsure:
		return balance.Good
	case refused:
		return balance.Refused
	case stranger:
		return balance.Replaced
	case unreached:
		return balance.Unreachable
	case absent:
		return balance.NotListening
	default:
		return balance.Failed
	}
}

// promisesNotRun reports whether callers take a status for the promise that their request was not run. An
// upstream's answer that has such a status and does not state that must not be passed on.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// classify classifies a reply by its header.
//
// A success without the upstream's seal, or with a content encoding that was not requested,
// comes from something else on the path: the caller would take foreign bytes for its answer. It
// counts as a failed attempt that may have run.
func classify(re *core.Reply) verdict {
	switch {
	case re.WrongUpstream:
		return stranger
	case re.NotRun:
		return refused
	case promisesNotRun(re.Status):
		return lost
	case !re.Sealed || re.Header.Get("Content-Encoding") != "":
		return lost
	case re.Status >= http.StatusInternalServerError:
		return failed
	default:
		return taken
	}
}
