package app

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a success exit code, which would mean that no retry was made, if the logs hold no attempt.
func TestRetriesFailsWithoutData(t *testing.T) {
	dir := t.TempDir()
	log, empty := filepath.Join(dir, "gateway.log"), filepath.Join(dir, "empty.log")
	row := `{"time":"2026-03-01T08:00:00Z","msg":"attempt-begun","process":"p1","request":"r1","service":"lm","attempt":1,"purpose":""}` + "\n"
	assert.NilError(t, os.WriteFile(log, []byte(row), 0o600))
	assert.NilError(t, os.WriteFile(empty, nil, 0o600))
	assert.Equal(t, Main([]string{"retries", log}), ExitOK)
	assert.Equal(t, Main([]string{"retries", empty}), ExitFailed)
	assert.Equal(t, Main([]string{"retries", "--window", "0s", log}), ExitUsage)
}
