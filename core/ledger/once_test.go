package ledger_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkstand/core"
	"skylarkstand/core/ledger"
)

// world is one entry process, the agent that works for it and two entries that
// may become its heirs. Each has its own faulty way to one store.
type world struct {
	st    *memory
	ways  []*flaky
	led   *ledger.Writer
	heirs []*ledger.Heir
	own   *ledger.Heir
	// bills counts those that the agent was told of.
	bills int
	dead  bool

	mu     sync.Mutex
	copies map[core.AttemptID]ledger.Copy
	wrong  []string
}

// small is a bound on memory that a few bills reach, so that some have no room.
const small = 900

func newWorld(t *rapid.T) *world {
	wo := &world{st: newMemory(), copies: map[core.AttemptID]ledger.Copy{}}
	seed := rapid.Uint64().Draw(t, "seed")
	deps := core.NewDeps()
	deps.Self = "gone"
	wo.led = ledger.New(deps, wo.way(seed), ledger.Memory(small), ledger.OnDurable(wo.forget))
	wo.own = ledger.NewHeir(deps, wo.ways[0], wo.led)
	for i := range 2 {
		deps.Self = core.ProcessID(fmt.Sprint("heir-", i))
		way := wo.way(seed + uint64(i) + 1)
		wo.heirs = append(wo.heirs, ledger.NewHeir(deps, way, ledger.New(deps, way)))
	}
	return wo
}

func (wo *world) way(seed uint64) *flaky {
	fl := &flaky{Store: wo.st, rng: rand.New(rand.NewPCG(seed, 1)), broken: 0.3}
	wo.ways = append(wo.ways, fl)
	return fl
}

// forget is what an agent does when it is told that bills are durable. They
// must stand in the store by then.
func (wo *world) forget(ids []core.AttemptID) {
	acc, err := ledger.Sum(context.Background(), wo.st)
	stands := map[core.AttemptID]bool{}
	for _, bi := range acc.Bills {
		stands[bi.ID()] = true
	}
	wo.mu.Lock()
	defer wo.mu.Unlock()
	for _, id := range ids {
		if err != nil || !stands[id] {
			wo.wrong = append(wo.wrong, fmt.Sprintf("bill %s was told durable and is not", id))
		}
		delete(wo.copies, id)
	}
}

// settle ends a request at the entry.
func (wo *world) settle(*rapid.T) {
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

func (wo *world) write(*rapid.T) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = wo.led.Flush(ctx)
	}()
}

// offer hands the agent's copies to an heir, or back to the entry itself.
func (wo *world) offer(t *rapid.T) {
	he := rapid.SampledFrom(append(wo.heirs, wo.own)).Draw(t, "heir")
	if held := wo.held(); len(held) > 0 && (he != wo.own || !wo.dead) {
		go wo.file(he, held)
	}
}

func (wo *world) held() []ledger.Copy {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	var held []ledger.Copy
	for _, co := range wo.copies {
		held = append(held, co)
	}
	return held
}

func (wo *world) file(he *ledger.Heir, held []ledger.Copy) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if done, err := he.File(ctx, "gone", held); err == nil {
		wo.forget(done)
	}
}

func (wo *world) die(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "dies") == 0 {
		wo.dead = true
		wo.ways[0].set(1, true)
	}
}

func (wo *world) pass(t *rapid.T) {
	time.Sleep(time.Duration(rapid.Int64Range(1, int64(30*time.Second)).Draw(t, "time")))
}

// check runs after each action: nothing stands twice, no entry is missing.
func (wo *world) check(t *rapid.T) {
	acc, err := ledger.Sum(context.Background(), wo.st)
	assert.NilError(t, err)
	assert.Equal(t, len(acc.Doubled), 0, "doubled: %v", acc.Doubled)
	assert.Equal(t, len(acc.Faults), 0, "faults: %v", acc.Faults)
	wo.mu.Lock()
	defer wo.mu.Unlock()
	assert.Equal(t, len(wo.wrong), 0, "%v", wo.wrong)
}

// end heals the store, lets every pause pass, and has one heir file what the
// agent still holds. Then each bill stands there once.
func (wo *world) end(t *rapid.T) {
	for _, way := range wo.ways {
		way.set(0, way.isDead())
	}
	time.Sleep(time.Hour)
	if !wo.dead {
		assert.NilError(t, wo.led.Flush(context.Background()))
	}
	if held := wo.held(); len(held) > 0 {
		wo.file(wo.heirs[0], held)
	}
	wo.check(t)
	acc, err := ledger.Sum(context.Background(), wo.st)
	assert.NilError(t, err)
	assert.Equal(t, len(wo.held()), 0)
	assert.Equal(t, len(acc.Bills), wo.bills)
}

// The store loses replies, refuses, and applies writes late; the entry and its
// heirs are paused in the middle of a write, wake much later, or die. Agents
// offer their copies whenever they take the entry for gone. A customer must
// find each whole answer on the account once, whatever the order.
func TestEachBillStandsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { rapid.SyncTest(t, live) })
}

func live(t *rapid.T) {
	wo := newWorld(t)
	t.Repeat(map[string]func(*rapid.T){
		"settle": wo.settle, "settle-2": wo.settle, "write": wo.write, "write-2": wo.write,
		"offer": wo.offer, "offer-2": wo.offer, "die": wo.die, "pass": wo.pass, "pass-2": wo.pass,
		"": wo.check,
	})
	wo.end(t)
}

// The usual run has one seed and takes a second or two; the flags of rapid set
// others.
const (
	seed   = "7"
	checks = "500"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, val := range map[string]string{"rapid.seed": seed, "rapid.checks": checks} {
		if fl := flag.Lookup(name); fl.Value.String() == fl.DefValue {
			_ = flag.Set(name, val)
		}
	}
	os.Exit(m.Run())
}
