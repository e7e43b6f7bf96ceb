package story_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"skylarkstand/core"
	"skylarkstand/core/story"
)

// rows of two entries: the first is killed with a request in hand, which the
// caller then sends to the second; there the configuration has just changed and
// an upstream fails.
const (
	first = `{"time":"2026-03-01T08:00:00Z","level":"INFO","msg":"started","process":"019e-aaa1111","zone":"a","event":100}
{"time":"2026-03-01T08:00:01Z","level":"INFO","msg":"configuration-adopted","process":"019e-aaa1111","zone":"a","event":300,"version":3}
{"time":"2026-03-01T08:00:02Z","level":"INFO","msg":"upstream-listed","process":"019e-aaa1111","zone":"a","event":348,"upstream":"u1","service":"desk"}
{"time":"2026-03-01T08:00:02Z","level":"INFO","msg":"upstream-listed","process":"019e-aaa1111","zone":"a","event":348,"upstream":"u9","service":"desk"}
{"time":"2026-03-01T08:01:00Z","level":"INFO","msg":"attempt-begun","process":"019e-aaa1111","zone":"a","event":515,"request":"r1","attempt":1,"upstream":"u1","own":2}
`
	second = `2026-03-01 host-2 {"time":"2026-03-01T08:00:55Z","level":"INFO","msg":"configuration-adopted","process":"019e-bbb2222","zone":"b","event":300,"version":4}
{"time":"2026-03-01T08:01:01Z","level":"INFO","msg":"attempt-begun","process":"019e-bbb2222","zone":"b","event":515,"request":"r1","attempt":1,"upstream":"u2","own":0}
{"time":"2026-03-01T08:01:01.1Z","level":"INFO","msg":"attempt-begun","process":"019e-bbb2222","zone":"b","event":515,"request":"r2","attempt":1,"upstream":"u2","own":1}
{"time":"2026-03-01T08:01:01.2Z","level":"INFO","msg":"attempt-ended","process":"019e-bbb2222","zone":"b","event":513,"request":"r2","attempt":1,"upstream":"u2","verdict":"lost","why":"connection reset"}
{"time":"2026-03-01T08:01:01.3Z","level":"WARN","msg":"upstream-avoided","process":"019e-bbb2222","zone":"b","event":350,"upstream":"u2","request":"r2"}
{"time":"2026-03-01T08:01:01.5Z","level":"WARN","msg":"exchange-failed","process":"019e-bbb2222","zone":"b","event":511,"request":"r1","attempts":1,"code":"outcome-lost","no-repeat":"the budget for repeats is used up"}
{"time":"2026-03-01T08:01:02Z","level":"WARN","msg":"log-dropped","process":"019e-bbb2222","zone":"b","event":107,"of":"attempt-begun","lines":12}
{"time":"2026-03-01T08:01:09Z","level":"INFO","msg":"attempt-begun","process":"019e-bbb2222","zone":"b","event":515,"request":"r3","attempt":1,"upstream":"u3"}
panic: something else wrote here
`
)

func tell(t *testing.T, id core.RequestID) string {
	t.Helper()
	var lo story.Log
	assert.NilError(t, lo.Read("one.log", strings.NewReader(first)))
	assert.NilError(t, lo.Read("two.log", strings.NewReader(second)))
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
