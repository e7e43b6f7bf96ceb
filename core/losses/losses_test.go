package losses_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"skylarkstand/core/losses"
	"skylarkstand/core/trace"
)

// count counts the requests in lines of a gateway. It adds the time and the process to each line.
func count(t *testing.T, rows ...string) losses.Table {
	t.Helper()
	var lo trace.Log
	for i, row := range rows {
		at := time.Unix(1_800_000_000, 0).UTC().Add(time.Duration(i) * 10 * time.Millisecond).Format(time.RFC3339Nano)
		line := `{"time":"` + at + `","process":"p1",` + row + "}\n"
		assert.NilError(t, lo.Read("gateway.log", strings.NewReader(line)))
	}
	return losses.Count(lo.Lines(), 2*time.Second)
}

const (
	begun  = `"msg":"attempt-begun","request":"r1","route":"draft","attempt":1,"model":"small","prompt":5000,"kept":800,"read":0.2`
	second = `"msg":"attempt-begun","request":"r1","route":"draft","attempt":2,"model":"large","prompt":5000,"kept":0,"read":2`
)

// answered returns the line of a complete answer, with replacements.
func answered(replacements ...string) string {
	row := `"msg":"exchange-ended","request":"r1","route":"draft","status":200,"confidence":80,"larger":0,"first":1,"aim":3,"pause":0.2,"gap":1`
	return strings.NewReplacer(replacements...).Replace(row)
}

func ended(verdict, took string) string {
	return `"msg":"attempt-ended","request":"r1","attempt":1,"verdict":"` + verdict + `","took":` + took
}

// Each request that was refused, cut off, late or badly answered must be attributed to exactly one
// cause, and to the right one. Otherwise, an engineer would fix the wrong thing first.
func TestEachLossHasOneCause(t *testing.T) {
	scenarios := []struct {
		testName string
		rows     []string
		want     losses.Cause
	}{
		{"on time", []string{begun, answered()}, losses.OnTime},
		{"doubtful", []string{begun, answered(`"confidence":80`, `"confidence":30`, `"larger":0`, `"larger":1`)}, losses.Doubtful},
		{"doubtful without retries left", []string{begun, answered(`"confidence":80`, `"confidence":30,"kept-answer":"repeats"`, `"larger":0`, `"larger":1`)}, losses.DoubtfulNoRetries},
		{"doubtful without an upstream for a larger model", []string{begun, answered(`"confidence":80`, `"confidence":30,"kept-answer":"no-upstream"`, `"larger":0`, `"larger":1`)}, losses.DoubtfulNoUpstream},
		{"doubtful under load", []string{begun, answered(`"confidence":80`, `"confidence":30,"kept-answer":"sufficed"`, `"larger":0`, `"larger":1`)}, losses.DoubtfulSufficed},
		{"doubtful by the largest model", []string{begun, answered(`"confidence":80`, `"confidence":30`)}, losses.OnTime},
		{"paused", []string{begun, answered(`"pause":0.2`, `"pause":1.2`)}, losses.Paused},
		{"error of an upstream", []string{begun, answered(`"status":200`, `"status":500`)}, losses.UpstreamError},
		{"late by escalation", []string{begun, ended("unsure", "2.5"), second, answered(`"first":1`, `"first":3.2`)}, losses.LateByEscalation},
		{"late by a lost answer", []string{begun, ended("lost", "2.5"), second, answered(`"first":1`, `"first":3.2`)}, losses.LateByUpstream},
		{"late in the queue", []string{begun, ended("unsure", "0.1"), second, answered(`"first":1`, `"first":3.2`)}, losses.LateByQueue},
		{"late at a slow upstream", []string{begun, answered(`"first":1`, `"first":3.2`)}, losses.LateAtUpstream},
		{"no end", []string{begun}, losses.ProcessEnded},
		{"no configuration", []string{`"msg":"exchange-refused","request":"r1","code":"no-configuration"`}, losses.Unconfigured},
		{"no route", []string{`"msg":"exchange-refused","request":"r1","code":"unknown-route"`}, losses.NotAllowed},
		{"overloaded", []string{`"msg":"exchange-refused","request":"r1","code":"overloaded"`}, losses.Overloaded},
		{"cut off by a planned stop", []string{begun, `"msg":"exchange-cut","request":"r1","code":"leaving"`}, losses.Stopping},
		{"over the deadline", []string{begun, `"msg":"exchange-failed","request":"r1","code":"deadline"`}, losses.OverDeadline},
		{"caller gone", []string{begun, `"msg":"exchange-cut","request":"r1","code":"caller-gone"`}, losses.CallerGone},
		{"outcome unknown", []string{begun, `"msg":"exchange-failed","request":"r1","code":"outcome-unknown"`}, losses.LostAtUpstream},
		{"a code of a later release", []string{begun, `"msg":"exchange-failed","request":"r1","code":"new"`}, losses.Unknown},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			ta := count(t, sc.rows...)
			assert.Equal(t, ta.Total.Requests, 1)
			if sc.want == losses.OnTime {
				assert.Equal(t, len(ta.Total.Lost), 0, "%v", ta.Total.Lost)
				return
			}
			assert.DeepEqual(t, ta.Total.Lost, map[losses.Cause]int{sc.want: 1})
		})
	}
}

// The printed table for the lines of one entry.
func TestTable(t *testing.T) {
	rows := []string{begun, ended("unsure", "0.1"), second, answered()}
	for _, row := range []string{begun, ended("unsure", "0.1"), second} {
		rows = append(rows, strings.Replace(row, "r1", "r2", 1))
	}
	rows = append(rows, `"msg":"exchange-refused","request":"r3","code":"no-configuration"`, `"msg":"log-dropped","of":"attempt-begun","lines":12`)
	ta := count(t, rows...)
	var sb strings.Builder
	assert.NilError(t, ta.Write(&sb))
	golden.Assert(t, sb.String(), "table.txt")
}
