// Package sibling speaks with the other entries about the store's newest
// content: an entry that the store does not answer asks those it does.
//
// A question costs nothing while the store is well, since none is asked. The
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
	target := Path + "?after=" + strconv.FormatUint(uint64(after), 10)
	rs, err := si.cl.Do(ctx, addr, &upstream.Request{Method: http.MethodGet, Target: target, Host: addr, Header: http.Header{}})
	if err != nil {
		return mirror.News{}, err
	}
	defer rs.Body.Close()
	raw, err := io.ReadAll(rs.Body)
	if err != nil {
		return mirror.News{}, err
	}
	if rs.Status != http.StatusOK {
		return mirror.News{}, eris.Errorf("sibling: status %d", rs.Status)
	}
	var ms message
	if err := json.Unmarshal(raw, &ms); err != nil {
		return mirror.News{}, eris.Wrap(err, "sibling")
	}
	ne := mirror.News{Newer: ms.Newer, Revision: ms.Revision, Age: time.Duration(ms.AgeMs) * time.Millisecond}
	for _, it := range ms.Items {
		ne.Items = append(ne.Items, core.Item(it))
	}
	return ne, nil
}
