package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"skylarkstand/core"
	"skylarkstand/test/fleet"
)

// rig is one engine with its agent, one entry, and a client that sends requests to it.
type rig struct {
	fl           *fleet.Fleet
	entry, agent *fleet.Process
	cli          *http.Client
}

// highLimits are agent settings with limits above any load that is offered here.
var highLimits = map[string]any{"slots": 8192, "queue": 8192, "log-level": "warn"}

// newRig starts a rig and waits for its first answer.
func newRig(name string, engine ...string) (*rig, func(), error) {
	fl, cleanup, err := newFleet(name)
	if err != nil {
		return nil, nil, err
	}
	ri := &rig{fl: fl, cli: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2048, MaxIdleConns: 4096}}}
	if err := ri.start(engine); err != nil {
		cleanup()
		return nil, nil, err
	}
	return ri, func() {
		ri.cli.CloseIdleConnections()
		cleanup()
	}, nil
}

func (ri *rig) start(engine []string) error {
	ri.fl.AgentSettings = highLimits
	if err := ri.fl.StartEngine("desk-1", desk, location, append([]string{"--slots", "8192"}, engine...)...); err != nil {
		return err
	}
	var err error
	if ri.entry, err = ri.fl.StartEntry("entry-1", location, map[string]any{"max-in-flight": 8192, "log-level": "warn"}); err != nil {
		return err
	}
	ri.agent = ri.fl.Process("desk-1")
	out, err := ri.fl.Command("apply", filepath.Join("test", "demo", "landesamt.jsonc"), "--store", ri.fl.StoreURL, "--why", "measure", "--who", "measure")
	if err != nil {
		return fmt.Errorf("%s: %w", out, err)
	}
	return poll("first answer", func() (bool, error) {
		return ri.request(context.Background(), "#words=1", false, func() {}) == nil, nil
	})
}

// request sends a request and reads its answer; it calls onFirstByte at the first byte of the body.
func (ri *rig) request(ctx context.Context, prompt string, stream bool, onFirstByte func()) error {
	body := fmt.Appendf(nil, `{"model":"desk","stream":%v,"messages":[{"role":"user","content":%q}]}`, stream, prompt)
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, ri.entry.URL+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	rq.Header.Set("Authorization", "Bearer schools-key")
	rq.Header.Set("X-Request-Id", core.NewID())
	rs, err := ri.cli.Do(rq)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return fmt.Errorf("the request was answered with status %d, want 200", rs.StatusCode)
	}
	var first [1]byte
	if _, err := io.ReadFull(rs.Body, first[:]); err != nil {
		return err
	}
	onFirstByte()
	_, err = io.Copy(io.Discard, rs.Body)
	return err
}

// offerLoad sends requests at a rate, in an open loop that does not wait for answers, and returns the
// processor time per second of entry and agent.
func (ri *rig) offerLoad(rate int, duration time.Duration, stream bool) (entry, agent float64, err error) {
	en, err := usageOf(ri.entry)
	if err != nil {
		return 0, 0, err
	}
	ag, err := usageOf(ri.agent)
	if err != nil {
		return 0, 0, err
	}
	var wg sync.WaitGroup
	var failed atomic.Int64
	began := time.Now()
	for i := range int(duration.Seconds() * float64(rate)) {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		wg.Go(func() {
			if ri.request(context.Background(), "hello", stream, func() {}) != nil {
				failed.Add(1)
			}
		})
	}
	wg.Wait()
	if failed.Load() > 0 {
		return 0, 0, fmt.Errorf("%d requests failed at a rate of %d requests/s", failed.Load(), rate)
	}
	en2, err := usageOf(ri.entry)
	if err != nil {
		return 0, 0, err
	}
	ag2, err := usageOf(ri.agent)
	return (en2.processor - en.processor) / duration.Seconds(), (ag2.processor - ag.processor) / duration.Seconds(), err
}

// offerTime is how long each rate is offered.
const offerTime = 4 * time.Second

// measurePath measures requests and tokens through entry and agent at three rates each, and open
// streams.
func measurePath(re *report) error {
	if err := measureRates(re, "request", "requests with a whole answer of one token", 1, false, []int{200, 500, 1000}); err != nil {
		return err
	}
	if err := measureRates(re, "token", "streams of 100 tokens at 10 ms", 100, true, []int{20, 50, 100}); err != nil {
		return err
	}
	return measureStreams(re)
}

// measureRates measures the processor time of entry and agent at each rate.
func measureRates(re *report, kind, what string, tokens int, stream bool, rates []int) error {
	ri, cleanup, err := newRig("path-"+kind, "--first", "1ms", "--pace", "10ms", "--words", fmt.Sprint(tokens))
	if err != nil {
		return err
	}
	defer cleanup()
	if _, _, err := ri.offerLoad(rates[0], time.Second, stream); err != nil { // Opens connections.
		return err
	}
	var entry, agent []point
	for _, rate := range rates {
		en, ag, err := ri.offerLoad(rate, offerTime, stream)
		if err != nil {
			return err
		}
		size := float64(rate * tokens)
		entry, agent = append(entry, point{size, en}), append(agent, point{size, ag})
	}
	re.add("entry-"+kind+"-processor", "processor time of an entry, "+what, kind+"/s", cores, entry)
	re.add("agent-"+kind+"-processor", "processor time of an agent, "+what, kind+"/s", cores, agent)
	return nil
}

// measureStreams measures the memory of open streams, whose tokens arrive slowly.
func measureStreams(re *report) error {
	ri, cleanup, err := newRig("path-streams", "--first", "1ms", "--pace", "1s", "--words", "100")
	if err != nil {
		return err
	}
	defer cleanup()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var open atomic.Int64
	var entry, agent []point
	for _, count := range []int{100, 500, 1000} {
		for range count - int(open.Load()) {
			go func() { _ = ri.request(ctx, "hello", true, func() { open.Add(1) }) }()
		}
		if err := poll("open streams", func() (bool, error) { return open.Load() >= int64(count), nil }); err != nil {
			return err
		}
		time.Sleep(settleTime)
		en, err := usageOf(ri.entry)
		if err != nil {
			return err
		}
		ag, err := usageOf(ri.agent)
		if err != nil {
			return err
		}
		entry, agent = append(entry, point{float64(count), en.resident}), append(agent, point{float64(count), ag.resident})
	}
	re.add("entry-stream-memory", "resident memory of an entry", "open stream", byteCount, entry)
	re.add("agent-stream-memory", "resident memory of an agent", "open stream", byteCount, agent)
	return nil
}
