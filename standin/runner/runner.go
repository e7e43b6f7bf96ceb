// Package runner is a stand-in for an upstream of the users' platform, a model
// engine or a plain service. It checks what it is asked as the platform's
// upstreams do, and misbehaves on demand.
//
// # Usage
//
//	ru := runner.New("i-1", "desk", "v1")
//	srv := httptest.NewServer(ru)
//	st.Put("servers/i-1", ru.Line(addr, "muc-a"))
//	ru.Do(runner.Break)
package runner

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Mode is how the next requests are answered.
type Mode int

// The modes.
const (
	// Answer: as asked.
	Answer Mode = iota
	// Full: refused without running.
	Full
	// Fail: run, and answered with an error.
	Fail
	// Break: run, and broken off in the middle of an event.
	Break
	// Slow: run, with a pause before the answer.
	Slow
)

// slow is the pause of a slow answer, in pieces of a stream between them.
const slow = 300 * time.Millisecond

// Run is a request that was run.
type Run struct {
	ID, Path, Method, Body, Workspace, Model, After string
	DeadlineMs                                      int
	Header                                          http.Header
}

// Runner implements http.Handler.
type Runner struct {
	id, service, version string

	mu   sync.Mutex
	mode Mode
	runs []Run
}

// New returns an upstream.
func New(id, service, version string) *Runner {
	return &Runner{id: id, service: service, version: version}
}

// Line is the upstream's line of the list, at an address.
func (ru *Runner) Line(addr, zone, state string) map[string]any {
	return map[string]any{
		"service": ru.service, "address": addr, "zone": zone, "version": ru.version, "slots": 6, "state": state,
		"warmup_left_ms": 0, "sequence": 1, "born": 1,
	}
}

// ID is the upstream's id.
func (ru *Runner) ID() string { return ru.id }

// Do sets how requests are answered from now on.
func (ru *Runner) Do(mo Mode) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.mode = mo
}

// Runs lists what was run.
func (ru *Runner) Runs() []Run {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return append([]Run(nil), ru.runs...)
}

// ServeHTTP implements http.Handler.
func (ru *Runner) ServeHTTP(w http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	hd := w.Header()
	hd.Set("X-Skylarkstand-Attempt-Id", rq.Header.Get("X-Skylarkstand-Attempt-Id"))
	if rq.Header.Get("X-Skylarkstand-Expect-Instance") != ru.id {
		hd.Set("X-Skylarkstand-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ru.mu.Lock()
	mode := ru.mode
	if mode != Full {
		ru.runs = append(ru.runs, run(rq, body))
	}
	ru.mu.Unlock()
	switch mode {
	case Full:
		hd.Set("X-Skylarkstand-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Fail:
		hd.Set("X-Skylarkstand-Response-Seal", "seal-"+ru.id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	hd.Set("X-Skylarkstand-Response-Seal", "seal-"+ru.id)
	hd.Set("X-Skylarkstand-Server-Load", "1,0,6")
	if rq.Header.Get("X-Skylarkstand-Model") != "" {
		hd.Set("X-Skylarkstand-Confidence", "90")
		ru.stream(w, rq, mode)
		return
	}
	if mode == Slow {
		time.Sleep(slow)
	}
	_, _ = fmt.Fprintf(w, "%s did %s", ru.id, body)
}

func run(rq *http.Request, body []byte) Run {
	hd := rq.Header
	ms, _ := strconv.Atoi(hd.Get("X-Skylarkstand-Deadline-Ms"))
	return Run{
		ID: hd.Get("X-Skylarkstand-Attempt-Id"), Path: rq.RequestURI, Method: rq.Method, Body: string(body),
		Workspace: hd.Get("X-Skylarkstand-Tenant"), Model: hd.Get("X-Skylarkstand-Model"), After: hd.Get("Last-Event-Id"),
		DeadlineMs: ms, Header: hd.Clone(),
	}
}

// events is the length of a stream.
const events = 6

// Event returns one event of a stream.
func Event(n int) string { return fmt.Sprintf("id: %d\ndata: word %d\n\n", n, n) }

func (ru *Runner) stream(w http.ResponseWriter, rq *http.Request, mode Mode) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(rq.Header.Get("Last-Event-Id"))
	ctl := http.NewResponseController(w)
	for n := after + 1; n <= events; n++ {
		if mode == Break && n == 3 {
			_, _ = io.WriteString(w, Event(n)[:8])
			_ = ctl.Flush()
			panic(http.ErrAbortHandler)
		}
		if mode == Slow {
			time.Sleep(slow)
		}
		_, _ = io.WriteString(w, Event(n))
		_ = ctl.Flush()
	}
}
