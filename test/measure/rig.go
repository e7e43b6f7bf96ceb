package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"skylarkstand/core"
	"skylarkstand/test/fleet"
)

// rig is one engine with its agent and one entry, and a client for requests through the entry or
// directly to the engine.
type rig struct {
	fl     *fleet.Fleet
	entry  *fleet.Process
	agent  *fleet.Process
	engine *fleet.Process
	cli    *http.Client
}

// highLimits are agent settings with limits above the load of any measurement, so that queueing and
// refusals do not affect the results.
var highLimits = map[string]any{"slots": 8192, "queue": 8192}

// newRig starts a rig without relays.
func newRig(name string, engineArgs ...string) (*rig, func(), error) {
	return newRigWith(name, false, engineArgs)
}

// newRigWith starts a rig. With relayed, relays before the agent and the platform count the bytes on
// links.
func newRigWith(name string, relayed bool, engineArgs []string) (*rig, func(), error) {
	fl, cleanup, err := fleet.New("bin", filepath.Join("out", "measure", name))
	if err != nil {
		return nil, nil, err
	}
	fl.UseRelays = relayed
	ri := &rig{fl: fl, cli: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2048, MaxIdleConns: 4096}}}
	if err := ri.start(engineArgs); err != nil {
		cleanup()
		return nil, nil, err
	}
	return ri, cleanup, nil
}

// start starts all processes and waits for the first answer.
func (ri *rig) start(engineArgs []string) error {
	fl := ri.fl
	fl.AgentSettings = highLimits
	if err := fl.StartPlatform(nil); err != nil {
		return err
	}
	location := fleet.Location{Zone: "muc-a", Region: "muc"}
	mv := core.ModelVersion{Model: "desk", Version: "v1"}
	if err := fl.StartEngine("desk-1", mv, location, append([]string{"--slots", "8192"}, engineArgs...)...); err != nil {
		return err
	}
	var err error
	if ri.entry, err = fl.StartEntry("entry-1", location, map[string]any{"max-in-flight": 8192, "log-level": "warn"}); err != nil {
		return err
	}
	ri.agent, ri.engine = fl.Process("desk-1"), fl.Process("desk-1-engine")
	out, err := fl.Command("apply", filepath.Join("test", "demo", "landesamt.jsonc"), "--store", fl.StoreURL, "--why", "measure", "--who", "measure")
	if err != nil {
		return fmt.Errorf("%s: %w", out, err)
	}
	for range 200 {
		if re, err := fleet.Chat(ri.entry.URL, "schools-key", "desk", "ready?", false, nil); err == nil && re.Status == 200 {
			return nil
		}
		time.Sleep(25 * time.Millisecond)
	}
	return fmt.Errorf("the entry at %s has not answered a request after 200 tries", ri.entry.URL)
}

// request sends one request and reads its answer. It returns the time to the first byte, and calls
// onGap after each later read with data, with the time since the previous read.
func (ri *rig) request(base string, stream bool, onGap func(time.Duration)) (time.Duration, error) {
	body := []byte(fmt.Sprintf(`{"model":"desk","stream":%v,"messages":[{"role":"user","content":"hello"}]}`, stream))
	rq, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	rq.Header.Set("Authorization", "Bearer schools-key")
	rq.Header.Set("X-Request-Id", core.NewID())
	began := time.Now()
	rs, err := ri.cli.Do(rq)
	if err != nil {
		return 0, err
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("the request was answered with status %d, want 200", rs.StatusCode)
	}
	buf := make([]byte, 4096)
	var first time.Duration
	last := time.Time{}
	for {
		n, err := rs.Body.Read(buf)
		now := time.Now()
		if n > 0 && first == 0 {
			first = now.Sub(began)
		} else if n > 0 && onGap != nil {
			onGap(now.Sub(last))
		}
		last = now
		if err == io.EOF {
			return first, nil
		}
		if err != nil {
			return 0, err
		}
	}
}

// openLoop sends requests at a rate for a time, without waiting for answers. It records, in
// microseconds, the time from when each request was due to its first byte, and the gaps between
// reads.
func (ri *rig) openLoop(base string, rate int, duration time.Duration, stream bool) (first, gaps *hdrhistogram.Histogram, failed int64) {
	first, gaps = hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var bad atomic.Int64
	var wg sync.WaitGroup
	began := time.Now()
	for i := range int(duration.Seconds() * float64(rate)) {
		due := began.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		wg.Go(func() {
			var requestGaps []time.Duration
			sent := time.Now()
			d, err := ri.request(base, stream, func(g time.Duration) { requestGaps = append(requestGaps, g) })
			if err != nil {
				bad.Add(1)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			_ = first.RecordValue((d + sent.Sub(due)).Microseconds())
			for _, g := range requestGaps {
				_ = gaps.RecordValue(max(g.Microseconds(), 1))
			}
		})
	}
	wg.Wait()
	return first, gaps, bad.Load()
}

// closedLoop sends requests for a time from a number of concurrent callers, each of which waits for
// its answer. It returns the answers per second and the number of failed requests.
func (ri *rig) closedLoop(base string, callers int, duration time.Duration, stream bool) (float64, int64) {
	var done, bad atomic.Int64
	var wg sync.WaitGroup
	began := time.Now()
	for range callers {
		wg.Go(func() {
			for time.Since(began) < duration {
				if _, err := ri.request(base, stream, nil); err != nil {
					bad.Add(1)
					continue
				}
				done.Add(1)
			}
		})
	}
	wg.Wait()
	return float64(done.Load()) / time.Since(began).Seconds(), bad.Load()
}

// storeCounts returns the numbers of calls of the store's stand-in.
func storeCounts(fl *fleet.Fleet) (reads, writes int64, err error) {
	rs, err := http.Get(fl.StoreURL + "/counts")
	if err != nil {
		return 0, 0, err
	}
	defer rs.Body.Close()
	var co struct{ Reads, Writes int64 }
	err = json.NewDecoder(rs.Body).Decode(&co)
	return co.Reads, co.Writes, err
}
