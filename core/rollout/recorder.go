package rollout

import (
	"context"
	"errors"
	"time"

	"skylarkstand/core/chain"
	"skylarkstand/core/declaration"
)

// ErrPending reports that a halt could not be recorded yet. It is in force in this entry all the
// same, and recording it is retried.
var ErrPending = errors.New("rollout: halt is not in the configuration yet")

// Recorder writes halts into the configuration, from which all entries adopt them.
type Recorder struct {
	chain *chain.Chain
	inf   *declaration.InForce
}

// NewRecorder returns a recorder for the configuration's chain.
func NewRecorder(ch *chain.Chain, inf *declaration.InForce) *Recorder {
	return &Recorder{chain: ch, inf: inf}
}

// maxConflicts bounds the newer generations that one call follows. Operators apply a few changes an
// hour; a larger burst will be over by the next call.
const maxConflicts = 8

// Record writes a halt as the next generation and puts it in force here. It returns whether this
// call wrote it, and a nil error once the configuration contains the halt or has no such roll-out
// any more. Errors: ErrPending.
//
// Several entries may halt a version at once, and an operator may apply a change at the same
// moment. The chain accepts one of them; the others read the newer generation and either find the
// halt in it or write the next one. Writing the halt over the generation that was read before would
// undo the other change.
func (rec *Recorder) Record(ctx context.Context, ha Halt, when time.Time) (bool, error) {
	for range maxConflicts {
		last, err := rec.chain.Last(ctx)
		if err != nil || last.Number == 0 || last.Seal {
			return false, ErrPending
		}
		gen, err := declaration.Decode(last.Payload)
		if err != nil {
			return false, ErrPending
		}
		next, ok := declaration.Halt(gen, ha.Version, ha.Evidence, when)
		if !ok {
			return false, rec.adopt(last.Payload)
		}
		raw, err := next.Encode()
		if err != nil {
			return false, ErrPending
		}
		err = rec.chain.Create(ctx, uint64(next.Number), raw)
		switch {
		case err == nil:
			return true, rec.adopt(raw)
		case !errors.Is(err, chain.ErrTaken):
			// The write may still take effect. The next call reads it then.
			return false, ErrPending
		}
	}
	return false, ErrPending
}

func (rec *Recorder) adopt(raw []byte) error {
	if _, err := rec.inf.Adopt(raw); err != nil {
		return ErrPending
	}
	return nil
}
