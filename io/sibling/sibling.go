// Package sibling speaks with the other entries. By datagrams entries tell those
// of their region what they have at upstreams and which revision of the store
// they hold. Who holds an older one, or hears nothing from the store, asks for
// the newest content; while a roll-out goes on, entries ask one another for their
// evidence.
//
// The answer is the changes since the asker's revision, or the whole copy where
// some of those are not kept any more, so that it is right whatever the asker
// missed.
//
// # Usage
//
//	mux.Handle("GET "+sibling.Path, sibling.Handler(mi, follower.Doubtful))
//	sibs := sibling.New(cl, addrs, rand.IntN)     // mirror.Siblings
//	ne, err := sibs.Ask(ctx, revision)
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
	"skylarkstand/core/mirror"
	"skylarkstand/io/upstream"
)

// Path is where the copy is asked for. The query's after is the revision that
// the asker has; with changesOnly the whole copy is not wanted.
const (
	Path        = "/mirror"
	changesOnly = "changes-only"
)

type message struct {
	Revision core.Revision `json:"revision"`
	// AgeMs is how long ago the copy was known to be the newest.
	AgeMs    int64 `json:"age-ms"`
	Doubtful bool  `json:"doubtful,omitempty"`
	Newer    bool  `json:"newer"`
	// Whole says that Items are the whole copy; otherwise Changes lead to it.
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

// Handler serves a mirror to siblings: the changes since their revision, or the
// whole copy where they lag too far. Doubtful reports whether a removal may be
// the store's own trouble.
func Handler(mi *mirror.Mirror, doubtful func(now time.Time) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, rq *http.Request) {
		after, err := strconv.ParseUint(rq.FormValue("after"), 10, 64)
		if err != nil {
			http.Error(w, "after must be a revision", http.StatusBadRequest)
			return
		}
		if _, _, kept := mi.Since(core.Revision(after)); !kept && rq.FormValue(changesOnly) != "" {
			http.Error(w, "the changes are not kept any more", http.StatusGone)
			return
		}
		ms := newsSince(mi, core.Revision(after))
		if ms.Revision == 0 {
			http.Error(w, "nothing is known here yet", http.StatusServiceUnavailable)
			return
		}
		ms.Doubtful = doubtful(time.Now())
		answer(w, ms)
	})
}

// compressFrom is the size in bytes from which an answer is compressed. Only
// configurations with hundreds of routes are worth the memory of a compressor.
const compressFrom = 64 << 10

// answer encodes an answer.
func answer(w http.ResponseWriter, ms message) {
	raw, err := json.Marshal(ms)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if len(raw) < compressFrom {
		_, _ = w.Write(raw) // The asker sees that it is cut.
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	zw := gzip.NewWriter(w)
	_, _ = zw.Write(raw) // As above.
	_ = zw.Close()
}

// newsSince is what an entry has over a revision.
func newsSince(mi *mirror.Mirror, after core.Revision) message {
	age := mi.Age(time.Now())
	changes, rev, ok := mi.Since(after)
	ms := message{Revision: rev, AgeMs: age.Milliseconds(), Newer: rev > after, Whole: !ok}
	if !ms.Newer {
		return ms
	}
	for _, ch := range changes {
		ms.Changes = append(ms.Changes, change{item(ch.Item), ch.Gone})
	}
	if ms.Whole {
		items, rev, heard := mi.Copy("")
		ms.Revision, ms.AgeMs = rev, time.Since(heard).Milliseconds()
		for _, it := range items {
			ms.Items = append(ms.Items, item(it))
		}
	}
	return ms
}

// ReportsPath is where an entry tells its evidence about roll-outs under way.
const ReportsPath = "/roll-outs"

// Reports serves a guard's evidence to siblings.
func Reports(gu *canary.Guard) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(gu.Reports(time.Now()))
	})
}

// Half of the siblings are asked for their evidence in one round, each in its turn,
// so that in two all have told which sessions they have; but leastReporters, who see
// enough of any service together, and no more than mostReporters.
const (
	leastReporters = 12
	mostReporters  = 24
)

// Siblings asks other entries. It implements mirror.Siblings.
type Siblings struct {
	cl    *upstream.Client
	addrs func() []string
	draw  func(n int) int
	// turn is the sibling that is asked for its evidence next.
	turn atomic.Int64
}

// New returns the siblings at the addresses that addrs lists.
func New(cl *upstream.Client, addrs func() []string, draw func(n int) int) *Siblings {
	return &Siblings{cl: cl, addrs: addrs, draw: draw}
}

// asked is how many siblings are asked in one round. The store turns away a
// third of the hosts at times; of three, one at least has news nearly always.
const asked = 3

// Ask implements mirror.Siblings: the newest of a few siblings' answers.
func (si *Siblings) Ask(ctx context.Context, after core.Revision) (mirror.News, error) {
	addrs := si.addrs()
	if len(addrs) == 0 {
		return mirror.News{}, eris.New("sibling: no other entry is known")
	}
	type result struct {
		ne  mirror.News
		err error
	}
	n := min(asked, len(addrs))
	got := make(chan result, n)
	first := si.draw(len(addrs))
	for i := range n {
		addr := addrs[(first+i)%len(addrs)]
		go func() {
			ne, err := si.ask(ctx, addr, "?after="+revision(after))
			got <- result{ne, err}
		}()
	}
	best, found := mirror.News{}, false
	var last error
	for range n {
		re := <-got
		if re.err != nil {
			last = re.err
			continue
		}
		if !found || re.ne.Revision > best.Revision || re.ne.Revision == best.Revision && re.ne.Age < best.Age {
			best, found = re.ne, true
		}
	}
	if !found {
		return best, last
	}
	return best, nil
}

// AskAt implements mirror.Siblings. It fails where the sibling does not keep all the
// changes: whole copies for a region would take more of one entry than watching the
// store takes of each.
func (si *Siblings) AskAt(ctx context.Context, addr string, after core.Revision) (mirror.News, error) {
	return si.ask(ctx, addr, "?after="+revision(after)+"&"+changesOnly+"=true")
}

func revision(rev core.Revision) string { return strconv.FormatUint(uint64(rev), 10) }

func (si *Siblings) ask(ctx context.Context, addr, query string) (mirror.News, error) {
	var ms message
	if err := si.get(ctx, addr, Path+query, &ms); err != nil {
		return mirror.News{}, err
	}
	ne := mirror.News{
		Newer: ms.Newer, Whole: ms.Whole, Revision: ms.Revision, Age: time.Duration(ms.AgeMs) * time.Millisecond, Doubtful: ms.Doubtful,
	}
	for _, ch := range ms.Changes {
		ne.Changes = append(ne.Changes, core.Change{Item: core.Item(ch.item), Gone: ch.Gone})
	}
	for _, it := range ms.Items {
		ne.Items = append(ne.Items, core.Item(it))
	}
	return ne, nil
}

// Reports implements canary.Entries. Those that do not answer are left out.
func (si *Siblings) Reports(ctx context.Context) []canary.Report {
	addrs := si.addrs()
	slices.Sort(addrs)
	n := min(max((len(addrs)+1)/2, leastReporters), mostReporters, len(addrs))
	first := int(si.turn.Add(int64(n))) - n
	got := make(chan []canary.Report, n)
	for i := range n {
		addr := addrs[(first+i)%len(addrs)]
		go func() {
			var res []canary.Report
			if err := si.get(ctx, addr, ReportsPath, &res); err != nil {
				res = nil // It has nothing to add; the next round asks again.
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

// get asks a sibling and decodes its answer.
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
		return eris.Errorf("sibling: status %d", rs.Status)
	}
	return eris.Wrap(json.Unmarshal(raw, out), "sibling")
}
