package app

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// An engineer asks for a request that no file has a line of, or names a file that
// is not there. The command must not end as if all had been told.
func TestExplainSaysWhenItKnowsNothing(t *testing.T) {
	log := filepath.Join(t.TempDir(), "gateway.log")
	row := `{"time":"2026-03-01T08:00:00Z","msg":"exchange-refused","process":"p1","request":"r1","code":"overloaded"}` + "\n"
	assert.NilError(t, os.WriteFile(log, []byte(row), 0o600))
	assert.Equal(t, Main([]string{"explain", "r1", log}), ExitOK)
	assert.Equal(t, Main([]string{"explain", "r2", log}), ExitFailed)
	assert.Equal(t, Main([]string{"explain", "r1", log + ".gone"}), ExitUsage)
}
