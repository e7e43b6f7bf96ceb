package rollout

import (
	"context"
	"errors"
	"time"

	"skylarkstand/core/chain"
	"skylarkstand/core/declaration"
)

// ErrPending tells that a halt could not be recorded yet. It holds in this
// entry all the same, and recording it is tried again.
var ErrPending = errors.New("rollout: halt is not in the configuration yet")

// Recorder writes halts into the configuration, from where all entries adopt
// them.
type Recorder struct {
	chain *chain.Chain
	inf   *declaration.InForce
}

// NewRecorder returns a recorder for the configuration's chain.
func NewRecorder(ch *chain.Chain, inf *declaration.InForce) *Recorder {
	return &Recorder{chain: ch, inf: inf}
}

// maxClashes bounds the newer generations that one call goes after. Operators
// apply a few changes an hour; more than that many at once will have settled
// by the next call.
const maxClashes = 8

// Record makes a halt the next generation and puts it in force here. It
// returns nil once the configuration has the halt, or has no such roll-out any
// more, and whether this call wrote it. Errors: ErrPending.
//
// Several entries may halt a version at once, and an operator may apply a
// change in the same moment. The chain takes one of them; whoever lost reads
// the newer generation and finds the halt in it, or makes the next one. Were
// the halt put over what was read before, the other's change would be undone.
func (rec *Recorder) Record(ctx context.Context, ha Halt, when time.Time) (bool, error) {
	for range maxClashes {
		last, err := rec.chain.Last(ctx)
		if err != nil || last.Number == 0 || last.Seal {
			return false, ErrPending
		}
		gen, err := declaration.Decode(last.Payload)
		if err != nil {
			return false, ErrPending
		}
		next, ok := declaration.Halt(gen, ha.Version, ha.Why, when)
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
			// The write may yet take effect. The next call reads it then.
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
