package app

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a success exit code, which would mean that nothing was lost, if a file has no
// requests or does not exist.
func TestLossesFailsWithoutData(t *testing.T) {
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
