package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// runnerSlots is how many requests a runner says that it takes at a time.
const runnerSlots = 64

// runner is a sound runner: it runs what names it, answers with its seal, and stops when its caller leaves.
type runner struct {
	rg                *rig
	id, service, addr string
	version           string
	born              int64
	work              time.Duration
	events            int
	interval          time.Duration
	// confidence is the model's opinion of its answer, and pause how long a stream pauses after an event; nil for the
	// usual.
	confidence func(id, model string) int
	pause      func(id, model string, event int) time.Duration
	// quiet leaves the runs out of the record.
	quiet bool

	mu   sync.Mutex
	runs map[string]int
	// arrivals are the times at which requests arrived that named this runner.
	arrivals []time.Time
	// running counts the requests at work.
	running int
}

// addRunner starts a runner and lists it in the store.
func (rg *rig) addRunner(ru *runner, zone string) error {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ru.rg, ru.addr, ru.runs, ru.born = rg, li.Addr().String(), map[string]int{}, time.Now().UnixMilli()
	go func() { _ = http.Serve(li, ru) }()
	rg.list(ru, zone, "ready")
	return nil
}

// list writes the runner's entry in the store.
func (rg *rig) list(ru *runner, zone, state string) {
	rg.store.Put("servers/"+ru.id, object{
		"service": ru.service, "address": ru.addr, "zone": zone, "version": ru.version, "slots": runnerSlots, "state": state,
		"warmup_left_ms": 0, "sequence": 1, "born": ru.born,
	})
}

// hasRun reports whether a request has begun to run here.
func (ru *runner) hasRun(id string) bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.runs[id] > 0
}

// arrivalsAfter returns how many requests arrived after a time, and when the last one arrived.
func (ru *runner) arrivalsAfter(at time.Time) (count int, last time.Time) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	for _, ar := range ru.arrivals {
		if last = ar; ar.After(at) {
			count++
		}
	}
	return count, last
}

// ServeHTTP implements http.Handler.
func (ru *runner) ServeHTTP(w http.ResponseWriter, rq *http.Request) {
	hd := w.Header()
	if rq.URL.Path == "/healthz" {
		hd.Set("X-Skylarkstand-Instance-Id", ru.id)
		return
	}
	id := rq.Header.Get("X-Skylarkstand-Attempt-Id")
	if id == "" {
		hd.Set("X-Skylarkstand-Not-Executed", "1")
		w.WriteHeader(http.StatusNotFound)
		return
	}
	hd.Set("X-Skylarkstand-Attempt-Id", id)
	if rq.Header.Get("X-Skylarkstand-Expect-Instance") != ru.id {
		hd.Set("X-Skylarkstand-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n, err := io.Copy(io.Discard, rq.Body)
	if err != nil {
		return
	}
	ru.mu.Lock()
	ru.runs[id]++
	ru.arrivals = append(ru.arrivals, time.Now())
	ru.running++
	running := ru.running
	ru.mu.Unlock()
	defer func() {
		ru.mu.Lock()
		defer ru.mu.Unlock()
		ru.running--
	}()
	if !ru.quiet {
		ru.rg.note("runner %s runs %s %s %s, model %s, after event %q, body of %d bytes", ru.id, id, rq.Method, rq.RequestURI,
			rq.Header.Get("X-Skylarkstand-Model"), rq.Header.Get("Last-Event-Id"), n)
	}
	hd.Set("X-Skylarkstand-Response-Seal", "seal-"+ru.id+"-"+id)
	hd.Set("X-Skylarkstand-Server-Load", fmt.Sprintf("%d,0,64", running))
	select {
	case <-time.After(ru.work):
	case <-rq.Context().Done():
		ru.rg.note("runner %s: the caller of %s left", ru.id, id)
		return
	}
	if ru.events == 0 {
		fmt.Fprintf(w, "done %s\n", id)
		return
	}
	ru.stream(w, rq)
}

// stream sends the events after the one that the caller has.
func (ru *runner) stream(w http.ResponseWriter, rq *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	id, model, confidence := rq.Header.Get("X-Skylarkstand-Attempt-Id"), rq.Header.Get("X-Skylarkstand-Model"), 95
	if ru.confidence != nil {
		confidence = ru.confidence(id, model)
	}
	w.Header().Set("X-Skylarkstand-Confidence", strconv.Itoa(confidence))
	ctl := http.NewResponseController(w)
	after, _ := strconv.Atoi(rq.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= ru.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil {
			return
		}
		_ = ctl.Flush()
		wait := ru.interval
		if ru.pause != nil {
			wait += ru.pause(id, model, n)
		}
		if wait > ru.interval {
			ru.rg.note("runner %s preempts %s after event %d", ru.id, id, n)
		}
		select {
		case <-time.After(wait):
		case <-rq.Context().Done():
			ru.rg.note("runner %s: the caller of %s left after event %d", ru.id, id, n)
			return
		}
	}
}
