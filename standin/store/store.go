// Package store is an in-memory stand-in for the platform's key-value service:
// create, compare-and-swap, leases and watches over HTTP, with faults that
// POST /faults sets.
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

// Faults are the injected faults, in effect until the next POST /faults.
type Faults struct {
	// Down refuses every call with 503; Slow delays each, in milliseconds.
	Down bool `json:"down"`
	Slow int  `json:"slow"`
	// LoseReplies is the share of writes that take effect but whose reply is
	// cut off.
	LoseReplies float64 `json:"lose-replies"`
	// WritesPerSecond and ReadsPerSecond are rate limits; 0 is no limit. A
	// waiting watch counts as one read.
	WritesPerSecond int `json:"writes-per-second"`
	ReadsPerSecond  int `json:"reads-per-second"`
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	lease    string
}

// Stats holds the numbers of calls that the store received.
type Stats struct {
	Reads, Writes, Watches, Limited int64
}

// Store is a key-value store. It is safe for concurrent use.
type Store struct {
	mux *http.ServeMux

	mu       sync.Mutex
	items    map[string]*item
	leases   map[string]*lease
	revision uint64
	changed  chan struct{}
	faults   Faults
	counts   Stats
	// reads and writes are the calls in countedSecond, a Unix time, for the rate limits.
	countedSecond int64
	reads         int
	writes        int
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// New returns an empty store.
func New() *Store {
	st := &Store{mux: http.NewServeMux(), items: map[string]*item{}, leases: map[string]*lease{}, changed: make(chan struct{})}
	st.mux.HandleFunc("GET /v1/keys/{key}", st.handleRead(st.get))
	st.mux.HandleFunc("GET /v1/list", st.handleRead(st.list))
	st.mux.HandleFunc("GET /v1/watch/{key}", st.handleRead(st.watch))
	st.mux.HandleFunc("PUT /v1/keys/{key}", st.handleWrite(st.put))
	st.mux.HandleFunc("DELETE /v1/keys/{key}", st.handleWrite(st.remove))
	st.mux.HandleFunc("POST /v1/leases", st.handleWrite(st.grant))
	st.mux.HandleFunc("POST /v1/leases/{lease}/renew", st.handleWrite(st.renew))
	st.mux.HandleFunc("POST /faults", st.postFaults)
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

func (st *Store) postFaults(w http.ResponseWriter, rq *http.Request) {
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
	writeJSON(w, st.counts)
}

// admit applies faults and rate limits to a call and reports whether the call continues.
func (st *Store) admit(w http.ResponseWriter, write bool) (Faults, bool) {
	st.mu.Lock()
	fa := st.faults
	now := time.Now().Unix()
	if now != st.countedSecond {
		st.countedSecond, st.reads, st.writes = now, 0, 0
	}
	var limited bool
	if write {
		st.writes++
		st.counts.Writes++
		limited = fa.WritesPerSecond > 0 && st.writes > fa.WritesPerSecond
	} else {
		st.reads++
		st.counts.Reads++
		limited = fa.ReadsPerSecond > 0 && st.reads > fa.ReadsPerSecond
	}
	if limited {
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
	case limited:
		w.WriteHeader(http.StatusTooManyRequests)
		return fa, false
	}
	return fa, true
}

// handleRead runs a read if it is admitted.
func (st *Store) handleRead(fn http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, rq *http.Request) {
		if _, ok := st.admit(w, false); ok {
			fn(w, rq)
		}
	}
}

// handleWrite runs a write if it is admitted. Its reply may be cut off after it took effect.
func (st *Store) handleWrite(fn func(*http.Request, []byte) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, rq *http.Request) {
		body, err := io.ReadAll(rq.Body)
		if err != nil {
			return
		}
		fa, ok := st.admit(w, true)
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

func writeJSON(w http.ResponseWriter, out any) {
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
	writeJSON(w, it)
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
	writeJSON(w, its)
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
			writeJSON(w, it)
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

// maxValueBytes is the largest value that the store accepts.
const maxValueBytes = 1 << 20

func (st *Store) put(rq *http.Request, body []byte) (int, any) {
	key, qu := rq.PathValue("key"), rq.URL.Query()
	it := st.items[key]
	id := qu.Get("lease")
	prev, _ := strconv.ParseUint(qu.Get("prev"), 10, 64)
	switch {
	case len(body) > maxValueBytes:
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
	st.notifyWatches()
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
	st.notifyWatches()
	return http.StatusOK, struct{}{}
}

// notifyWatches wakes all waiting watches. The caller holds the lock.
func (st *Store) notifyWatches() {
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

// expire removes expired leases with their keys. The caller holds the lock.
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
				st.notifyWatches()
			}
		}
	}
}
