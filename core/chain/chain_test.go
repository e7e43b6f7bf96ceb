package chain_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkstand/core/chain"
	"skylarkstand/test/fakestore"
	"skylarkstand/test/property"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) { property.Main(m, "4") }

// noDeadline hides the deadline of a test, which cannot be read in a synctest bubble.
type noDeadline struct{ testing.TB }

// operation is a create or read of one entry; a read has no nonce.
type operation struct {
	number uint64
	nonce  string
}

// outcome is the result of an operation: its error, or the nonce that was read.
type outcome struct {
	nonce string
	err   error
}

// harness runs writers, readers and compactions over one chain.
type harness struct {
	st    *fakestore.Store
	ch    *chain.Chain
	tasks sync.WaitGroup

	mu         sync.Mutex
	lastNonce  int
	violations []string
	history    []porcupine.Operation
}

func newHarness() *harness {
	st := fakestore.New()
	return &harness{st: st, ch: chain.New(st, "row")}
}

func (ha *harness) record(in operation, fn func() outcome) {
	called := time.Now().UnixNano()
	out := fn()
	op := porcupine.Operation{Input: in, Output: out, Call: called, Return: time.Now().UnixNano()}
	if errors.Is(out.err, chain.ErrOutcomeUnknown) {
		op.Return = math.MaxInt64
	}
	ha.mu.Lock()
	defer ha.mu.Unlock()
	op.ClientId = len(ha.history)
	ha.history = append(ha.history, op)
}

// write starts a writer that looks up the last entry, is paused, and writes the next entry.
func (ha *harness) write(pause, deadline time.Duration, seal bool) {
	ha.mu.Lock()
	ha.lastNonce++
	nonce := fmt.Sprintf("nonce-%d", ha.lastNonce)
	ha.mu.Unlock()
	ha.tasks.Go(func() {
		last, err := ha.ch.Last(context.Background())
		if err != nil || last.Seal {
			return
		}
		time.Sleep(pause)
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		defer cancel()
		n := last.Number + 1
		if seal {
			_ = ha.ch.Seal(ctx, n)
			return
		}
		ha.record(operation{n, nonce}, func() outcome {
			return outcome{err: ha.ch.CreateAs(ctx, n, nonce, fmt.Appendf(nil, "%q", nonce))}
		})
	})
}

func (ha *harness) read(n uint64) {
	ha.tasks.Go(func() {
		en, err := ha.ch.Read(context.Background(), n)
		if err == nil && !en.Seal && string(en.Payload) != fmt.Sprintf("%q", en.Nonce) {
			ha.addViolation("entry %d holds the payload %s, its nonce is %s", n, en.Payload, en.Nonce)
		}
		if !errors.Is(err, chain.ErrStoreUnavailable) && !en.Seal {
			ha.record(operation{number: n}, func() outcome { return outcome{nonce: en.Nonce, err: err} })
		}
	})
}

// compact replaces the entries up to the one before the last by a snapshot of their nonces, which
// it reads as a reader does: the snapshot and the entries after it.
func (ha *harness) compact() {
	ha.tasks.Go(func() {
		sum, last, err := ha.readAll()
		if err != nil || last < 2 || len(sum) < int(last) {
			return
		}
		err = ha.ch.Compact(context.Background(), last-1, fmt.Appendf(nil, "%q", fmt.Sprint(sum[:last-1])))
		if errors.Is(err, chain.ErrNotAccepted) {
			ha.addViolation("entry %d was read but Compact reports that it is not accepted", last)
		}
	})
}

// readAll returns the nonces of all entries, and the number of the last entry. Entries that the
// snapshot replaces may be pruned.
func (ha *harness) readAll() ([]string, uint64, error) {
	sn, err := ha.ch.Snapshot(context.Background())
	if err != nil {
		return nil, 0, err
	}
	var nonces []string
	for n := uint64(1); ; n++ {
		en, err := ha.ch.Read(context.Background(), n)
		switch {
		case errors.Is(err, chain.ErrAbsent):
			return nonces, n - 1, nil
		case errors.Is(err, chain.ErrPruned) && n <= sn.Through:
		case errors.Is(err, chain.ErrPruned):
			return nil, 0, err // Compacted again since the snapshot was read.
		case err != nil:
			return nil, 0, err
		}
		nonces = append(nonces, en.Nonce)
	}
}

func (ha *harness) addViolation(format string, args ...any) {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	ha.violations = append(ha.violations, fmt.Sprintf(format, args...))
}

// Writers race for the next entry, are paused before they write and resume on a sealed or compacted
// chain, while the store loses replies, applies writes late and is down. A broken chain shows as an
// accepted configuration that is missing or changed, or as an entry that two operators both
// report as their own.
func TestChainAcceptsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			ha := newHarness()
			defer ha.tasks.Wait()
			rt.Repeat(ha.actions())
			ha.st.SetFaults(fakestore.Faults{})
			ha.tasks.Wait()
			ha.st.ApplyLateWrites()
			ha.checkFinalState(rt)
		})
	})
}

func (ha *harness) actions() map[string]func(*rapid.T) {
	durations := func(ds ...time.Duration) *rapid.Generator[time.Duration] { return rapid.SampledFrom(ds) }
	return map[string]func(*rapid.T){
		"write": func(rt *rapid.T) {
			pause := durations(0, 0, 10*time.Millisecond, time.Minute).Draw(rt, "pause")
			deadline := durations(time.Millisecond, time.Second, time.Hour).Draw(rt, "deadline")
			ha.write(pause, deadline, rapid.IntRange(0, 15).Draw(rt, "seal") == 0)
		},
		"read": func(rt *rapid.T) { ha.read(rapid.Uint64Range(1, 6).Draw(rt, "number")) },
		"fold": func(*rapid.T) { ha.compact() },
		"land": func(*rapid.T) { ha.st.ApplyLateWrites() },
		"wait": func(rt *rapid.T) { time.Sleep(durations(time.Millisecond, time.Second).Draw(rt, "time")) },
		"faults": func(rt *rapid.T) {
			ha.st.SetFaults(fakestore.Faults{
				Down:      rapid.IntRange(0, 4).Draw(rt, "down") == 0,
				LoseReply: 0.2, LoseWrite: 0.1, DelayWrite: 0.2, Refuse: 0.1,
				WriteDelay: durations(0, 30*time.Millisecond, time.Second).Draw(rt, "late"),
				Latency:    durations(0, 5*time.Millisecond).Draw(rt, "latency"),
			})
		},
	}
}

func (ha *harness) checkFinalState(rt *rapid.T) {
	if len(ha.violations) > 0 {
		rt.Fatal(ha.violations)
	}
	nonces, last, err := ha.readAll()
	assert.NilError(rt, err)
	sn, err := ha.ch.Snapshot(context.Background())
	assert.NilError(rt, err)
	if want := fmt.Sprintf("%q", fmt.Sprint(nonces[:sn.Through])); sn.Through > 0 && string(sn.Payload) != want {
		rt.Fatalf("the snapshot holds %s, the chain %s", sn.Payload, want)
	}
	end, err := ha.ch.Last(context.Background())
	assert.NilError(rt, err)
	assert.Equal(rt, end.Number, last)
	seen := map[string]uint64{}
	for i, nonce := range nonces {
		if seen[nonce] != 0 {
			rt.Fatalf("nonce %s is in entry %d and in entry %d", nonce, seen[nonce], i+1)
		}
		seen[nonce] = uint64(i + 1)
	}
	for n := uint64(1); n <= last+1; n++ {
		ha.checkLinearizable(rt, n)
	}
}

// checkLinearizable checks an entry's history against a register that is written once.
func (ha *harness) checkLinearizable(rt *rapid.T, n uint64) {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, in, out any) []any { return step(state.(string), in.(operation), out.(outcome)) },
	}
	var ops []porcupine.Operation
	for _, op := range ha.history {
		if op.Input.(operation).number == n {
			ops = append(ops, op)
		}
	}
	if !porcupine.CheckOperations(model.ToModel(), ops) {
		rt.Fatalf("the history of entry %d is not linearizable: %+v", n, ops)
	}
}

// step returns the possible contents of an entry after an operation. Seals are not in the history,
// so an absent entry may be one.
func step(before string, in operation, out outcome) []any {
	switch {
	case in.nonce == "" && errors.Is(out.err, chain.ErrPruned):
		return []any{before}
	case in.nonce == "" && out.nonce == before:
		return []any{before}
	case in.nonce == "":
		return nil
	case out.err == nil && before == "":
		return []any{in.nonce}
	case out.err == nil:
		return nil
	case errors.Is(out.err, chain.ErrOutcomeUnknown) && before == "":
		return []any{"", in.nonce}
	case errors.Is(out.err, chain.ErrTaken) && before == "":
		return nil
	default:
		return []any{before}
	}
}

// A compacted chain is read by a process that starts months later, and a writer that was paused
// since the first entry resumes on it. The reader must find everything in the snapshot and the
// entries after it; the writer must get ErrTaken, although the entry that it tries to write was
// pruned.
func TestCompactedChain(t *testing.T) {
	st := fakestore.New()
	ch := chain.New(st, "row")
	for n := uint64(1); n <= 9; n++ {
		assert.NilError(t, ch.Create(t.Context(), n, fmt.Appendf(nil, "%d", n)))
	}
	assert.ErrorIs(t, ch.Compact(t.Context(), 9, []byte(`"nine"`)), chain.ErrNotAccepted)
	assert.NilError(t, ch.Compact(t.Context(), 4, []byte(`"four"`)))
	assert.NilError(t, ch.Compact(t.Context(), 8, []byte(`"eight"`)))
	assert.NilError(t, ch.Compact(t.Context(), 6, []byte(`"six"`)))
	sn, err := ch.Snapshot(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, sn.Through, uint64(8))
	assert.Equal(t, string(sn.Payload), `"eight"`)
	for n, want := range map[uint64]error{4: chain.ErrPruned, 5: nil, 9: nil, 10: chain.ErrAbsent} {
		_, err := ch.Read(t.Context(), n)
		assert.ErrorIs(t, err, want)
	}
	assert.ErrorIs(t, ch.Create(t.Context(), 2, []byte("2")), chain.ErrTaken)
	head, err := st.Get(t.Context(), "row/head")
	assert.NilError(t, err)
	for _, hint := range []string{"1", "8", "9", "77", "broken"} {
		rev, err := st.Swap(t.Context(), "row/head", head.Revision, []byte(hint))
		assert.NilError(t, err)
		head.Revision = rev
		last, err := ch.Last(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, last.Number, uint64(9))
	}
}
