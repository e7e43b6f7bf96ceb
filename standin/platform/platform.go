// Package platform is a stand-in for the platform's host list and its service
// that rates answers.
//
// A prompt has a difficulty between 0 and 1 that depends only on its text; the
// answer of a version of quality q is rated good if the difficulty is below q.
// So the ratings are the same in every run.
//
// # Usage
//
//	http.ListenAndServe(addr, platform.New(map[string]float64{"desk@v1": 0.8}))
//	curl -X PUT addr/v1/hosts -d '[{"role":"agent", …}]'
package platform

import (
	"encoding/json"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkstand/core"
)

// Faults are the injected faults, in effect until the next POST /faults.
type Faults struct {
	// ListDown answers reads of the host list with 503, RatingDown ratings.
	ListDown   bool `json:"list-down"`
	RatingDown bool `json:"rating-down"`
	// RatingSlow delays ratings, in milliseconds.
	RatingSlow int `json:"rating-slow"`
	// ListDelay delays changes of the host list, in milliseconds.
	ListDelay int `json:"lag"`
}

// Platform serves the host list and ratings. It is safe for concurrent use.
type Platform struct {
	mux *http.ServeMux

	mu      sync.Mutex
	quality map[string]float64
	hosts   []core.Host
	faults  Faults
}

// New returns a platform with an empty host list. The keys of quality are model@version.
func New(quality map[string]float64) *Platform {
	pl := &Platform{mux: http.NewServeMux(), quality: quality, hosts: []core.Host{}}
	pl.mux.HandleFunc("GET /v1/hosts", pl.getHosts)
	pl.mux.HandleFunc("PUT /v1/hosts", pl.setHosts)
	pl.mux.HandleFunc("PUT /v1/quality", pl.setQuality)
	pl.mux.HandleFunc("POST /v1/rate", pl.rate)
	pl.mux.HandleFunc("POST /faults", pl.setFaults)
	return pl
}

// ServeHTTP implements [http.Handler].
func (pl *Platform) ServeHTTP(w http.ResponseWriter, rq *http.Request) { pl.mux.ServeHTTP(w, rq) }

func (pl *Platform) currentFaults() Faults {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.faults
}

func (pl *Platform) getHosts(w http.ResponseWriter, _ *http.Request) {
	if pl.currentFaults().ListDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	_ = json.NewEncoder(w).Encode(pl.hosts)
}

func (pl *Platform) setHosts(w http.ResponseWriter, rq *http.Request) {
	var hosts []core.Host
	if !decode(w, rq, &hosts) {
		return
	}
	apply := func() {
		pl.mu.Lock()
		defer pl.mu.Unlock()
		pl.hosts = hosts
	}
	if delay := pl.currentFaults().ListDelay; delay > 0 {
		time.AfterFunc(time.Duration(delay)*time.Millisecond, apply)
		return
	}
	apply()
}

func (pl *Platform) setQuality(w http.ResponseWriter, rq *http.Request) {
	var quality map[string]float64
	if !decode(w, rq, &quality) {
		return
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.quality = quality
}

func (pl *Platform) setFaults(w http.ResponseWriter, rq *http.Request) {
	var fa Faults
	if !decode(w, rq, &fa) {
		return
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.faults = fa
}

func (pl *Platform) rate(w http.ResponseWriter, rq *http.Request) {
	var qu struct {
		core.ModelVersion
		Prompt []byte `json:"prompt"`
	}
	if !decode(w, rq, &qu) {
		return
	}
	fa := pl.currentFaults()
	time.Sleep(time.Duration(fa.RatingSlow) * time.Millisecond)
	if fa.RatingDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	difficulty := float64(xxhash.Sum64(qu.Prompt)) / math.MaxUint64
	good := 0.0
	pl.mu.Lock()
	if difficulty < pl.quality[qu.String()] {
		good = 1
	}
	pl.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]float64{"quality": good})
}

func decode(w http.ResponseWriter, rq *http.Request, out any) bool {
	if json.NewDecoder(rq.Body).Decode(out) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}
