package sibling_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/replica"
	"skylarkstand/io/sibling"
	"skylarkstand/io/upstream"
)

// Guards against changes that are altered in transfer, and against large configurations that
// are sent to every entry uncompressed.
func TestChangesArriveCompressed(t *testing.T) {
	var doc strings.Builder
	for i := range 1000 {
		fmt.Fprintf(&doc, `{"id":"route-%d","host":"a.example","prefix":"/draft-%d/","splits":[{"service":"pool","weight":1}]}`, i, i)
	}
	mi := replica.New()
	mi.Replace(nil, 4, time.Now())
	changes := []core.Change{
		{Item: core.Item{Key: "a", Value: []byte(doc.String()), Revision: 5}},
		{Item: core.Item{Key: "b", Revision: 6}, Removed: true},
	}
	mi.Apply(changes, 6, time.Now())
	doubtful := func(time.Time) bool { return true }
	rec := httptest.NewRecorder()
	sibling.ReplicaHandler(mi, doubtful).ServeHTTP(rec, httptest.NewRequest(http.MethodGet, sibling.ReplicaPath+"?after=4", nil))
	assert.Assert(t, rec.Body.Len() < doc.Len()/4, "%d of %d bytes", rec.Body.Len(), doc.Len())

	srv := httptest.NewServer(sibling.ReplicaHandler(mi, doubtful))
	defer srv.Close()
	cl, cleanup := upstream.New()
	defer cleanup()
	addr := strings.TrimPrefix(srv.URL, "http://")
	si := sibling.New(cl, func() []string { return []string{addr} }, func(int) int { return 0 })
	ne, err := si.FetchFrom(t.Context(), addr, 4)
	assert.NilError(t, err)
	assert.Assert(t, ne.Newer && !ne.Full && ne.Doubtful)
	assert.DeepEqual(t, ne.Changes, changes)
	_, err = si.FetchFrom(t.Context(), addr, 2)
	assert.ErrorContains(t, err, "410")
	ne, err = si.Fetch(t.Context(), 2)
	assert.NilError(t, err)
	assert.Assert(t, ne.Full)
	assert.Equal(t, len(ne.Items), 1)
	ne, err = si.FetchFrom(t.Context(), addr, 6)
	assert.NilError(t, err)
	assert.Assert(t, !ne.Newer)
	assert.Equal(t, ne.Revision, core.Revision(6))
}
