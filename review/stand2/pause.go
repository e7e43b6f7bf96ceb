package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// pauseAfter is the event after which an engine preempts a stream of the largest model, and pauseTime how long it
	// takes until it has read the prompt in again.
	pauseAfter = 3
	pauseTime  = 3200 * time.Millisecond
	// applyTime is config_apply_ms: requests sent up to that long after a SIGHUP count.
	applyTime = 3 * time.Second
)

// pause shows what a gateway does with a stream whose engine is silent for three seconds, after its cascade has used up
// the attempts of the route. The settings files change meanwhile.
func pause(folder string) (int, error) {
	rg, end, err := newRig(folder, memoryLimit)
	if err != nil {
		return cannot, err
	}
	defer end()
	rg.store.Put("op/config", configuration(1))
	for i := range 3 {
		ru := &runner{id: fmt.Sprint("i-lm-", i), service: "lm", version: "v1", work: 60 * time.Millisecond, events: 12, interval: 80 * time.Millisecond}
		// Some requests are too hard for the smallest model, and a third of those for the middle one too. The streams of
		// the largest model are preempted once.
		ru.confidence = func(id, model string) int {
			if model == "m0" && isHard(id) || model == "m1" && isHardest(id) {
				return 40
			}
			return 95
		}
		ru.pause = func(_, model string, event int) time.Duration {
			if model == "m2" && event == pauseAfter {
				return pauseTime
			}
			return 0
		}
		if err := rg.addRunner(ru, "sapporo-a"); err != nil {
			return cannot, err
		}
	}
	gw, err := rg.addGateway("edge-sapporo-a-1", "sapporo-a", nil)
	if err != nil {
		return cannot, err
	}
	if err := gw.awaitReady(); err != nil {
		return cannot, err
	}
	time.Sleep(time.Second)
	lo := &lost{}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() { sendDrafts(gw, lo, stop) })
	for range 4 {
		time.Sleep(5 * time.Second)
		if rg.trouble {
			now := time.Now()
			if err := os.Chtimes(gw.settings, now, now); err != nil {
				return cannot, err
			}
			lo.planned(now)
			gw.signal(syscall.SIGHUP)
		}
	}
	time.Sleep(5 * time.Second)
	close(stop)
	callers.Wait()
	rg.note("streams cut off in all: %d of %d, those around planned work: %d (none is allowed)", lo.all, lo.sent, lo.counted)
	if lo.counted > 0 {
		return broken, nil
	}
	return held, nil
}

// isHard reports whether a request is too hard for the smallest model, and isHardest whether for the middle one too.
func isHard(id string) bool { return strings.ContainsAny(id[len(id)-1:], "05a") }

func isHardest(id string) bool { return strings.HasSuffix(id, "5") }

// lost counts the streams that were cut off.
type lost struct {
	mu        sync.Mutex
	hangups   []time.Time
	sent, all int
	counted   int
}

func (lo *lost) planned(at time.Time) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.hangups = append(lo.hangups, at)
}

// add counts a stream that was cut off, and reports whether it counts: it was sent up to applyTime after a SIGHUP,
// and cut after it.
func (lo *lost) add(sent, cut time.Time) bool {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.all++
	for _, at := range lo.hangups {
		if cut.After(at) && sent.Before(at.Add(applyTime)) {
			lo.counted++
			return true
		}
	}
	return false
}

// sendDrafts sends drafts, evenly.
func sendDrafts(gw *gateway, lo *lost, stop <-chan struct{}) {
	rg := gw.rg
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
		wg.Go(func() {
			cl := &client{rg: rg, addr: gw.listen}
			defer cl.close()
			rq := request{id: rg.nextID(), method: http.MethodPost, path: "/draft/plan", key: "key-usual", body: []byte("draft"), deadline: 15 * time.Second,
				header: http.Header{"X-Skylarkstand-Model": {"*"}, "X-Skylarkstand-Token-Usage": {"1300,120"}, "X-Skylarkstand-Prefix-Hash": {"5c1e07a2:1000,91bd3f06:300"}}}
			rg.note("%s is sent %s", gw.name, rq.id)
			lo.mu.Lock()
			lo.sent++
			lo.mu.Unlock()
			sent := time.Now()
			ans := cl.send(rq)
			counts := false
			if ans.err != nil {
				counts = lo.add(sent, time.Now())
			}
			rg.note("draft %s: status %d, %d events, after %.1f s, error %v, counts: %v", rq.id, ans.status, strings.Count(string(ans.body), "id: "), time.Since(sent).Seconds(), ans.err, counts)
		})
	}
}
