package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/ledger"
	"skylarkstand/io/agent"
)

// measureControl measures the bytes that attempts, bills and state reports add to a link.
func measureControl(re *report) error {
	ru := new(tokenRunner)
	ags, err := startAgents(1, ru)
	if err != nil {
		return err
	}
	defer ags.cancel()
	pools, infs, cancel := startPools(1, ags.hosts)
	defer cancel()
	if err := ags.awaitLinks(1); err != nil {
		return err
	}
	raw, err := encodeGeneration(1, 10)
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

// measureAttempts measures attempts without tokens, and the bytes around each token of an answer.
func measureAttempts(re *report, ags *agents, po *agent.Pool, ru *tokenRunner) error {
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
		pieces = append(pieces, point{float64(count), tr.bytes()/each - float64(count*len(tokenEvent))})
	}
	re.add("attempt-bytes", "bytes on a link for attempts without body and answer: hand-over, end, state, window updates", "attempt", byteCount, attempts)
	re.add("token-bytes", "bytes on a link around the pieces of an answer, without the pieces", "token", byteCount, pieces)
	return nil
}

// runAttempts runs attempts one after the other and returns their traffic.
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

// measureBills measures the messages that follow an answer: the bill, and the confirmation that it
// is durable. The bills of an entry's segment usually belong to different agents, so each
// confirmation is a message of its own.
func measureBills(re *report, ags *agents, po *agent.Pool) error {
	raw, err := json.Marshal(ledger.Copy{Floor: ledger.Floor{Own: 1000, Takeover: 1}, Bill: newBill()})
	if err != nil {
		return err
	}
	var settled, durable []point
	for _, count := range []int{100, 500, 1000} {
		var ids []core.AttemptID
		before := ags.meter.read()
		for range count {
			ids = append(ids, core.AttemptID(core.NewID()))
			po.ReportBill(ags.hosts[0].ID, core.RequestID(core.NewID()), ids[len(ids)-1], raw)
		}
		time.Sleep(deliveryTime)
		settled = append(settled, point{float64(count), ags.meter.read().since(before).bytes()})
		before = ags.meter.read()
		for _, id := range ids {
			po.ReportDurable([]core.AttemptID{id})
		}
		time.Sleep(deliveryTime)
		durable = append(durable, point{float64(count), ags.meter.read().since(before).bytes()})
	}
	re.add("settled-bytes", "bytes that tell an agent of bills with one stage", "request", byteCount, settled)
	re.add("durable-bytes", "bytes that tell an agent that bills are durable, one bill a message", "request", byteCount, durable)
	return nil
}

// blockingRunner is a runner whose answers end when release is closed.
type blockingRunner struct {
	mu      sync.Mutex
	release chan struct{}
}

// Run implements [core.Runner].
func (br *blockingRunner) Run(context.Context, *core.Attempt) (core.Answer, error) {
	br.mu.Lock()
	defer br.mu.Unlock()
	return &blockingAnswer{until: br.release}, nil
}

type blockingAnswer struct {
	tokenAnswer
	until chan struct{}
}

func (ba *blockingAnswer) Next() ([]byte, error) {
	<-ba.until
	return nil, io.EOF
}

// measureReports changes an agent's load every second and measures the traffic of its links, minus
// the traffic of the same links when idle.
func measureReports(re *report) error {
	var pts []point
	for _, size := range []int{10, 50, 200} {
		val, err := reportBytes(size)
		if err != nil {
			return err
		}
		pts = append(pts, point{float64(size), val})
	}
	re.add("report-bytes", "bytes for state reports of an agent whose load changes each second, both ways, keep-alives taken off", "link", bytesPerSecond, pts)
	return nil
}

// reportBytes returns the bytes per second for state reports to a number of entries.
func reportBytes(size int) (float64, error) {
	br := &blockingRunner{release: make(chan struct{})}
	ags, err := startAgents(1, br)
	if err != nil {
		return 0, err
	}
	defer ags.cancel()
	pools, infs, cancel := startPools(size, ags.hosts)
	defer cancel()
	if err := ags.awaitLinks(size); err != nil {
		return 0, err
	}
	raw, err := encodeGeneration(1, 10)
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
	const measuredSeconds = 4
	before := ags.meter.read()
	time.Sleep(measuredSeconds * time.Second)
	quiet := ags.meter.read().since(before)
	before = ags.meter.read()
	var wg sync.WaitGroup
	for range measuredSeconds {
		wg.Go(func() { _, _ = runAttempts(ags, pools[0], 1) })
		time.Sleep(time.Second)
	}
	busy := ags.meter.read().since(before)
	close(br.release)
	wg.Wait()
	return (busy.bytes() - quiet.bytes()) / measuredSeconds, nil
}
