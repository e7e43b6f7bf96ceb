package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a runner of a service. It follows the users' pages: it runs nothing that is meant for another
// runner, echoes the request's id, and seals what it has run.
type runner struct {
	wo                   *world
	id, service, version string
	zone, addr           string
	srv                  *http.Server
	// work answers a request that runs.
	work func(ru *runner, w http.ResponseWriter, rq *http.Request)
	// prefill is the time that a prompt is read in; prompts are read one after the other.
	prefill time.Duration
	reading sync.Mutex

	running atomic.Int64
}

// startRunner starts a runner and registers it.
func (wo *world) startRunner(ru *runner) error {
	ru.wo = wo
	li, err := net.Listen("tcp", "127.0.2.1:0")
	if err != nil {
		return err
	}
	ru.addr = li.Addr().String()
	ru.srv = &http.Server{Handler: ru, ReadHeaderTimeout: 10 * time.Second}
	wo.servers = append(wo.servers, ru.srv)
	go func() { _ = ru.srv.Serve(li) }()
	wo.st.Put("servers/"+ru.id, object{
		"service": ru.service, "address": ru.addr, "zone": ru.zone, "version": ru.version, "slots": 64,
		"state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	wo.logf("runner %s of %s %s is registered at %s", ru.id, ru.service, ru.version, ru.addr)
	return nil
}

// stopRunner ends a runner at once.
func (wo *world) stopRunner(ru *runner) {
	_ = ru.srv.Close()
	wo.st.Remove("servers/" + ru.id)
	wo.logf("runner %s has stopped", ru.id)
}

// ServeHTTP implements http.Handler.
func (ru *runner) ServeHTTP(w http.ResponseWriter, rq *http.Request) {
	hd := w.Header()
	id := rq.Header.Get("X-Skylarkstand-Attempt-Id")
	if id != "" {
		hd.Set("X-Skylarkstand-Attempt-Id", id)
	}
	hd.Set("X-Skylarkstand-Instance-Id", ru.id)
	hd.Set("X-Skylarkstand-Server-Load", fmt.Sprintf("%d,0,64", ru.running.Load()))
	switch {
	case rq.URL.Path == "/healthz":
		return
	case rq.Header.Get("X-Skylarkstand-Expect-Instance") != "" && rq.Header.Get("X-Skylarkstand-Expect-Instance") != ru.id:
		hd.Set("X-Skylarkstand-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		hd.Set("X-Skylarkstand-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.ReadAll(rq.Body); err != nil {
		return
	}
	ru.running.Add(1)
	defer ru.running.Add(-1)
	if ru.prefill > 0 && !ru.read(rq) {
		return
	}
	ru.wo.logf("runner %s (%s %s) runs %s: %s %s, tenant %q, after event %q", ru.id, ru.service, ru.version, id,
		rq.Method, rq.RequestURI, rq.Header.Get("X-Skylarkstand-Tenant"), rq.Header.Get("Last-Event-Id"))
	hd.Set("X-Skylarkstand-Response-Seal", "seal-"+ru.id)
	ru.work(ru, w, rq)
}

// read reads the prompt of a request, after those that came before it, and reports whether the request is
// still wanted.
func (ru *runner) read(rq *http.Request) bool {
	ru.reading.Lock()
	defer ru.reading.Unlock()
	select {
	case <-rq.Context().Done():
		return false
	case <-time.After(ru.prefill):
		return true
	}
}
