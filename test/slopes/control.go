package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/io/agent"
)

// measureControl counts what attempts and state reports add to a link.
func measureControl(re *report) error {
	ru := new(words)
	ags, err := startAgents(1, ru)
	if err != nil {
		return err
	}
	defer ags.cancel()
	pools, infs, cancel := startPools(1, ags.hosts)
	defer cancel()
	if err := awaitLinks(pools[0], 1); err != nil {
		return err
	}
	raw, err := generation(1, 10)
	if err != nil {
		return err
	}
	if _, err := infs[0].Adopt(raw); err != nil {
		return err
	}
	if err := ags.await(1); err != nil {
		return err
	}
	if err := measureAttempts(re, ags, pools[0], ru); err != nil {
		return err
	}
	if err := measureBills(re, ags, pools[0]); err != nil {
		return err
	}
	return measureReports(re)
}

func measureAttempts(re *report, ags *agents, po *agent.Pool, ru *words) error {
	var attempts, pieces []point
	ru.count.Store(0)
	for _, count := range []int{100, 500, 1000} {
		tr, err := runAttempts(ags, po, count)
		if err != nil {
			return err
		}
		attempts = append(attempts, point{float64(count), tr.bytes()})
	}
	const each = 50
	for _, count := range []int{10, 50, 200} {
		ru.count.Store(int64(count))
		tr, err := runAttempts(ags, po, each)
		if err != nil {
			return err
		}
		pieces = append(pieces, point{float64(count), tr.bytes()/each - float64(count*len(word))})
	}
	re.add("attempt-bytes", "bytes on a link for attempts without body and answer: hand-over, end, state, window updates", "attempt", bytesOf, attempts)
	re.add("token-bytes", "bytes on a link around the pieces of an answer, without the pieces", "token", bytesOf, pieces)
	return nil
}

func runAttempts(ags *agents, po *agent.Pool, count int) (traffic, error) {
	before := ags.meter.read()
	for range count {
		ans, err := po.Dispatch(context.Background(), ags.hosts[0].ID, &core.Attempt{
			ID: core.AttemptID(core.NewID()), Request: core.RequestID(core.NewID()),
			Workspace: "workspace-0001", Generation: 1, Target: desk, Stream: true,
		})
		if err != nil {
			return traffic{}, err
		}
		for err == nil {
			_, err = ans.Next()
		}
		if !errors.Is(err, io.EOF) {
			return traffic{}, err
		}
	}
	time.Sleep(50 * time.Millisecond)
	return ags.meter.read().since(before), nil
}

// measureBills counts the messages that follow an answer: what was billed, to
// the agent that did the work, and that it is durable, to all agents.
func measureBills(re *report, ags *agents, po *agent.Pool) error {
	raw, err := json.Marshal(bill())
	if err != nil {
		return err
	}
	var settled, durable []point
	for _, count := range []int{100, 500, 1000} {
		before := ags.meter.read()
		for range count {
			po.Settle(ags.hosts[0].ID, core.RequestID(core.NewID()), core.AttemptID(core.NewID()), raw)
		}
		time.Sleep(100 * time.Millisecond)
		settled = append(settled, point{float64(count), ags.meter.read().since(before).bytes()})
	}
	re.add("settled-bytes", "bytes that tell an agent of bills with one stage", "request", bytesOf, settled)
	for _, size := range []int{10, 50, 200} {
		many, err := startAgents(size, new(words))
		if err != nil {
			return err
		}
		pools, _, cancel := startPools(1, many.hosts)
		val, err := durableAt(many, pools[0])
		cancel()
		many.cancel()
		if err != nil {
			return err
		}
		durable = append(durable, point{float64(size), val})
	}
	re.add("durable-bytes", "bytes that tell agents that one request's bill is durable, in batches of 100", "link of the entry", bytesOf, durable)
	return nil
}

func durableAt(ags *agents, po *agent.Pool) (float64, error) {
	if err := awaitLinks(po, len(ags.hosts)); err != nil {
		return 0, err
	}
	time.Sleep(300 * time.Millisecond)
	const batch = 100
	var ids []core.RequestID
	for range batch {
		ids = append(ids, core.RequestID(core.NewID()))
	}
	before := ags.meter.read()
	po.Durable(ids)
	time.Sleep(300 * time.Millisecond)
	return ags.meter.read().since(before).bytes() / batch, nil
}

// held is a runner whose answers last until they are released.
type held struct {
	mu      sync.Mutex
	release chan struct{}
}

// Run implements [core.Runner].
func (he *held) Run(context.Context, *core.Attempt) (core.Answer, error) {
	he.mu.Lock()
	defer he.mu.Unlock()
	return &heldAnswer{until: he.release}, nil
}

type heldAnswer struct {
	wordsAnswer
	until chan struct{}
}

func (ha *heldAnswer) Next() ([]byte, error) {
	<-ha.until
	return nil, io.EOF
}

// measureReports changes an agent's load in every second, and counts what its
// links carry beyond the same links at rest.
func measureReports(re *report) error {
	var pts []point
	for _, size := range []int{10, 50, 200} {
		val, err := reportsAt(size)
		if err != nil {
			return err
		}
		pts = append(pts, point{float64(size), val})
	}
	re.add("report-bytes", "bytes for state reports of an agent whose load changes each second, both ways, keep-alives taken off", "link", bytesPerSecond, pts)
	return nil
}

func reportsAt(size int) (float64, error) {
	he := &held{release: make(chan struct{})}
	ags, err := startAgents(1, he)
	if err != nil {
		return 0, err
	}
	defer ags.cancel()
	pools, infs, cancel := startPools(size, ags.hosts)
	defer cancel()
	for _, po := range pools {
		if err := awaitLinks(po, 1); err != nil {
			return 0, err
		}
	}
	raw, err := generation(1, 10)
	if err != nil {
		return 0, err
	}
	for _, inf := range infs {
		_, _ = inf.Adopt(raw)
	}
	if err := ags.await(1); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	const lasts = 4
	before := ags.meter.read()
	time.Sleep(lasts * time.Second)
	quiet := ags.meter.read().since(before)
	before = ags.meter.read()
	var wg sync.WaitGroup
	for range lasts {
		wg.Go(func() { _, _ = runAttempts(ags, pools[0], 1) })
		time.Sleep(time.Second)
	}
	busy := ags.meter.read().since(before)
	close(he.release)
	wg.Wait()
	return (busy.bytes() - quiet.bytes()) / lasts, nil
}
