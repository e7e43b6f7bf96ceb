package main

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"skylarkstand/test/figure"
	"skylarkstand/test/fleet"
)

// measurePath compares requests through entry and agent with direct requests to the same engine, in
// one run.
func measurePath() error {
	if err := measureFirstByte(); err != nil {
		return err
	}
	if err := measureTokens(); err != nil {
		return err
	}
	return measureIdle()
}

// pathRate is in requests per second.
const (
	pathRate = 1000
	pathTime = 6 * time.Second
)

// measureFirstByte measures the added time to the first byte and the throughput. Answers have a
// single chunk, so that the cost of the path dominates.
func measureFirstByte() error {
	ri, cleanup, err := newRig("first-byte", "--first", "1ms", "--pace", "0s", "--words", "1")
	if err != nil {
		return err
	}
	defer cleanup()
	ri.openLoop(ri.entry.URL, pathRate, time.Second, false) // Opens connections.
	ri.openLoop(ri.engine.URL, pathRate, time.Second, false)
	direct, _, _ := ri.openLoop(ri.engine.URL, pathRate, pathTime, false)
	through, _, failed := ri.openLoop(ri.entry.URL, pathRate, pathTime, false)
	added := func(q float64) float64 { return millis(through, q) - millis(direct, q) }
	figure.Unbounded("direct-first-byte-p50", millis(direct, 50), "ms")
	figure.Unbounded("direct-first-byte-p99", millis(direct, 99), "ms")
	figure.AtMost("added-first-byte-p50", added(50), "ms", 0.5)
	figure.AtMost("added-first-byte-p99", added(99), "ms", 3)
	figure.AtMost("first-byte-failed", float64(failed), "requests", 0)

	rate, bad := ri.closedLoop(ri.entry.URL, 256, pathTime, false)
	figure.AtLeast("requests-per-second", rate, "1/s", 5000)
	figure.AtMost("requests-failed", float64(bad), "requests", 0)
	return nil
}

// measureTokens measures the added gap between tokens and the tokens per core-second with long
// streams.
func measureTokens() error {
	ri, cleanup, err := newRig("tokens", "--first", "1ms", "--pace", "10ms", "--words", "100")
	if err != nil {
		return err
	}
	defer cleanup()
	const streams = 100
	_, direct, _ := ri.openLoop(ri.engine.URL, streams, 4*time.Second, true)
	before, err := pathUsage(ri)
	if err != nil {
		return err
	}
	_, through, failed := ri.openLoop(ri.entry.URL, streams, 4*time.Second, true)
	after, err := pathUsage(ri)
	if err != nil {
		return err
	}
	figure.Unbounded("direct-token-gap-p95", millis(direct, 95), "ms")
	figure.AtMost("added-token-gap-p95", millis(through, 95)-millis(direct, 95), "ms", 1)
	figure.AtMost("streams-failed", float64(failed), "streams", 0)
	tokens := float64(4 * streams * 100)
	figure.AtLeast("tokens-per-core-second-paced", tokens/(after-before).Seconds(), "1/s", 200_000)
	return measureTokenBurst()
}

// measureTokenBurst measures tokens that the engine sends as fast as possible: they arrive together
// and are relayed together, as with speculative decoding.
func measureTokenBurst() error {
	ri, cleanup, err := newRig("burst", "--first", "1ms", "--pace", "0s", "--words", "400")
	if err != nil {
		return err
	}
	defer cleanup()
	before, err := pathUsage(ri)
	if err != nil {
		return err
	}
	const duration = 4 * time.Second
	rate, _ := ri.closedLoop(ri.entry.URL, 16, duration, true)
	after, err := pathUsage(ri)
	if err != nil {
		return err
	}
	figure.AtLeast("tokens-per-core-second-burst", rate*400*duration.Seconds()/(after-before).Seconds(), "1/s", 200_000)
	return nil
}

// pathUsage returns the sum of the processor times of entry and agent.
func pathUsage(ri *rig) (time.Duration, error) {
	en, err := ri.entry.Usage()
	if err != nil {
		return 0, err
	}
	ag, err := ri.agent.Usage()
	return en.Processor + ag.Processor, err
}

// measureIdle measures processes without load.
func measureIdle() error {
	ri, cleanup, err := newRigWith("idle", true, nil)
	if err != nil {
		return err
	}
	defer cleanup()
	const idle = 10 * time.Second
	time.Sleep(time.Second)
	en, err := ri.entry.Usage()
	if err != nil {
		return err
	}
	ag, err := ri.agent.Usage()
	if err != nil {
		return err
	}
	reads, writes, err := storeCounts(ri.fl)
	if err != nil {
		return err
	}
	forwarded := ri.fl.Relay("desk-1").BytesForwarded()
	time.Sleep(idle)
	forwarded = ri.fl.Relay("desk-1").BytesForwarded() - forwarded
	en2, err := ri.entry.Usage()
	if err != nil {
		return err
	}
	ag2, err := ri.agent.Usage()
	if err != nil {
		return err
	}
	reads2, writes2, err := storeCounts(ri.fl)
	if err != nil {
		return err
	}
	figure.AtMost("idle-entry-resident", megabytes(en2), "MB", 64)
	figure.AtMost("idle-agent-resident", megabytes(ag2), "MB", 64)
	figure.AtMost("idle-entry-processor", 100*(en2.Processor-en.Processor).Seconds()/idle.Seconds(), "%core", 1.2)
	figure.AtMost("idle-agent-processor", 100*(ag2.Processor-ag.Processor).Seconds()/idle.Seconds(), "%core", 1.2)
	figure.Unbounded("idle-link-bytes-both-ways", float64(forwarded)/idle.Seconds(), "B/s")
	figure.Unbounded("idle-store-calls", float64(reads2+writes2-reads-writes)/idle.Seconds(), "1/s")
	return nil
}

// millis returns a quantile of a histogram of microseconds, in milliseconds.
func millis(hi *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(hi.ValueAtQuantile(quantile)) / 1000
}

func megabytes(us fleet.Usage) float64 { return float64(us.Resident) / (1 << 20) }
