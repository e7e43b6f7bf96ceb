package limited_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/io/limited"
)

func TestReadAll(t *testing.T) {
	raw, err := limited.ReadAll(strings.NewReader("abcd"), 4)
	assert.NilError(t, err)
	assert.Equal(t, string(raw), "abcd")
	_, err = limited.ReadAll(strings.NewReader("abcde"), 4)
	assert.Assert(t, errors.Is(err, limited.ErrTooLong))
}
