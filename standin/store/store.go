// Package store stands in for the platform's key-value service: create,
// compare-and-swap, leases and watches over HTTP, held in memory, with faults
// that are switched by an order.
//
// # Usage
//
//	http.ListenAndServe(addr, store.New())
//	curl -X POST addr/faults -d '{"down":true}'
package store

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults is what goes wrong until the next order.
type Faults struct {
	// Down refuses every call; Slow delays each, in milliseconds.
	Down bool `json:"down"`
	Slow int  `json:"slow"`
	// LoseReplies is the share of writes that take effect but whose reply is
	// cut off.
	LoseReplies float64 `json:"lose-replies"`
	// WritesPerSecond and ReadsPerSecond are limits; 0 is none. A waiting
	// watch counts as one read.
	WritesPerSecond int `json:"writes-per-second"`
	ReadsPerSecond  int `json:"reads-per-second"`
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	lease    string
}

// Counts is what the store was asked.
type Counts struct {
	Reads, Writes, Watches, Limited int64
}

// Store is safe for concurrent use.
type Store struct {
	mux *http.ServeMux

	mu       sync.Mutex
	items    map[string]*item
	leases   map[string]*lease
	revision uint64
	changed  chan struct{}
	faults   Faults
	counts   Counts
	second   int64
	reads    int
	writes   int
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// New returns an empty store.
func New() *Store {
	st := &Store{mux: http.NewServeMux(), items: map[string]*item{}, leases: map[string]*lease{}, changed: make(chan struct{})}
	st.mux.HandleFunc("GET /v1/keys/{key}", st.read(st.get))
	st.mux.HandleFunc("GET /v1/list", st.read(st.list))
	st.mux.HandleFunc("GET /v1/watch/{key}", st.read(st.watch))
	st.mux.HandleFunc("PUT /v1/keys/{key}", st.write(st.put))
	st.mux.HandleFunc("DELETE /v1/keys/{key}", st.write(st.remove))
	st.mux.HandleFunc("POST /v1/leases", st.write(st.grant))
	st.mux.HandleFunc("POST /v1/leases/{lease}/renew", st.write(st.renew))
	st.mux.HandleFunc("POST /faults", st.order)
	st.mux.HandleFunc("GET /counts", st.showCounts)
	return st
}

// ServeHTTP implements [http.Handler].
func (st *Store) ServeHTTP(w http.ResponseWriter, rq *http.Request) { st.mux.ServeHTTP(w, rq) }

// SetFaults replaces the faults.
func (st *Store) SetFaults(fa Faults) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.faults = fa
}

func (st *Store) order(w http.ResponseWriter, rq *http.Request) {
	var fa Faults
	if json.NewDecoder(rq.Body).Decode(&fa) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	st.SetFaults(fa)
}

func (st *Store) showCounts(w http.ResponseWriter, _ *http.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	reply(w, st.counts)
}

// enter applies faults and limits to a call and reports whether it goes on.
func (st *Store) enter(w http.ResponseWriter, write bool) (Faults, bool) {
	st.mu.Lock()
	fa := st.faults
	now := time.Now().Unix()
	if now != st.second {
		st.second, st.reads, st.writes = now, 0, 0
	}
	var over bool
	if write {
		st.writes++
		st.counts.Writes++
		over = fa.WritesPerSecond > 0 && st.writes > fa.WritesPerSecond
	} else {
		st.reads++
		st.counts.Reads++
		over = fa.ReadsPerSecond > 0 && st.reads > fa.ReadsPerSecond
	}
	if over {
		st.counts.Limited++
	}
	st.mu.Unlock()
	if fa.Slow > 0 {
		time.Sleep(time.Duration(fa.Slow) * time.Millisecond)
	}
	switch {
	case fa.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return fa, false
	case over:
		w.WriteHeader(http.StatusTooManyRequests)
		return fa, false
	}
	return fa, true
}

func (st *Store) read(fn http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, rq *http.Request) {
		if _, ok := st.enter(w, false); ok {
			fn(w, rq)
		}
	}
}

// write runs a write, whose reply may be cut off after it took effect.
func (st *Store) write(fn func(*http.Request, []byte) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, rq *http.Request) {
		body, err := io.ReadAll(rq.Body)
		if err != nil {
			return
		}
		fa, ok := st.enter(w, true)
		if !ok {
			return
		}
		st.mu.Lock()
		st.expire()
		status, out := fn(rq, body)
		st.mu.Unlock()
		if rand.Float64() < fa.LoseReplies {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(out)
	}
}

func reply(w http.ResponseWriter, out any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func (st *Store) get(w http.ResponseWriter, rq *http.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expire()
	it := st.items[rq.PathValue("key")]
	if it == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, it)
}

func (st *Store) list(w http.ResponseWriter, rq *http.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expire()
	its := []*item{}
	for key, it := range st.items {
		if strings.HasPrefix(key, rq.URL.Query().Get("prefix")) {
			its = append(its, it)
		}
	}
	slices.SortFunc(its, func(a, b *item) int { return strings.Compare(a.Key, b.Key) })
	reply(w, its)
}

func (st *Store) watch(w http.ResponseWriter, rq *http.Request) {
	qu := rq.URL.Query()
	after, _ := strconv.ParseUint(qu.Get("after"), 10, 64)
	wait, err := time.ParseDuration(qu.Get("wait"))
	if err != nil {
		wait = time.Second
	}
	limit := time.After(wait)
	for {
		st.mu.Lock()
		it, changed, down := st.items[rq.PathValue("key")], st.changed, st.faults.Down
		st.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if it != nil && it.Revision > after {
			reply(w, it)
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
		case <-limit:
			w.WriteHeader(http.StatusNotFound)
			return
		case <-rq.Context().Done():
			return
		}
	}
}

const maxValue = 1 << 20

func (st *Store) put(rq *http.Request, body []byte) (int, any) {
	key, qu := rq.PathValue("key"), rq.URL.Query()
	it := st.items[key]
	id := qu.Get("lease")
	prev, _ := strconv.ParseUint(qu.Get("prev"), 10, 64)
	switch {
	case len(body) > maxValue:
		return http.StatusRequestEntityTooLarge, nil
	case qu.Has("create") && it != nil,
		!qu.Has("create") && (it == nil || it.Revision != prev),
		id != "" && st.leases[id] == nil:
		return http.StatusConflict, nil
	}
	if it != nil {
		id = it.lease
	}
	st.revision++
	st.items[key] = &item{Key: key, Value: body, Revision: st.revision, lease: id}
	st.wake()
	return http.StatusOK, st.items[key]
}

func (st *Store) remove(rq *http.Request, _ []byte) (int, any) {
	key := rq.PathValue("key")
	prev, _ := strconv.ParseUint(rq.URL.Query().Get("prev"), 10, 64)
	it := st.items[key]
	switch {
	case it == nil:
		return http.StatusNotFound, nil
	case it.Revision != prev:
		return http.StatusConflict, nil
	}
	delete(st.items, key)
	st.wake()
	return http.StatusOK, struct{}{}
}

func (st *Store) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *Store) grant(rq *http.Request, _ []byte) (int, any) {
	ttl, err := time.ParseDuration(rq.URL.Query().Get("ttl"))
	if err != nil {
		return http.StatusBadRequest, nil
	}
	st.revision++
	id := strconv.FormatUint(st.revision, 10)
	st.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, map[string]string{"lease": id}
}

func (st *Store) renew(rq *http.Request, _ []byte) (int, any) {
	le := st.leases[rq.PathValue("lease")]
	if le == nil {
		return http.StatusNotFound, nil
	}
	le.expires = time.Now().Add(le.ttl)
	return http.StatusOK, struct{}{}
}

// expire drops lapsed leases with their keys.
func (st *Store) expire() {
	now := time.Now()
	for id, le := range st.leases {
		if now.Before(le.expires) {
			continue
		}
		delete(st.leases, id)
		for key, it := range st.items {
			if it.lease == id {
				delete(st.items, key)
				st.wake()
			}
		}
	}
}
