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

type kind int

const (
	claiming kind = iota
	finishing
	releasing
)

type input struct {
	kind    kind
	attempt core.AttemptID
}

type output struct {
	state   claim.State
	attempt core.AttemptID
	err     error
}

// entry is a key's claim in the sequential model.
type entry struct {
	state   claim.State
	attempt core.AttemptID
}

func (wo *world) begin(in input, key string) int {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	op := porcupine.Operation{ClientId: len(wo.history), Input: in, Output: output{err: errOpen}, Metadata: key, Call: now(), Return: math.MaxInt64}
	wo.history = append(wo.history, op)
	return len(wo.history) - 1
}

// errOpen marks a call that never returned, its agent being dead.
var errOpen = errors.New("open")

// end notes what a call returned. A claim that ended unsettled may take effect
// at any later time and is released some time after that.
func (wo *world) end(op int, out output) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.history[op].Output = out
	in := wo.history[op].Input.(input)
	if !errors.Is(out.err, claim.ErrUnsettled) {
		wo.history[op].Return = now()
		return
	}
	if in.kind != claiming {
		return
	}
	wo.history = append(wo.history, porcupine.Operation{
		ClientId: len(wo.history), Input: input{releasing, in.attempt}, Output: output{err: errOpen},
		Metadata: wo.history[op].Metadata, Call: wo.history[op].Call, Return: math.MaxInt64,
	})
}

func now() int64 { return time.Now().UnixNano() }

// step returns the states that a claim may be in after an operation, none when
// the operation cannot have had its result.
func step(en entry, in input, out output) []entry {
	own := en.attempt == in.attempt && en.state == claim.Claimed
	var after entry
	switch {
	case in.kind == claiming && en.state == "":
		after = entry{claim.Claimed, in.attempt}
	case in.kind == finishing && own:
		after = entry{claim.Done, in.attempt}
	case in.kind == releasing && own:
		after = entry{}
	default:
		after = en
	}
	switch {
	case errors.Is(out.err, claim.ErrUnsettled), errors.Is(out.err, errOpen):
		return []entry{en, after}
	case out.err != nil:
		return []entry{en}
	case in.kind != claiming:
		return []entry{after}
	}
	met := entry{out.state, out.attempt}
	if out.state == claim.Owned {
		met = entry{claim.Claimed, in.attempt}
		if en.state != "" {
			return nil
		}
	}
	if after != met {
		return nil
	}
	return []entry{after}
}

// linear checks that each key's history is one of a claim that takes its
// operations one at a time.
func (wo *world) linear(rt *rapid.T) {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{entry{}} },
		Step: func(state, in, out any) []any {
			var next []any
			for _, en := range step(state.(entry), in.(input), out.(output)) {
				next = append(next, en)
			}
			return next
		},
	}
	for _, key := range keys {
		var ops []porcupine.Operation
		for _, op := range wo.history {
			if op.Metadata == key {
				ops = append(ops, op)
			}
		}
		if porcupine.CheckOperationsTimeout(model.ToModel(), ops, time.Minute) != porcupine.Ok {
			rt.Fatalf("the history of %s is not linearizable: %+v", key, ops)
		}
	}
}
