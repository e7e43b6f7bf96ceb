package sibling

import (
	"bytes"
	"compress/gzip"
	"errors"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/io/limited"
	"skylarkstand/io/upstream"
	"skylarkstand/test/endless"
)

// The answer of a sibling never ends: it was read whole.
func TestEndlessAnswerOfASibling(t *testing.T) {
	pe := endless.Serve(t, `{"items":[`, "1,")
	cl, cleanup := upstream.New()
	defer cleanup()
	_, err := requestByHTTP(cl)(t.Context(), strings.TrimPrefix(pe.URL, "http://"), ReplicaPath)
	assert.Assert(t, errors.Is(err, limited.ErrTooLong), "%v", err)
	pe.AssertStopped(t, 2*limited.MaxMessage)
}

// The answer of a sibling is short, and takes the memory of the process once it is decompressed.
func TestLargeCompressedAnswerOfASibling(t *testing.T) {
	var packed bytes.Buffer
	zw := gzip.NewWriter(&packed)
	chunk := make([]byte, 1<<20)
	for range 2 * maxReplicaBytes / len(chunk) {
		_, err := zw.Write(chunk)
		assert.NilError(t, err)
	}
	assert.NilError(t, zw.Close())
	_, err := decompress(Response{Header: http.Header{"Content-Encoding": {"gzip"}}, Body: packed.Bytes()})
	assert.Assert(t, errors.Is(err, limited.ErrTooLong), "%v", err)
}
