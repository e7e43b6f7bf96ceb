package forward

import (
	"net/http"

	"skylarkstand/core"
	"skylarkstand/core/balance"
)

// verdict is what an attempt came to.
type verdict int

const (
	// taken: the upstream's answer, a success or its own refusal of the content.
	taken verdict = iota
	// failed: the upstream's own failure. It ran the work.
	failed
	// refused: the upstream vouches that it did not run the work.
	refused
	// stranger: the address belongs to another upstream now. Not run.
	stranger
	// unreached: nothing left. Not run.
	unreached
	// absent: nobody listens at the address. Not run.
	absent
	// lost: no answer, or none that can be the upstream's. It may have run.
	lost
	// unsure: a success whose model doubts it, and a larger one is there.
	unsure
)

// ran reports whether the work may have run.
func (ve verdict) ran() bool { return ve == taken || ve == failed || ve == lost || ve == unsure }

// notRun reports whether the work certainly did not run.
func (ve verdict) notRun() bool {
	return ve == refused || ve == stranger || ve == unreached || ve == absent
}

// outcome is what a verdict says about the upstream.
func (ve verdict) outcome() balance.Outcome {
	switch ve {
	case taken, unsure:
		return balance.Good
	case refused:
		return balance.Refused
	case stranger:
		return balance.Replaced
	case unreached:
		return balance.Unreached
	case absent:
		return balance.Absent
	default:
		return balance.Failed
	}
}

// judge classifies a reply by its header.
//
// A success without the upstream's proof, or with an encoding that nobody asked
// for, comes from something else on the way: a caller would take foreign bytes
// for its answer. It is a failed attempt that may have run.
func judge(re *core.Reply) verdict {
	switch {
	case re.Stranger:
		return stranger
	case re.NotRun:
		return refused
	case !re.Sealed || re.Header.Get("Content-Encoding") != "":
		return lost
	case re.Status >= http.StatusInternalServerError:
		return failed
	default:
		return taken
	}
}
