package app

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a success exit code if no log has a line of the request, or if a file does not
// exist.
func TestExplainFailsWithoutData(t *testing.T) {
	log := filepath.Join(t.TempDir(), "gateway.log")
	row := `{"time":"2026-03-01T08:00:00Z","msg":"exchange-refused","process":"p1","request":"r1","code":"overloaded"}` + "\n"
	assert.NilError(t, os.WriteFile(log, []byte(row), 0o600))
	assert.Equal(t, Main([]string{"explain", "r1", log}), ExitOK)
	assert.Equal(t, Main([]string{"explain", "r2", log}), ExitFailed)
	assert.Equal(t, Main([]string{"explain", "r1", log + ".gone"}), ExitUsage)
}
