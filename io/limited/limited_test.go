package limited_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/io/limited"
	"skylarkstand/test/endless"
)

func TestReadAll(t *testing.T) {
	raw, err := limited.ReadAll(strings.NewReader("abcd"), 4)
	assert.NilError(t, err)
	assert.Equal(t, string(raw), "abcd")
	_, err = limited.ReadAll(strings.NewReader("abcde"), 4)
	assert.Assert(t, errors.Is(err, limited.ErrTooLong))
}

// A message never ends: the reader must stop at its limit.
func TestDecodeJSONStopsAtTheLimit(t *testing.T) {
	pe := endless.Serve(t, "[", "1,")
	rs, err := http.Get(pe.URL)
	assert.NilError(t, err)
	defer rs.Body.Close()
	var out []int
	assert.Assert(t, errors.Is(limited.DecodeJSON(rs.Body, &out), limited.ErrTooLong))
	assert.NilError(t, rs.Body.Close())
	pe.AssertStopped(t, 2*limited.MaxMessage)
}
