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
//	mux.Handle("GET "+sibling.ReplicaPath, sibling.ReplicaHandler(re, follower.Doubtful))
//	sibs := sibling.New(cl, addrs, rand.IntN)     // replica.Siblings
//	up, err := sibs.Fetch(ctx, revision)
package sibling

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/canary"
	"skylarkstand/core/replica"
	"skylarkstand/io/upstream"
)

// ReplicaPath is the URL path of the replica. The query parameter "after" is the client's revision;
// with changesOnly the server returns an error instead of the whole replica.
const (
	ReplicaPath = "/mirror"
	changesOnly = "changes-only"
)

// message is the JSON response to a request for the replica.
type message struct {
	Revision core.Revision `json:"revision"`
	// AgeMs is the time in milliseconds since the replica was last confirmed up to date.
	AgeMs    int64 `json:"age-ms"`
	Doubtful bool  `json:"doubtful,omitempty"`
	Newer    bool  `json:"newer"`
	// Whole reports whether Items is the whole replica. Otherwise Changes are the changes since
	// the client's revision.
	Whole   bool     `json:"whole,omitempty"`
	Items   []item   `json:"items,omitempty"`
	Changes []change `json:"changes,omitempty"`
}

type item struct {
	Key      string        `json:"key"`
	Value    []byte        `json:"value"`
	Revision core.Revision `json:"revision"`
}

type change struct {
	item
	Gone bool `json:"gone,omitempty"`
}

// ReplicaHandler serves a replica to siblings: the changes since their revision, or the whole
// replica if they lag too far behind. doubtful reports whether a removal may have been
// caused by a store outage.
func ReplicaHandler(re *replica.Replica, doubtful func(now time.Time) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, rq *http.Request) {
		after, err := strconv.ParseUint(rq.FormValue("after"), 10, 64)
		if err != nil {
			http.Error(w, "after must be a revision", http.StatusBadRequest)
			return
		}
		if _, _, complete := re.Since(core.Revision(after)); !complete && rq.FormValue(changesOnly) != "" {
			http.Error(w, "the changes are not kept any more", http.StatusGone)
			return
		}
		ms := updateSince(re, core.Revision(after))
		if ms.Revision == 0 {
			http.Error(w, "nothing is known here yet", http.StatusServiceUnavailable)
			return
		}
		ms.Doubtful = doubtful(time.Now())
		writeResponse(w, ms)
	})
}

// compressFrom is the size in bytes from which a response is compressed. Only
// configurations with hundreds of routes justify the memory of a compressor.
const compressFrom = 64 << 10

// writeResponse encodes a message as JSON, compressed if it is large.
func writeResponse(w http.ResponseWriter, ms message) {
	raw, err := json.Marshal(ms)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if len(raw) < compressFrom {
		_, _ = w.Write(raw) // The client detects a truncated response.
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	zw := gzip.NewWriter(w)
	_, _ = zw.Write(raw) // As above.
	_ = zw.Close()
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
		ms.Changes = append(ms.Changes, change{item(ch.Item), ch.Removed})
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
	cl    *upstream.Client
	addrs func() []string
	// randIntN returns a random number in [0, n).
	randIntN func(n int) int
	// nextReporter is the index of the sibling to request evidence from next.
	nextReporter atomic.Int64
}

// New returns a client for the siblings at the addresses returned by addrs. It picks the
// first sibling of a request with randIntN.
func New(cl *upstream.Client, addrs func() []string, randIntN func(n int) int) *Siblings {
	return &Siblings{cl: cl, addrs: addrs, randIntN: randIntN}
}

// fetchFanout is the number of siblings that receive one request in parallel. The store at
// times rejects a third of the hosts; of three siblings, nearly always at least one is up
// to date.
const fetchFanout = 3

// Fetch implements replica.Siblings. It returns the newest response of a few siblings.
func (si *Siblings) Fetch(ctx context.Context, after core.Revision) (replica.Update, error) {
	addrs := si.addrs()
	if len(addrs) == 0 {
		return replica.Update{}, eris.New("sibling: no other entry is registered")
	}
	type result struct {
		up  replica.Update
		err error
	}
	n := min(fetchFanout, len(addrs))
	got := make(chan result, n)
	first := si.randIntN(len(addrs))
	for i := range n {
		addr := addrs[(first+i)%len(addrs)]
		go func() {
			up, err := si.requestUpdate(ctx, addr, "?after="+formatRevision(after))
			got <- result{up, err}
		}()
	}
	best, found := replica.Update{}, false
	var lastErr error
	for range n {
		re := <-got
		if re.err != nil {
			lastErr = re.err
			continue
		}
		if !found || re.up.Revision > best.Revision || re.up.Revision == best.Revision && re.up.Age < best.Age {
			best, found = re.up, true
		}
	}
	if !found {
		return best, lastErr
	}
	return best, nil
}

// FetchFrom implements replica.Siblings. It fails if the sibling has dropped some of the changes
// from its log: serving whole replicas to all entries of a region would cost one entry more
// than watching the store costs each of them.
func (si *Siblings) FetchFrom(ctx context.Context, addr string, after core.Revision) (replica.Update, error) {
	return si.requestUpdate(ctx, addr, "?after="+formatRevision(after)+"&"+changesOnly+"=true")
}

func formatRevision(rev core.Revision) string { return strconv.FormatUint(uint64(rev), 10) }

func (si *Siblings) requestUpdate(ctx context.Context, addr, query string) (replica.Update, error) {
	var ms message
	if err := si.get(ctx, addr, ReplicaPath+query, &ms); err != nil {
		return replica.Update{}, err
	}
	up := replica.Update{
		Newer: ms.Newer, Full: ms.Whole, Revision: ms.Revision, Age: time.Duration(ms.AgeMs) * time.Millisecond, Doubtful: ms.Doubtful,
	}
	for _, ch := range ms.Changes {
		up.Changes = append(up.Changes, core.Change{Item: core.Item(ch.item), Removed: ch.Gone})
	}
	for _, it := range ms.Items {
		up.Items = append(up.Items, core.Item(it))
	}
	return up, nil
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

func readAll(rs *upstream.Response) ([]byte, error) {
	if rs.Header.Get("Content-Encoding") != "gzip" {
		return io.ReadAll(rs.Body)
	}
	zr, err := gzip.NewReader(rs.Body)
	if err != nil {
		return nil, eris.Wrap(err, "sibling")
	}
	return io.ReadAll(zr)
}

// get sends a GET request to a sibling and decodes the JSON response into out.
func (si *Siblings) get(ctx context.Context, addr, target string, out any) error {
	rs, err := si.cl.Do(ctx, addr, &upstream.Request{Method: http.MethodGet, Target: target, Host: addr, Header: http.Header{}})
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	raw, err := readAll(rs)
	if err != nil {
		return err
	}
	if rs.Status != http.StatusOK {
		return eris.Errorf("sibling: GET %s from %s: status %d", target, addr, rs.Status)
	}
	return eris.Wrap(json.Unmarshal(raw, out), "sibling")
}
