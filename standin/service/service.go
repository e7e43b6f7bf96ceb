// Package service is a stand-in for a plain service. It runs every request it
// receives, duplicates included, and its journal lists each run.
//
// # Usage
//
//	http.ListenAndServe(addr, service.New(5*time.Millisecond))
package service

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"skylarkstand/standin/signals"
)

// JournalEntry is one entry of the journal.
type JournalEntry struct {
	Operation string `json:"operation"`
	Key       string `json:"key"`
	Attempt   string `json:"attempt"`
}

// Service runs operations and records them. It is safe for concurrent use.
type Service struct {
	mux      *http.ServeMux
	duration time.Duration

	mu      sync.Mutex
	journal []JournalEntry
	signals signals.Signals
}

// New returns a service whose operations each take the given time.
func New(duration time.Duration) *Service {
	sv := &Service{mux: http.NewServeMux(), duration: duration}
	sv.mux.HandleFunc("POST /{operation}", sv.run)
	sv.mux.HandleFunc("GET /journal", sv.showJournal)
	sv.mux.HandleFunc("POST /faults", sv.setSignals)
	return sv
}

// ServeHTTP implements [http.Handler].
func (sv *Service) ServeHTTP(w http.ResponseWriter, rq *http.Request) { sv.mux.ServeHTTP(w, rq) }

func (sv *Service) run(w http.ResponseWriter, rq *http.Request) {
	je := JournalEntry{Operation: rq.PathValue("operation"), Key: rq.Header.Get("Skylarkstand-Idempotency-Key"), Attempt: rq.Header.Get("X-Request-Id")}
	sv.mu.Lock()
	si := sv.signals
	sv.mu.Unlock()
	if si.Write(w) {
		return
	}
	sv.mu.Lock()
	sv.journal = append(sv.journal, je)
	n := len(sv.journal)
	sv.mu.Unlock()
	time.Sleep(sv.duration)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"confirmation": n, "operation": je.Operation})
}

// setSignals sets the signals of all further answers.
func (sv *Service) setSignals(w http.ResponseWriter, rq *http.Request) {
	var si signals.Signals
	if json.NewDecoder(rq.Body).Decode(&si) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.signals = si
}

func (sv *Service) showJournal(w http.ResponseWriter, _ *http.Request) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(sv.journal)
}
