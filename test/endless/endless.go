// Package endless is a peer whose answers never end, for tests of the limits of what is read.
//
// # Usage
//
//	pe := endless.Serve(t, "{\"items\":[", "1,")
//	_, err := client.Get(pe.URL)
//	pe.AssertStopped(t, 32<<20)
package endless

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Peer is an HTTP server whose answers never end.
type Peer struct {
	*httptest.Server
	written atomic.Int64
}

// Serve starts a peer that answers each request with a beginning and then repeats text.
func Serve(t *testing.T, beginning, text string) *Peer {
	t.Helper()
	pe := &Peer{}
	chunk := []byte(strings.Repeat(text, 1+64<<10/len(text)))
	pe.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, beginning)
		for err == nil && pe.written.Load() < maxWritten {
			var n int
			n, err = w.Write(chunk)
			pe.written.Add(int64(n))
		}
	}))
	t.Cleanup(func() {
		pe.CloseClientConnections()
		pe.Close()
	})
	return pe
}

// maxWritten ends the answers, in bytes, so that a test without a limit fails and does not
// exhaust the memory.
const maxWritten = 64 << 20

// AssertStopped checks that the peer was cut off before it had written more than a number of bytes.
func (pe *Peer) AssertStopped(t *testing.T, limit int64) {
	t.Helper()
	assert.Assert(t, pe.written.Load() <= limit, "the peer has written %d bytes", pe.written.Load())
}
