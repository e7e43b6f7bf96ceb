package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// planSize is the size of a large tenant's request: max_body_bytes of the configuration.
	planSize = 4 << 20
	// planInterval is the pause between two such requests at one gateway, hotFactor by how much it shrinks while the
	// tenant is hot, and hotTime for how long that lasts.
	planInterval = 660 * time.Millisecond
	hotFactor    = 7.5
	hotTime      = 6500 * time.Millisecond
	// memoryLimit is that of an edge machine of kogane-relay, in MB.
	memoryLimit = 134
)

// ends counts how often gateways ended for their memory.
type ends struct {
	mu sync.Mutex
	by map[string]int
}

// watchMemory does what the platform does: it kills a process that exceeds its memory, and starts it again a moment
// later.
func (en *ends) watchMemory(gw *gateway, stop <-chan struct{}, wg *sync.WaitGroup) {
	wg.Go(func() {
		peak := 0.0
		for {
			select {
			case <-stop:
				gw.rg.note("%s had %.0f MB at most", gw.name, peak)
				return
			case <-time.After(20 * time.Millisecond):
			}
			mb := gw.residentMB()
			peak = max(peak, mb)
			if mb <= memoryLimit {
				continue
			}
			gw.rg.note("%s has %.0f MB of its own: the platform kills it", gw.name, mb)
			en.mu.Lock()
			en.by[gw.name]++
			en.mu.Unlock()
			gw.signal(syscall.SIGKILL)
			<-gw.done
			time.Sleep(500 * time.Millisecond)
			if err := gw.start(); err != nil {
				gw.rg.note("%s cannot be started: %v", gw.name, err)
				return
			}
		}
	})
}

// cutOff counts the requests of kept connections that runners ran and whose connection ended without an answer.
type cutOff struct {
	mu    sync.Mutex
	count int
}

// bodies shows what large requests do to the memory of a gateway. A large tenant sends requests of the size that the
// configuration allows, and becomes hot three times.
func bodies(folder string) (int, error) {
	rg, end, err := newRig(folder, memoryLimit)
	if err != nil {
		return cannot, err
	}
	defer end()
	rg.store.Put("op/config", configuration(1))
	var runners []*runner
	for i := range 3 {
		runners = append(runners,
			&runner{id: fmt.Sprint("i-lm-", i), service: "lm", version: "v1", work: 300 * time.Millisecond, events: 30, interval: 100 * time.Millisecond},
			&runner{id: fmt.Sprint("i-orders-", i), service: "orders", version: "v1", work: 15 * time.Millisecond})
	}
	for _, ru := range runners {
		if err := rg.addRunner(ru, "sapporo-a"); err != nil {
			return cannot, err
		}
	}
	en := &ends{by: map[string]int{}}
	cut := &cutOff{}
	stop := make(chan struct{})
	var watchers, callers sync.WaitGroup
	for i := range 2 {
		gw, err := rg.addGateway(fmt.Sprint("edge-sapporo-a-", i+1), "sapporo-a", nil)
		if err != nil {
			return cannot, err
		}
		if err := gw.awaitReady(); err != nil {
			return cannot, err
		}
		en.watchMemory(gw, stop, &watchers)
		callers.Go(func() { sendPlans(gw, stop) })
		for range 10 {
			callers.Go(func() { sendHolds(gw, runners, cut, stop) })
		}
	}
	time.Sleep(60 * time.Second)
	close(stop)
	watchers.Wait()
	callers.Wait()
	often := 0
	for name, n := range en.by {
		rg.note("%s ended %d times for its memory", name, n)
		if n >= 3 {
			often++
		}
	}
	rg.note("requests of kept connections that ran and were cut off without an answer: %d (3 are allowed)", cut.count)
	rg.note("gateways that ended three times or more: %d (fewer than 2 are allowed)", often)
	if cut.count > 3 || often >= 2 {
		return broken, nil
	}
	return held, nil
}

// isHot reports whether the large tenant sends many times its usual.
func (rg *rig) isHot() bool {
	if !rg.trouble {
		return false
	}
	since := time.Since(rg.began)
	for _, at := range []time.Duration{8 * time.Second, 26 * time.Second, 44 * time.Second} {
		if since >= at && since < at+hotTime {
			return true
		}
	}
	return false
}

// sendPlans sends the requests of the large tenant, evenly.
func sendPlans(gw *gateway, stop <-chan struct{}) {
	rg, body := gw.rg, make([]byte, planSize)
	for i := range body {
		body[i] = 'x'
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		pause := planInterval
		if rg.isHot() {
			pause = time.Duration(float64(planInterval) / hotFactor)
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		wg.Go(func() {
			cl := &client{rg: rg, addr: gw.listen}
			defer cl.close()
			rq := request{id: rg.nextID(), method: http.MethodPost, path: "/draft/plan", key: "key-large", body: body, deadline: 15 * time.Second,
				header: http.Header{"X-Skylarkstand-Model": {"*"}, "X-Skylarkstand-Token-Usage": {"13300,120"}, "X-Skylarkstand-Prefix-Hash": {"5c1e07a2:13000,91bd3f06:300"}}}
			rg.note("%s is sent %s, a draft of %d bytes", gw.name, rq.id, len(body))
			ans := cl.send(rq)
			rg.note("draft %s: status %d, %d bytes, error %v", rq.id, ans.status, len(ans.body), ans.err)
		})
	}
}

// sendHolds sends small requests that run once at most, one after the other on a kept connection.
func sendHolds(gw *gateway, runners []*runner, cut *cutOff, stop <-chan struct{}) {
	rg := gw.rg
	cl := &client{rg: rg, addr: gw.listen}
	defer cl.close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		rq := request{id: rg.nextID(), method: http.MethodPost, path: "/hold/1", key: "key-usual", body: []byte("hold"), deadline: 2 * time.Second}
		ans := cl.send(rq)
		if ans.err == nil {
			continue
		}
		ran := false
		for _, ru := range runners {
			ran = ran || ru.hasRun(rq.id)
		}
		rg.note("hold %s at %s: error %v, on a kept connection: %v, has run: %v", rq.id, gw.name, ans.err, ans.kept, ran)
		if ans.kept && ran {
			cut.mu.Lock()
			cut.count++
			cut.mu.Unlock()
		}
		time.Sleep(200 * time.Millisecond)
	}
}
