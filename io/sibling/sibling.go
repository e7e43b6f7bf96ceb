// Package sibling implements the communication between entries. The entries of a region
// gossip their load at upstreams and the revision of their store replica by datagrams. An
// entry with an older revision, or without contact to the store, fetches the newest content
// from a sibling by HTTP. During a roll-out, entries also fetch each other's evidence.
//
// The response contains the changes since the client's revision, or the whole replica if
// some of those changes were dropped from the log, so that it is complete for any client
// revision.
//
// # Usage
//
//	mux.Handle("GET "+sibling.ReplicaPath, sibling.ReplicaHandler(own, re, follower.Doubtful))
//	sibs := sibling.New(cl, addrs, rand.IntN)     // replica.Siblings
//	up, err := sibs.Fetch(ctx, revision)
package sibling

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/canary"
	"skylarkstand/core/replica"
	"skylarkstand/io/limited"
	"skylarkstand/io/upstream"
)

// message is the JSON response to a request for the replica.
type message struct {
	Revision core.Revision `json:"revision"`
	// From is the address at which the server serves siblings.
	From string `json:"from,omitempty"`
	// AgeMs is the time in milliseconds since the replica was last confirmed up to date.
	AgeMs int64 `json:"age-ms"`
	// Doubtful reports whether removals may be leases that expired during an outage of the store.
	Doubtful bool `json:"doubtful,omitempty"`
	Newer    bool `json:"newer"`
	// Whole reports whether Items is the whole replica. Otherwise Changes are the changes since
	// the client's revision.
	Whole   bool     `json:"whole,omitempty"`
	Items   []item   `json:"items,omitempty"`
	Changes []change `json:"changes,omitempty"`
}

// maxAge bounds the age of a replica. An outage of the store lasts for hours.
const maxAge = 30 * 24 * time.Hour

// errImplausible is the error of a message with numbers that no entry sends.
var errImplausible = eris.New("sibling: the message has a number outside its range")

// check reports numbers outside their ranges. A revision that no store has would hide all that follow.
func (ms *message) check() error {
	ok := ms.AgeMs >= 0 && ms.Revision <= core.MaxRevision
	for _, it := range ms.Items {
		ok = ok && it.Revision <= core.MaxRevision
	}
	for _, ch := range ms.Changes {
		ok = ok && ch.Revision <= core.MaxRevision
	}
	if !ok {
		return errImplausible
	}
	return nil
}

type item struct {
	Key      string        `json:"key"`
	Value    []byte        `json:"value"`
	Revision core.Revision `json:"revision"`
}

type change struct {
	item
	Gone bool `json:"gone,omitempty"`
	// Certain is set for a removal that is not doubtful, whatever the whole message is.
	Certain bool `json:"certain,omitempty"`
}

// updateSince returns the response for a client at a revision: the changes since then, or the
// whole replica if some of them were dropped from the log.
func updateSince(re *replica.Replica, after core.Revision) message {
	age := re.Age(time.Now())
	changes, rev, ok := re.Since(after)
	ms := message{Revision: rev, AgeMs: age.Milliseconds(), Newer: rev > after, Whole: !ok}
	if !ms.Newer {
		return ms
	}
	for _, ch := range changes {
		ms.Changes = append(ms.Changes, change{item(ch.Item), ch.Removed, ch.Removed && ch.Certain})
	}
	if ms.Whole {
		items, rev, confirmedAt := re.Copy("")
		ms.Revision, ms.AgeMs = rev, time.Since(confirmedAt).Milliseconds()
		for _, it := range items {
			ms.Items = append(ms.Items, item(it))
		}
	}
	return ms
}

// ReportsPath is the URL path of an entry's evidence about roll-outs in progress.
const ReportsPath = "/roll-outs"

// ReportsHandler returns a handler that serves a guard's evidence to siblings.
func ReportsHandler(gu *canary.Guard) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(gu.Reports(time.Now()))
	})
}

// Each round requests evidence from half of the siblings in rotation, so that two rounds
// cover the sessions of all of them. The number is at least minReporters, whose evidence
// together suffices for any service, and at most maxReporters.
const (
	minReporters = 12
	maxReporters = 24
)

// Siblings is the HTTP client for other entries. It implements replica.Siblings and
// canary.Siblings.
type Siblings struct {
	request Transport
	addrs   func() []string
	// randIntN returns a random number in [0, n).
	randIntN func(n int) int
	// nextReporter is the index of the sibling to request evidence from next.
	nextReporter atomic.Int64
	// own is the address at which this entry serves siblings; empty if it serves none.
	own string
	// seeds are the addresses to get a first copy from, and isSeed is set if this entry is one of them.
	seeds  []string
	isSeed bool
	// triedStore is set once this entry, as a seed, was told to read the store.
	triedStore atomic.Bool
	// onFirst is called with the address of the entry that the first copy came from.
	onFirst func(addr string)
}

// Option configures a client.
type Option func(*Siblings)

// Own sets the address at which this entry serves siblings. Without it, servers do not refer this entry
// to others.
func Own(addr string) Option { return func(si *Siblings) { si.own = addr } }

// Seeds sets the addresses to get a first copy from. own is this entry's own address in their list.
// onFirst is called with the address of the entry that the first copy came from.
func Seeds(seeds []string, own string, onFirst func(addr string)) Option {
	return func(si *Siblings) {
		si.isSeed = slices.Contains(seeds, own)
		si.seeds = slices.DeleteFunc(slices.Clone(seeds), func(addr string) bool { return addr == own })
		si.onFirst = onFirst
	}
}

// New returns a client for the siblings at the addresses returned by addrs. It picks the
// first sibling of a request with randIntN.
func New(cl *upstream.Client, addrs func() []string, randIntN func(n int) int, opts ...Option) *Siblings {
	si := &Siblings{request: requestByHTTP(cl), addrs: addrs, randIntN: randIntN, onFirst: func(string) {}}
	for _, opt := range opts {
		opt(si)
	}
	return si
}

// Reports implements canary.Siblings. Siblings that do not respond are left out.
func (si *Siblings) Reports(ctx context.Context) []canary.Report {
	addrs := si.addrs()
	slices.Sort(addrs)
	n := min(max((len(addrs)+1)/2, minReporters), maxReporters, len(addrs))
	first := int(si.nextReporter.Add(int64(n))) - n
	got := make(chan []canary.Report, n)
	for i := range n {
		addr := addrs[(first+i)%len(addrs)]
		go func() {
			var res []canary.Report
			if err := si.get(ctx, addr, ReportsPath, &res); err != nil {
				res = nil // The sibling is left out of this round.
			}
			got <- res
		}()
	}
	var out []canary.Report
	for range n {
		out = append(out, <-got...)
	}
	return out
}

// Response is a sibling's response to a request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Transport sends a GET request for a target to a sibling.
type Transport func(ctx context.Context, addr, target string) (Response, error)

// RequestBy sets how requests are sent; the default is HTTP.
func RequestBy(tr Transport) Option { return func(si *Siblings) { si.request = tr } }

func requestByHTTP(cl *upstream.Client) Transport {
	return func(ctx context.Context, addr, target string) (Response, error) {
		rs, err := cl.Do(ctx, addr, &upstream.Request{Method: http.MethodGet, Target: target, Host: addr, Header: http.Header{}})
		if err != nil {
			return Response{}, err
		}
		defer rs.Body.Close()
		raw, err := limited.ReadAll(rs.Body, limited.MaxMessage)
		return Response{rs.Status, rs.Header, raw}, eris.Wrap(err, "sibling")
	}
}

// get sends a GET request to a sibling and decodes the JSON response into out.
func (si *Siblings) get(ctx context.Context, addr, target string, out any) error {
	rs, err := si.request(ctx, addr, target)
	if err != nil {
		return err
	}
	if rs.Status == http.StatusServiceUnavailable {
		return busyError(rs.Body)
	}
	if rs.Status != http.StatusOK {
		return eris.Errorf("sibling: GET %s from %s: status %d", target, addr, rs.Status)
	}
	raw, err := decompress(rs)
	if err != nil {
		return err
	}
	return eris.Wrap(json.Unmarshal(raw, out), "sibling")
}

// maxReplicaBytes bounds a decompressed response, in bytes. The replica of the largest planned fleet, with
// 12,000 upstreams, has some 6 MB.
const maxReplicaBytes = 32 << 20

func decompress(rs Response) ([]byte, error) {
	if rs.Header.Get("Content-Encoding") != "gzip" {
		return rs.Body, nil
	}
	zr, err := gzip.NewReader(bytes.NewReader(rs.Body))
	if err != nil {
		return nil, eris.Wrap(err, "sibling")
	}
	raw, err := limited.ReadAll(zr, maxReplicaBytes)
	return raw, eris.Wrap(err, "sibling")
}
