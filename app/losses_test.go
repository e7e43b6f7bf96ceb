package app

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// An engineer names a file without requests, or one that is not there. The
// command must not end as if nobody had lost anything.
func TestLossesSaysWhenItKnowsNothing(t *testing.T) {
	dir := t.TempDir()
	log, empty := filepath.Join(dir, "gateway.log"), filepath.Join(dir, "empty.log")
	row := `{"time":"2026-03-01T08:00:00Z","msg":"exchange-refused","process":"p1","request":"r1","code":"overloaded"}` + "\n"
	assert.NilError(t, os.WriteFile(log, []byte(row), 0o600))
	assert.NilError(t, os.WriteFile(empty, nil, 0o600))
	assert.Equal(t, Main([]string{"losses", log}), ExitOK)
	assert.Equal(t, Main([]string{"losses", empty}), ExitFailed)
	assert.Equal(t, Main([]string{"losses", log + ".gone"}), ExitUsage)
	assert.Equal(t, Main([]string{"losses", "--span", "0s", log}), ExitUsage)
}
