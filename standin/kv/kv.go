// Package kv is a stand-in for the users' key-value store: revisions,
// preconditions, leases, watches and a history that can be compacted. It fails on
// demand, so that tests can cause failures without the platform.
//
// # Usage
//
//	st := kv.New()
//	srv := httptest.NewServer(st)
//	st.Put("op/config", value)
//	st.SetFault(kv.Unavailable)
package kv

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a fault that the store applies to all calls.
type Fault int

// The faults.
const (
	// None: calls are answered normally.
	None Fault = iota
	// Unavailable: calls are refused with 503 and have no effect.
	Unavailable
	// LostReplies: the connection of each call is closed without a response; writes take effect.
	LostReplies
)

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	LeaseID   int64  `json:"lease_id"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is a key-value store. It implements http.Handler and is safe for concurrent use.
type Store struct {
	mux *http.ServeMux

	mu        sync.Mutex
	items     map[string]item
	history   []item
	rev       uint64
	compacted uint64 // history up to this revision is compacted
	leases    map[int64]time.Duration
	lease     int64
	fault     Fault
	changed   chan struct{}
	writes    int
}

// New returns an empty store.
func New() *Store {
	st := &Store{
		mux: http.NewServeMux(), items: map[string]item{}, rev: 1, leases: map[int64]time.Duration{},
		lease: 1000, changed: make(chan struct{}),
	}
	st.mux.HandleFunc("GET /-/kv-key", st.getKey)
	st.mux.HandleFunc("GET /-/kv-range", st.getRange)
	st.mux.HandleFunc("GET /-/kv-watch", st.getWatch)
	st.mux.HandleFunc("POST /-/kv-txn", st.postTxn)
	st.mux.HandleFunc("POST /-/kv-lease", st.postLease)
	st.mux.HandleFunc("POST /-/kv-keep/{id}", st.postKeep)
	return st
}

// ServeHTTP implements http.Handler.
func (st *Store) ServeHTTP(w http.ResponseWriter, rq *http.Request) {
	switch st.currentFault() {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case LostReplies:
		if rq.Method == http.MethodPost {
			st.mux.ServeHTTP(&discardWriter{ResponseWriter: w}, rq)
		}
		panic(http.ErrAbortHandler)
	default:
		st.mux.ServeHTTP(w, rq)
	}
}

// discardWriter discards a response.
type discardWriter struct{ http.ResponseWriter }

func (*discardWriter) WriteHeader(int)             {}
func (*discardWriter) Write(p []byte) (int, error) { return len(p), nil }

func (st *Store) currentFault() Fault {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.fault
}

// SetFault sets the fault that applies to further calls; None ends it.
func (st *Store) SetFault(fa Fault) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.fault = fa
}

// Put writes a key as the operator or an upstream would.
func (st *Store) Put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.write(item{Key: key, Value: raw})
}

// Remove removes a key, as an expired lease would.
func (st *Store) Remove(key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.write(item{Key: key, Tombstone: true})
}

// Compact removes the history, so that a watch from an older revision gets 410.
func (st *Store) Compact() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.history, st.compacted = nil, st.rev
}

// Get returns a key's value, or nil if the key is absent.
func (st *Store) Get(key string) []byte {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.items[key].Value
}

// Writes returns the number of transactions that took effect, without Put and Remove.
func (st *Store) Writes() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.writes
}

// write applies one change. The caller holds the lock.
func (st *Store) write(it item) {
	st.rev++
	it.Revision = st.rev
	if it.Tombstone {
		delete(st.items, it.Key)
	} else {
		it.Created = st.rev
		if old, ok := st.items[it.Key]; ok {
			it.Created = old.Created
		}
		st.items[it.Key] = it
	}
	st.history = append(st.history, it)
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *Store) getKey(w http.ResponseWriter, rq *http.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	it, ok := st.items[rq.FormValue("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		CurrentRev uint64 `json:"current_rev"`
	}{it, st.rev})
}

// pageSize is the number of items that a range returns, small so that tests need several pages.
const pageSize = 5

func (st *Store) getRange(w http.ResponseWriter, rq *http.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	var keys []string
	for key := range st.items {
		if strings.HasPrefix(key, rq.FormValue("prefix")) && key > rq.FormValue("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageSize
	out := []item{}
	for _, key := range keys[:min(pageSize, len(keys))] {
		out = append(out, st.items[key])
	}
	writeJSON(w, map[string]any{"items": out, "has_more": more, "current_rev": st.rev})
}

func (st *Store) getWatch(w http.ResponseWriter, rq *http.Request) {
	after, _ := strconv.ParseUint(rq.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(rq.FormValue("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		st.mu.Lock()
		if after < st.compacted {
			st.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, it := range st.history {
			if it.Revision > after && strings.HasPrefix(it.Key, rq.FormValue("prefix")) {
				events = append(events, it)
			}
		}
		rev, changed := st.rev, st.changed
		st.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, map[string]any{"events": events, "current_rev": rev})
			return
		case <-rq.Context().Done():
			return
		}
	}
}

func (st *Store) postTxn(w http.ResponseWriter, rq *http.Request) {
	var txn struct {
		Precondition []item   `json:"precondition"`
		Puts         []item   `json:"puts"`
		Remove       []string `json:"remove"`
	}
	if json.NewDecoder(rq.Body).Decode(&txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, co := range txn.Precondition {
		if st.items[co.Key].Revision != co.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, pu := range txn.Puts {
		if strings.HasPrefix(pu.Key, "op/") || strings.HasPrefix(pu.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := st.leases[pu.LeaseID]; pu.LeaseID != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		st.write(pu)
	}
	for _, key := range txn.Remove {
		st.write(item{Key: key, Tombstone: true})
	}
	st.writes++
	writeJSON(w, map[string]any{"revision": st.rev})
}

func (st *Store) postLease(w http.ResponseWriter, rq *http.Request) {
	var in struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(rq.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lease++
	st.leases[st.lease] = time.Duration(in.TTLMs) * time.Millisecond
	writeJSON(w, map[string]any{"lease_id": st.lease, "ttl_ms": in.TTLMs})
}

func (st *Store) postKeep(w http.ResponseWriter, rq *http.Request) {
	id, _ := strconv.ParseInt(rq.PathValue("id"), 10, 64)
	st.mu.Lock()
	defer st.mu.Unlock()
	if _, ok := st.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]any{"lease_id": id})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
