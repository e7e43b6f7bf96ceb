package claim_test

import (
	"errors"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"skylarkstand/core"
	"skylarkstand/core/claim"
)

type operationKind int

const (
	claiming operationKind = iota
	finishing
	releasing
)

type input struct {
	kind    operationKind
	attempt core.AttemptID
}

type output struct {
	state   claim.State
	attempt core.AttemptID
	err     error
}

// modelClaim is a key's claim in the sequential model.
type modelClaim struct {
	state   claim.State
	attempt core.AttemptID
}

func (ha *harness) recordCall(in input, key string) int {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	op := porcupine.Operation{ClientId: len(ha.history), Input: in, Output: output{err: errNeverReturned}, Metadata: key, Call: now(), Return: math.MaxInt64}
	ha.history = append(ha.history, op)
	return len(ha.history) - 1
}

// errNeverReturned marks a call that never returned because its agent died.
var errNeverReturned = errors.New("open")

// recordReturn records the result of a call. A claim that ended unsettled may take effect at any
// later time and is released some time after that.
func (ha *harness) recordReturn(op int, out output) {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	ha.history[op].Output = out
	in := ha.history[op].Input.(input)
	if !errors.Is(out.err, claim.ErrOutcomeUnknown) {
		ha.history[op].Return = now()
		return
	}
	if in.kind != claiming {
		return
	}
	ha.history = append(ha.history, porcupine.Operation{
		ClientId: len(ha.history), Input: input{releasing, in.attempt}, Output: output{err: errNeverReturned},
		Metadata: ha.history[op].Metadata, Call: ha.history[op].Call, Return: math.MaxInt64,
	})
}

func now() int64 { return time.Now().UnixNano() }

// step returns the possible states of a claim after an operation, or none when the operation cannot
// have had its result.
func step(mc modelClaim, in input, out output) []modelClaim {
	own := mc.attempt == in.attempt && mc.state == claim.Claimed
	var after modelClaim
	switch {
	case in.kind == claiming && mc.state == "":
		after = modelClaim{claim.Claimed, in.attempt}
	case in.kind == finishing && own:
		after = modelClaim{claim.Done, in.attempt}
	case in.kind == releasing && own:
		after = modelClaim{}
	default:
		after = mc
	}
	switch {
	case errors.Is(out.err, claim.ErrOutcomeUnknown), errors.Is(out.err, errNeverReturned):
		return []modelClaim{mc, after}
	case out.err != nil:
		return []modelClaim{mc}
	case in.kind != claiming:
		return []modelClaim{after}
	}
	observed := modelClaim{out.state, out.attempt}
	if out.state == claim.Owned {
		observed = modelClaim{claim.Claimed, in.attempt}
		if mc.state != "" {
			return nil
		}
	}
	if after != observed {
		return nil
	}
	return []modelClaim{after}
}

// checkLinearizable checks that each key's history is linearizable: some sequential order of its
// operations explains their results.
func (ha *harness) checkLinearizable(rt *rapid.T) {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{modelClaim{}} },
		Step: func(state, in, out any) []any {
			var next []any
			for _, mc := range step(state.(modelClaim), in.(input), out.(output)) {
				next = append(next, mc)
			}
			return next
		},
	}
	for _, key := range keys {
		var ops []porcupine.Operation
		for _, op := range ha.history {
			if op.Metadata == key {
				ops = append(ops, op)
			}
		}
		if porcupine.CheckOperationsTimeout(model.ToModel(), ops, time.Minute) != porcupine.Ok {
			rt.Fatalf("the history of %s is not linearizable: %+v", key, ops)
		}
	}
}
