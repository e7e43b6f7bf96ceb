// Package engine is a stand-in for a model engine: it streams tokens at a
// configured rate, runs a bounded number of requests at once, and injects the
// faults of a real engine.
//
// A prompt that contains "#crash" ends the process, to simulate the rare request
// that crashes every engine. A prompt with "#words=N" requests N tokens.
//
// # Usage
//
//	http.ListenAndServe(addr, engine.New(engine.Config{Slots: 4, TokenInterval: time.Millisecond, DefaultTokens: 16}))
package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"skylarkstand/standin/signals"
)

// Config configures an engine.
type Config struct {
	Model string
	// Slots is the number of requests that run at once; further requests wait.
	Slots int
	// TimeToFirstToken is the time to the first token, TokenInterval the time between two tokens.
	TimeToFirstToken, TokenInterval time.Duration
	// DefaultTokens is the default length of an answer, in tokens.
	DefaultTokens int
	// CheckFencing makes the engine refuse orders with an old fencing number.
	CheckFencing bool
}

// Faults are the injected faults, in effect until the next POST /faults.
type Faults struct {
	// MixStreams puts events of another request into streams, and its id on unstreamed answers.
	MixStreams bool `json:"cross"`
	// CutAfter cuts streams off after this number of tokens; 0 never does.
	CutAfter int `json:"cut-after"`
	// SlowFactor multiplies TimeToFirstToken and TokenInterval; 0 means 1.
	SlowFactor int `json:"slow-factor"`
	// Fail answers every request with status 500.
	Fail bool `json:"fail"`
	signals.Signals
}

// JournalEntry is one entry of the engine's journal, added when the run begins. Tag is the
// text after "#tag=" in the prompt.
type JournalEntry struct {
	Attempt  string `json:"attempt"`
	Tag      string `json:"tag,omitempty"`
	Tokens   int    `json:"tokens"`
	Complete bool   `json:"whole"`
}

// Engine serves chat completions. It is safe for concurrent use.
type Engine struct {
	cfg     Config
	mux     *http.ServeMux
	slots   chan struct{}
	waiting atomic.Int64

	mu      sync.Mutex
	faults  Faults
	journal []JournalEntry
	fence   uint64
	crash   func()
}

// New returns an engine without faults.
func New(cfg Config) *Engine {
	en := &Engine{cfg: cfg, mux: http.NewServeMux(), slots: make(chan struct{}, max(cfg.Slots, 1)), crash: func() { os.Exit(3) }}
	en.mux.HandleFunc("POST /v1/chat/completions", en.complete)
	en.mux.HandleFunc("GET /load", en.load)
	en.mux.HandleFunc("GET /journal", en.showJournal)
	en.mux.HandleFunc("POST /orders", en.order)
	en.mux.HandleFunc("POST /faults", en.setFaults)
	return en
}

// ServeHTTP implements [http.Handler].
func (en *Engine) ServeHTTP(w http.ResponseWriter, rq *http.Request) { en.mux.ServeHTTP(w, rq) }

type chatBody struct {
	Stream    bool            `json:"stream"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
}

func (en *Engine) complete(w http.ResponseWriter, rq *http.Request) {
	var cb chatBody
	if json.NewDecoder(rq.Body).Decode(&cb) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if strings.Contains(string(cb.Messages), "#crash") {
		en.crash()
	}
	en.waiting.Add(1)
	select {
	case en.slots <- struct{}{}:
		en.waiting.Add(-1)
	case <-rq.Context().Done():
		en.waiting.Add(-1)
		return
	}
	defer func() { <-en.slots }()
	en.mu.Lock()
	fa := en.faults
	en.mu.Unlock()
	if fa.Write(w) {
		return
	}
	if fa.Fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	co := &completion{en: en, fa: fa, id: rq.Header.Get("X-Request-Id"), tokens: en.requestedTokens(cb), promptTokens: len(cb.Messages)/4 + 1}
	en.mu.Lock()
	index := len(en.journal)
	en.journal = append(en.journal, JournalEntry{Attempt: co.id, Tag: tag(cb)})
	en.mu.Unlock()
	complete := co.run(w, rq, cb.Stream)
	en.mu.Lock()
	defer en.mu.Unlock()
	en.journal[index].Tokens, en.journal[index].Complete = co.sent, complete
}

func tag(cb chatBody) string {
	_, rest, ok := strings.Cut(string(cb.Messages), "#tag=")
	if !ok {
		return ""
	}
	return rest[:max(strings.IndexAny(rest, " \""), 0)]
}

func (en *Engine) requestedTokens(cb chatBody) int {
	tokens := en.cfg.DefaultTokens
	if _, rest, ok := strings.Cut(string(cb.Messages), "#words="); ok {
		digits := strings.IndexFunc(rest, func(r rune) bool { return r < '0' || r > '9' })
		if n, err := strconv.Atoi(rest[:max(digits, 0)]); err == nil {
			tokens = n
		}
	}
	if cb.MaxTokens > 0 {
		tokens = min(tokens, cb.MaxTokens)
	}
	return max(tokens, 1)
}

func (en *Engine) load(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, map[string]int{"running": len(en.slots), "waiting": int(en.waiting.Load()), "slots": cap(en.slots)})
}

func (en *Engine) showJournal(w http.ResponseWriter, _ *http.Request) {
	en.mu.Lock()
	defer en.mu.Unlock()
	writeJSON(w, en.journal)
}

// order accepts an order with a fencing number, as in {"fence":7,"load":"v2"}.
func (en *Engine) order(w http.ResponseWriter, rq *http.Request) {
	var or struct{ Fence uint64 }
	if json.NewDecoder(rq.Body).Decode(&or) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.cfg.CheckFencing && or.Fence < en.fence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	en.fence = or.Fence
}

func (en *Engine) setFaults(w http.ResponseWriter, rq *http.Request) {
	var fa Faults
	if json.NewDecoder(rq.Body).Decode(&fa) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	en.faults = fa
}

func writeJSON(w http.ResponseWriter, out any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func chunk(id, text string) string {
	return fmt.Sprintf(`data: {"id":"chatcmpl-%s","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"%s"}}]}`+"\n\n", id, text)
}
