package app

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/app/settings"
)

// Guards against unbounded memory per connection: a caller sends two thousand headers of 500 bytes,
// which would take a megabyte if all were read. The entry must refuse them with 431 and accept
// headers below the bound.
func TestRequestHeadersAreBounded(t *testing.T) {
	set := settings.DefaultEntry()
	ts := httptest.NewUnstartedServer(nil)
	ts.Config = callerServer(set, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	ts.Start()
	defer ts.Close()
	for _, sc := range []struct {
		bytes, status int
	}{
		{set.MaxHeader / 2, http.StatusOK},
		{set.MaxHeader + 4096, http.StatusRequestHeaderFieldsTooLarge},
		{1 << 20, http.StatusRequestHeaderFieldsTooLarge},
	} {
		rq, err := http.NewRequest(http.MethodGet, ts.URL, nil)
		assert.NilError(t, err)
		const each = 500
		for range sc.bytes / each {
			rq.Header.Add("X-Note", strings.Repeat("n", each))
		}
		rs, err := http.DefaultClient.Do(rq)
		assert.NilError(t, err)
		rs.Body.Close()
		assert.Equal(t, rs.StatusCode, sc.status, "%d bytes", sc.bytes)
	}
}
