package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/chain"
	"skylarkstand/core/claim"
	"skylarkstand/core/declaration/publish"
	"skylarkstand/core/ledger"
	"skylarkstand/io/store"
	"skylarkstand/test/fleet"
)

// measureStore measures the calls of the platform's store by entries, agents, claims and ledgers.
func measureStore(re *report) error {
	if err := measureEntryCalls(re); err != nil {
		return err
	}
	fl, cleanup, err := newFleet("calls")
	if err != nil {
		return err
	}
	defer cleanup()
	if err := measureAgentCalls(re, fl); err != nil {
		return err
	}
	if err := measureClaims(re, fl); err != nil {
		return err
	}
	return measureLedger(re, fl)
}

// storeCalls is a snapshot of the counters of the store's stand-in, or the difference of two.
type storeCalls struct{ Reads, Writes float64 }

func callsOf(fl *fleet.Fleet) (storeCalls, error) {
	var sc storeCalls
	return sc, fleet.GetJSON(fl.StoreURL+"/counts", &sc)
}

// entryCase is a set of entries, evenly distributed over zones.
type entryCase struct {
	zones, perZone int
	// startReads is the reads of all starts together, idleRate the calls per second once all
	// entries have discovered each other.
	startReads, idleRate float64
	err                  error
}

const (
	// discoveryTime is the time after which entries have discovered each other and only the readers
	// still watch the store: a refresh of the host list and a watch round.
	discoveryTime = 8 * time.Second
	idlePeriod    = 10 * time.Second
)

// measureEntryCalls measures the calls of entries. It runs all cases at the same time, since they
// mostly wait.
func measureEntryCalls(re *report) error {
	cases := []entryCase{
		{zones: 1, perZone: 2}, {zones: 1, perZone: 6}, {zones: 1, perZone: 12}, {zones: 2, perZone: 2}, {zones: 4, perZone: 2},
	}
	var wg sync.WaitGroup
	for i := range cases {
		wg.Go(func() { cases[i].err = cases[i].run() })
	}
	wg.Wait()
	var start, idleEntries, idleZones []point
	for _, ec := range cases {
		if ec.err != nil {
			return ec.err
		}
		if ec.zones == 1 {
			start = append(start, point{float64(ec.perZone), ec.startReads})
			idleEntries = append(idleEntries, point{float64(ec.perZone), ec.idleRate})
		}
		if ec.perZone == 2 {
			idleZones = append(idleZones, point{float64(ec.zones), ec.idleRate})
		}
	}
	re.add("entry-start-reads", "reads of the store while the entries of one zone start, one after the other", "entry", calls, start)
	re.add("entry-idle-calls", "calls of the store by the entries of one zone at rest, watch rounds included", "entry", callsPerSecond, idleEntries)
	re.add("zone-idle-calls", "calls of the store at rest, two entries a zone", "zone", callsPerSecond, idleZones)
	return nil
}

// run starts the entries one after the other and then leaves them idle.
func (ec *entryCase) run() error {
	fl, cleanup, err := newFleet(fmt.Sprintf("entries-%d-%d", ec.zones, ec.perZone))
	if err != nil {
		return err
	}
	defer cleanup()
	ch := chain.New(store.New(fl.StoreURL), publish.Chain)
	for num := range core.Generation(3) {
		raw, err := encodeGeneration(num+1, 10)
		if err != nil {
			return err
		}
		if err := ch.Create(context.Background(), uint64(num+1), raw); err != nil {
			return err
		}
	}
	before, err := callsOf(fl)
	if err != nil {
		return err
	}
	for i := range ec.zones * ec.perZone {
		zone := fleet.Location{Zone: core.Zone(fmt.Sprintf("muc-%d", i%ec.zones)), Region: "muc"}
		if _, err := fl.StartEntry(fmt.Sprintf("entry-%d", i), zone, nil); err != nil {
			return err
		}
	}
	time.Sleep(discoveryTime)
	started, err := callsOf(fl)
	if err != nil {
		return err
	}
	time.Sleep(idlePeriod)
	after, err := callsOf(fl)
	ec.startReads = started.Reads - before.Reads
	ec.idleRate = (after.Reads + after.Writes - started.Reads - started.Writes) / idlePeriod.Seconds()
	return err
}

// measureAgentCalls measures the calls of agents that start.
func measureAgentCalls(re *report, fl *fleet.Fleet) error {
	var pts []point
	for _, count := range []int{1, 2, 4} {
		before, err := callsOf(fl)
		if err != nil {
			return err
		}
		for i := range count {
			if err := fl.StartEngine(fmt.Sprintf("start-%d-%d", count, i), desk, location); err != nil {
				return err
			}
		}
		time.Sleep(time.Second)
		after, err := callsOf(fl)
		if err != nil {
			return err
		}
		pts = append(pts, point{float64(count), after.Reads + after.Writes - before.Reads - before.Writes})
	}
	re.add("agent-start-calls", "calls of the store by agents that start", "agent", calls, pts)
	return nil
}

// measureClaims measures the calls of operations that run at most once: one after the other, and
// many of one service at the same time, whose claims share writes.
func measureClaims(re *report, fl *fleet.Fleet) error {
	var reads, writes, shared []point
	for _, count := range []int{10, 50, 200} {
		sequential, err := claimCalls(fl, count, false)
		if err != nil {
			return err
		}
		concurrent, err := claimCalls(fl, count, true)
		if err != nil {
			return err
		}
		num := float64(count)
		reads, writes = append(reads, point{num, sequential.Reads}), append(writes, point{num, sequential.Writes})
		shared = append(shared, point{num, concurrent.Writes})
	}
	re.add("claim-reads", "reads of the store for operations that run at most once, one after the other at one agent", "operation", calls, reads)
	re.add("claim-writes", "writes of the store for them", "operation", calls, writes)
	re.add("claim-together-writes", "writes of the store for such operations that come to one agent at the same time", "operation", calls, shared)
	return nil
}

// claimCalls returns the calls of a number of operations at one agent.
func claimCalls(fl *fleet.Fleet, count int, concurrent bool) (storeCalls, error) {
	tbl, cleanup := claim.New(core.NewDeps(), store.New(fl.StoreURL), claim.WriteBudget(1000))
	defer cleanup()
	before, err := callsOf(fl)
	if err != nil {
		return before, err
	}
	if err := runClaims(tbl, count, concurrent); err != nil {
		return before, err
	}
	after, err := callsOf(fl)
	return storeCalls{after.Reads - before.Reads, after.Writes - before.Writes}, err
}

// runClaims runs operations, concurrently or one after the other.
func runClaims(tbl *claim.Table, count int, concurrent bool) error {
	var wg sync.WaitGroup
	errs := make([]error, count)
	for i := range count {
		if !concurrent {
			errs[i] = runClaim(tbl)
			continue
		}
		wg.Go(func() { errs[i] = runClaim(tbl) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// runClaim claims and finishes one operation.
func runClaim(tbl *claim.Table) error {
	req := claim.Request{
		Key:    claim.Key{Workspace: "schools", Service: "subsidy", Operation: "claim", Idempotency: core.NewID()},
		Digest: "d", Attempt: core.AttemptID(core.NewID()),
	}
	if _, err := tbl.Claim(context.Background(), req); err != nil {
		return err
	}
	return tbl.Finish(context.Background(), req, claim.Answer{Status: 200, Body: []byte(`{}`)})
}

// measureLedger measures the calls of segments and the size of the bills in them. The intercept of
// the calls is the cost of listing the process, which occurs once.
func measureLedger(re *report, fl *fleet.Fleet) error {
	var reads, writes, bytes []point
	ctx := context.Background()
	for _, count := range []int{1, 4, 16} {
		led := ledger.New(core.NewDeps(), store.New(fl.StoreURL))
		before, err := callsOf(fl)
		if err != nil {
			return err
		}
		for range count {
			led.Add(newBill())
			if err := led.Flush(ctx); err != nil {
				return err
			}
		}
		after, err := callsOf(fl)
		if err != nil {
			return err
		}
		reads = append(reads, point{float64(count), after.Reads - before.Reads})
		writes = append(writes, point{float64(count), after.Writes - before.Writes})
	}
	for _, count := range []int{100, 500, 1500} {
		seg := ledger.Segment{}
		for range count {
			seg.Bills = append(seg.Bills, newBill())
		}
		raw, err := json.Marshal(seg)
		if err != nil {
			return err
		}
		bytes = append(bytes, point{float64(count), float64(len(raw))})
	}
	re.add("segment-reads", "reads of the store for ledger segments", "segment", calls, reads)
	re.add("segment-writes", "writes of the store for ledger segments", "segment", calls, writes)
	re.add("bill-size", "a segment, bills with one stage", "bill", byteCount, bytes)
	return nil
}

// newBill returns a bill with one stage.
func newBill() ledger.Bill {
	return ledger.Bill{
		Request: core.RequestID(core.NewID()), Workspace: "workspace-0001", When: time.Now(), Total: 123456, Content: ledger.Digest(nil),
		Lines: []ledger.Line{{Target: desk.String(), Attempt: core.AttemptID(core.NewID()), Usage: core.Usage{Prompt: 1000, Generated: 379}, Cost: 123456}},
	}
}
