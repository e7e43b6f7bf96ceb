package trace_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"skylarkstand/core"
	"skylarkstand/core/trace"
)

// explain returns what is printed about a request from the logs in testdata. They come from two
// entries: the first is killed with a request in flight, which the caller then sends to the second;
// there, the configuration has just changed and an upstream fails.
func explain(t *testing.T, id core.RequestID) string {
	t.Helper()
	var lo trace.Log
	for _, name := range []string{"gateway-1.log", "gateway-2.log"} {
		fi, err := os.Open(filepath.Join("testdata", name))
		assert.NilError(t, err)
		assert.NilError(t, lo.Read(name, fi))
		assert.NilError(t, fi.Close())
	}
	tr := lo.Trace(id)
	var sb strings.Builder
	assert.NilError(t, tr.Write(&sb))
	return sb.String()
}

// A request was sent to two entries, one of which was killed. The output must contain the lines of
// both in order, the state of the entries, the counts of other requests, and a note that the first
// entry did not log the end of the request.
func TestRequestAtTwoEntries(t *testing.T) { golden.Assert(t, explain(t, "r1"), "two-entries.txt") }

// No process has logged a line about a request. The output must mention the lines that were dropped
// at the time, so that an operator does not conclude that the request was never received.
func TestUnknownRequest(t *testing.T) { golden.Assert(t, explain(t, "r7"), "unknown.txt") }
