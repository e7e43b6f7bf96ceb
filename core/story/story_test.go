package story_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"skylarkstand/core"
	"skylarkstand/core/story"
)

// The logs in testdata are of two entries: the first is killed with a request in
// hand, which the caller then sends to the second; there the configuration has
// just changed and an upstream fails.
func tell(t *testing.T, id core.RequestID) string {
	t.Helper()
	var lo story.Log
	for _, name := range []string{"gateway-1.log", "gateway-2.log"} {
		fi, err := os.Open(filepath.Join("testdata", name))
		assert.NilError(t, err)
		assert.NilError(t, lo.Read(name, fi))
		assert.NilError(t, fi.Close())
	}
	st := lo.Tell(id)
	var sb strings.Builder
	assert.NilError(t, st.Write(&sb))
	return sb.String()
}

// A user complains of a request that went to two entries, of which one was
// killed. The story has the lines of both in order, what they believed, how
// others fared at the upstream, and says that the first one's end is missing.
func TestStoryOverTwoEntries(t *testing.T) { golden.Assert(t, tell(t, "r1"), "two-entries.txt") }

// Nobody has a line about a request. The story says that lines were left out at
// the time, so that nobody takes it for certain that the request never came.
func TestStoryOfAnUnknownRequest(t *testing.T) { golden.Assert(t, tell(t, "r7"), "unknown.txt") }
