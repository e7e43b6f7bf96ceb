// Package sibling speaks with the other entries. An entry that the store does
// not answer asks those it does for the store's newest content; while a roll-out
// goes on, entries ask one another for their evidence.
//
// The first costs nothing while the store is well, since nobody asks. The
// answer is the whole copy or the word that there is nothing newer, so that it
// is right whatever the asker missed.
//
// # Usage
//
//	mux.Handle("GET "+sibling.Path, sibling.Handler(mi))
//	sibs := sibling.New(cl, addrs, rand.IntN)     // mirror.Siblings
//	ne, err := sibs.Ask(ctx, revision)
package sibling

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/canary"
	"skylarkstand/core/mirror"
	"skylarkstand/io/upstream"
)

// Path is where the copy is asked for. The query's after is the revision that
// the asker has.
const Path = "/mirror"

type message struct {
	Revision core.Revision `json:"revision"`
	// AgeMs is how long ago the copy was known to be the newest.
	AgeMs int64  `json:"age-ms"`
	Newer bool   `json:"newer"`
	Items []item `json:"items,omitempty"`
}

type item struct {
	Key      string        `json:"key"`
	Value    []byte        `json:"value"`
	Revision core.Revision `json:"revision"`
}

// Handler serves a mirror to siblings.
func Handler(mi *mirror.Mirror) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, rq *http.Request) {
		after, err := strconv.ParseUint(rq.FormValue("after"), 10, 64)
		if err != nil {
			http.Error(w, "after must be a revision", http.StatusBadRequest)
			return
		}
		items, rev, heard := mi.Copy("")
		if rev == 0 {
			http.Error(w, "nothing is known here yet", http.StatusServiceUnavailable)
			return
		}
		ms := message{Revision: rev, AgeMs: time.Since(heard).Milliseconds(), Newer: rev > core.Revision(after)}
		if ms.Newer {
			for _, it := range items {
				ms.Items = append(ms.Items, item(it))
			}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(ms)
	})
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

// reporters is how many siblings are asked for their evidence in one round. A
// dozen see enough of any service together, however many there are.
const reporters = 12

// Siblings asks other entries. It implements mirror.Siblings.
type Siblings struct {
	cl    *upstream.Client
	addrs func() []string
	draw  func(n int) int
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
			ne, err := si.ask(ctx, addr, after)
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

func (si *Siblings) ask(ctx context.Context, addr string, after core.Revision) (mirror.News, error) {
	var ms message
	if err := si.get(ctx, addr, Path+"?after="+strconv.FormatUint(uint64(after), 10), &ms); err != nil {
		return mirror.News{}, err
	}
	ne := mirror.News{Newer: ms.Newer, Revision: ms.Revision, Age: time.Duration(ms.AgeMs) * time.Millisecond}
	for _, it := range ms.Items {
		ne.Items = append(ne.Items, core.Item(it))
	}
	return ne, nil
}

// Reports implements canary.Entries. Those that do not answer are left out.
func (si *Siblings) Reports(ctx context.Context) []canary.Report {
	addrs := si.addrs()
	first := si.draw(max(len(addrs), 1))
	n := min(reporters, len(addrs))
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

// get asks a sibling and decodes its answer.
func (si *Siblings) get(ctx context.Context, addr, target string, out any) error {
	rs, err := si.cl.Do(ctx, addr, &upstream.Request{Method: http.MethodGet, Target: target, Host: addr, Header: http.Header{}})
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	raw, err := io.ReadAll(rs.Body)
	if err != nil {
		return err
	}
	if rs.Status != http.StatusOK {
		return eris.Errorf("sibling: status %d", rs.Status)
	}
	return eris.Wrap(json.Unmarshal(raw, out), "sibling")
}
