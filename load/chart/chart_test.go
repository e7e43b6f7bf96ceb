package main

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestChartPlotsCompleteResponsesByKind(t *testing.T) {
	var sb strings.Builder
	err := draw(strings.NewReader("due-ms,name,outcome,total-ms\n10,quick,whole,40\n900,quick,whole,60\n1500,quick,whole,50\n20,claim,not-run,1\n"), &sb)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(sb.String(), "quick p99"))
	assert.Assert(t, !strings.Contains(sb.String(), "claim"))
}

func TestChartRejectsCSVWithoutItsColumns(t *testing.T) {
	err := draw(strings.NewReader("time,value\n1,2\n"), &strings.Builder{})
	assert.ErrorContains(t, err, "columns are missing")
}
