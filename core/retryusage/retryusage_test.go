package retryusage_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core/retryusage"
	"skylarkstand/core/trace"
)

func row(second int, process, event, request, more string) string {
	at := time.Unix(1_000_000+int64(second), 0).UTC().Format(time.RFC3339)
	return fmt.Sprintf(`{"time":%q,"msg":%q,"process":%q,"service":"lm","request":%q,%s}`, at, event, process, request, more)
}

func TestWorstSpanNamesEntriesAndPurposes(t *testing.T) {
	rows := []string{
		row(0, "gw-1", "attempt-begun", "r1", `"attempt":1,"purpose":""`),
		row(1, "gw-1", "attempt-begun", "r1", `"attempt":2,"purpose":"retry"`),
		row(20, "gw-1", "attempt-begun", "r2", `"attempt":1,"purpose":""`),
		row(21, "gw-1", "attempt-begun", "r2", `"attempt":2,"purpose":"retry"`),
		row(22, "gw-1", "attempt-begun", "r2", `"attempt":3,"purpose":"climb"`),
		row(24, "gw-2", "attempt-begun", "r3", `"attempt":1,"purpose":""`),
		row(25, "gw-2", "exchange-failed", "r3", `"budget-refused":true`),
		row(26, "gw-2", "exchange-ended", "r4", `"budget-refused":false`),
	}
	var lo trace.Log
	assert.NilError(t, lo.Read("log", strings.NewReader(strings.Join(rows, "\n"))))
	spans := retryusage.Worst(lo.Lines(), 10*time.Second)
	assert.DeepEqual(t, spans, []retryusage.Span{{
		Service: "lm", From: time.Unix(1_000_021, 0).UTC(), Retries: 2, Requests: 2,
		Entries: []retryusage.Usage{
			{Entry: "gw-1", Retries: map[string]int{"retry": 1, "climb": 1}, Retried: 1},
			{Entry: "gw-2", Requests: 1, Retries: map[string]int{}, Refused: 1},
		},
	}})
	var out strings.Builder
	assert.NilError(t, retryusage.Write(&out, spans))
	assert.Assert(t, strings.Contains(out.String(), "2 retries from"), out.String())
}
