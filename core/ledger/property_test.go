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
	wo := &harness{st: newMemoryStore(), copies: map[core.AttemptID]ledger.Copy{}}
	seed := rapid.Uint64().Draw(t, "seed")
	deps := core.NewDeps()
	deps.Self = "gone"
	wo.led = ledger.New(deps, wo.newStore(seed), ledger.MaxWaitingBytes(smallMemory), ledger.OnDurable(wo.forget))
	wo.ownSuccessor = ledger.NewSuccessor(deps, wo.stores[0], wo.led)
	for i := range 2 {
		deps.Self = core.ProcessID(fmt.Sprint("successor-", i))
		way := wo.newStore(seed + uint64(i) + 1)
		wo.successors = append(wo.successors, ledger.NewSuccessor(deps, way, ledger.New(deps, way)))
	}
	return wo
}

func (wo *harness) newStore(seed uint64) *faultyStore {
	fl := &faultyStore{Store: wo.st, rng: rand.New(rand.NewPCG(seed, 1)), faultShare: 0.3}
	wo.stores = append(wo.stores, fl)
	return fl
}

// forget drops the agent's copies of bills that are reported durable, and checks that these are in
// the store.
func (wo *harness) forget(ids []core.AttemptID) {
	acc, err := ledger.Sum(context.Background(), wo.st)
	stored := map[core.AttemptID]bool{}
	for _, bi := range acc.Bills {
		stored[bi.ID()] = true
	}
	wo.mu.Lock()
	defer wo.mu.Unlock()
	for _, id := range ids {
		if err != nil || !stored[id] {
			wo.violations = append(wo.violations, fmt.Sprintf("bill %s was reported durable but is not in the store", id))
		}
		delete(wo.copies, id)
	}
}

// settleRequest ends a request at the entry: it files the bill and hands the agent a copy.
func (wo *harness) settleRequest(*rapid.T) {
	if wo.dead {
		return
	}
	wo.bills++
	co := ledger.Copy{Floor: wo.led.Floor(), Bill: newBill(fmt.Sprintf("at-%03d", wo.bills))}
	wo.led.Add(co.Bill)
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.copies[co.Bill.ID()] = co
}

func (wo *harness) write(*rapid.T) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = wo.led.Flush(ctx)
	}()
}

// offer offers the agent's copies to a successor, or to the entry itself.
func (wo *harness) offer(t *rapid.T) {
	he := rapid.SampledFrom(append(wo.successors, wo.ownSuccessor)).Draw(t, "successor")
	if held := wo.held(); len(held) > 0 && (he != wo.ownSuccessor || !wo.dead) {
		go wo.file(he, held)
	}
}

func (wo *harness) held() []ledger.Copy {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	var held []ledger.Copy
	for _, co := range wo.copies {
		held = append(held, co)
	}
	return held
}

func (wo *harness) file(he *ledger.Successor, held []ledger.Copy) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if done, err := he.File(ctx, "gone", held); err == nil {
		wo.forget(done)
	}
}

// crashSometimes ends the entry, in one of ten calls.
func (wo *harness) crashSometimes(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "dies") == 0 {
		wo.dead = true
		wo.stores[0].set(1, true)
	}
}

func (wo *harness) wait(t *rapid.T) {
	time.Sleep(time.Duration(rapid.Int64Range(1, int64(30*time.Second)).Draw(t, "time")))
}

// check runs after each action: no bill is stored twice, no entry is missing.
func (wo *harness) check(t *rapid.T) {
	acc, err := ledger.Sum(context.Background(), wo.st)
	assert.NilError(t, err)
	assert.Equal(t, len(acc.Duplicated), 0, "bills stored twice: %v", acc.Duplicated)
	assert.Equal(t, len(acc.Faults), 0, "faults: %v", acc.Faults)
	wo.mu.Lock()
	defer wo.mu.Unlock()
	assert.Equal(t, len(wo.violations), 0, "%v", wo.violations)
}

// finish removes the store's faults, waits until every pause has passed, and has one successor file
// the agent's remaining copies. Then each bill must be stored exactly once.
func (wo *harness) finish(t *rapid.T) {
	for _, way := range wo.stores {
		way.set(0, way.isDead())
	}
	time.Sleep(time.Hour)
	if !wo.dead {
		assert.NilError(t, wo.led.Flush(context.Background()))
	}
	if held := wo.held(); len(held) > 0 {
		wo.file(wo.successors[0], held)
	}
	wo.check(t)
	acc, err := ledger.Sum(context.Background(), wo.st)
	assert.NilError(t, err)
	assert.Equal(t, len(wo.held()), 0)
	assert.Equal(t, len(acc.Bills), wo.bills)
}

// The store loses replies, refuses calls, and applies writes late; the entry and its successors are
// paused in the middle of a write, resume much later, or die. Agents offer their copies whenever
// they consider the entry gone. Whatever the order, the account must show each whole answer exactly
// once.
func TestEachBillIsStoredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { rapid.SyncTest(t, runSequence) })
}

func runSequence(t *rapid.T) {
	wo := newHarness(t)
	t.Repeat(map[string]func(*rapid.T){
		"settle": wo.settleRequest, "settle-2": wo.settleRequest, "write": wo.write, "write-2": wo.write,
		"offer": wo.offer, "offer-2": wo.offer, "die": wo.crashSometimes, "pass": wo.wait, "pass-2": wo.wait,
		"": wo.check,
	})
	wo.finish(t)
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
