package ledger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkstand/core"
	"skylarkstand/core/ledger"
	"skylarkstand/test/property"
)

// harness is one entry process, the agent that works for it and two entries that may become its
// successors. Each entry has its own faulty connection to one store.
type harness struct {
	st           *memoryStore
	stores       []*faultyStore
	led          *ledger.Writer
	successors   []*ledger.Successor
	ownSuccessor *ledger.Successor
	// bills is the number of bills whose copies the agent received.
	bills int
	dead  bool

	mu         sync.Mutex
	copies     map[core.AttemptID]ledger.Copy
	violations []string
}

// smallMemory is a bound on memory that a few bills reach, so that some do not fit.
const smallMemory = 900

func newHarness(t *rapid.T) *harness {
	ha := &harness{st: newMemoryStore(), copies: map[core.AttemptID]ledger.Copy{}}
	seed := rapid.Uint64().Draw(t, "seed")
	deps := core.NewDeps()
	deps.Self = "gone"
	ha.led = ledger.New(deps, ha.newStore(seed), ledger.MaxWaitingBytes(smallMemory), ledger.OnDurable(ha.forget))
	ha.ownSuccessor = ledger.NewSuccessor(deps, ha.stores[0], ha.led)
	for i := range 2 {
		deps.Self = core.ProcessID(fmt.Sprint("successor-", i))
		fs := ha.newStore(seed + uint64(i) + 1)
		ha.successors = append(ha.successors, ledger.NewSuccessor(deps, fs, ledger.New(deps, fs)))
	}
	return ha
}

func (ha *harness) newStore(seed uint64) *faultyStore {
	fs := &faultyStore{Store: ha.st, rng: rand.New(rand.NewPCG(seed, 1)), faultShare: 0.3}
	ha.stores = append(ha.stores, fs)
	return fs
}

// forget drops the agent's copies of bills that are reported durable, and checks that these are in
// the store.
func (ha *harness) forget(ids []core.AttemptID) {
	acc, err := ledger.Sum(context.Background(), ha.st)
	stored := map[core.AttemptID]bool{}
	for _, bi := range acc.Bills {
		stored[bi.ID()] = true
	}
	ha.mu.Lock()
	defer ha.mu.Unlock()
	for _, id := range ids {
		if err != nil || !stored[id] {
			ha.violations = append(ha.violations, fmt.Sprintf("bill %s was reported durable but is not in the store", id))
		}
		delete(ha.copies, id)
	}
}

// settleRequest ends a request at the entry: it files the bill and hands the agent a copy.
func (ha *harness) settleRequest(*rapid.T) {
	if ha.dead {
		return
	}
	ha.bills++
	co := ledger.Copy{Floor: ha.led.Floor(), Bill: newBill(fmt.Sprintf("at-%03d", ha.bills))}
	ha.led.Add(co.Bill)
	ha.mu.Lock()
	defer ha.mu.Unlock()
	ha.copies[co.Bill.ID()] = co
}

func (ha *harness) write(*rapid.T) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = ha.led.Flush(ctx)
	}()
}

// offer offers the agent's copies to a successor, or to the entry itself.
func (ha *harness) offer(t *rapid.T) {
	su := rapid.SampledFrom(append(ha.successors, ha.ownSuccessor)).Draw(t, "successor")
	if held := ha.held(); len(held) > 0 && (su != ha.ownSuccessor || !ha.dead) {
		go ha.file(su, held)
	}
}

func (ha *harness) held() []ledger.Copy {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	var held []ledger.Copy
	for _, co := range ha.copies {
		held = append(held, co)
	}
	return held
}

func (ha *harness) file(su *ledger.Successor, held []ledger.Copy) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if done, err := su.File(ctx, "gone", held); err == nil {
		ha.forget(done)
	}
}

// crashSometimes ends the entry, in one of ten calls.
func (ha *harness) crashSometimes(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "dies") == 0 {
		ha.dead = true
		ha.stores[0].set(1, true)
	}
}

func (ha *harness) wait(t *rapid.T) {
	time.Sleep(time.Duration(rapid.Int64Range(1, int64(30*time.Second)).Draw(t, "time")))
}

// check runs after each action: no bill is stored twice, no entry is missing.
func (ha *harness) check(t *rapid.T) {
	acc, err := ledger.Sum(context.Background(), ha.st)
	assert.NilError(t, err)
	assert.Equal(t, len(acc.Duplicated), 0, "bills stored twice: %v", acc.Duplicated)
	assert.Equal(t, len(acc.Faults), 0, "faults: %v", acc.Faults)
	ha.mu.Lock()
	defer ha.mu.Unlock()
	assert.Equal(t, len(ha.violations), 0, "%v", ha.violations)
}

// finish removes the store's faults, waits until every pause has passed, and has one successor file
// the agent's remaining copies. Then each bill must be stored exactly once.
func (ha *harness) finish(t *rapid.T) {
	for _, fs := range ha.stores {
		fs.set(0, fs.isDead())
	}
	time.Sleep(time.Hour)
	if !ha.dead {
		assert.NilError(t, ha.led.Flush(context.Background()))
	}
	if held := ha.held(); len(held) > 0 {
		ha.file(ha.successors[0], held)
	}
	ha.check(t)
	acc, err := ledger.Sum(context.Background(), ha.st)
	assert.NilError(t, err)
	assert.Equal(t, len(ha.held()), 0)
	assert.Equal(t, len(acc.Bills), ha.bills)
}

// The store loses replies, refuses calls, and applies writes late; the entry and its successors are
// paused in the middle of a write, resume much later, or die. Agents offer their copies whenever
// they consider the entry gone. Whatever the order, the account must show each complete answer
// exactly once.
func TestEachBillIsStoredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { rapid.SyncTest(t, runSequence) })
}

func runSequence(t *rapid.T) {
	ha := newHarness(t)
	t.Repeat(map[string]func(*rapid.T){
		"settle": ha.settleRequest, "settle-2": ha.settleRequest, "write": ha.write, "write-2": ha.write,
		"offer": ha.offer, "offer-2": ha.offer, "die": ha.crashSometimes, "pass": ha.wait, "pass-2": ha.wait,
		"": ha.check,
	})
	ha.finish(t)
}

// By default the property test runs with one seed and takes a second or two. rapid's flags override
// the seed and the number of checks.
const (
	seed   = "7"
	checks = "500"
)

func TestMain(m *testing.M) {
	property.Main(m, seed, property.Setting{Name: "rapid.checks", Value: checks})
}
