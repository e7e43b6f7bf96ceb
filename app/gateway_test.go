package app

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/app/settings"
	"skylarkstand/core"
)

const gatewaySettings = `{
  // The least that a gateway needs.
  "listen": "127.0.0.1:1", "readiness": "127.0.0.1:2", "siblings": "127.0.0.1:3", "store": "127.0.0.1:4",
  "zone": "muc-a", "regions": {"muc-a": "muc"},
}`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gateway.jsonc")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// A process is stopping as planned and ends what is under way. Its settings file
// changes just then, and it is told so by a signal whose default action ends a
// process: were nobody listening for it any more, all callers would be cut off
// in the middle of their answers.
func TestHangupDuringAStop(t *testing.T) {
	path := writeSettings(t, gatewaySettings)
	set, err := settings.LoadGateway(path)
	assert.NilError(t, err)
	gw := &gatewayProcess{set: set, deps: core.NewDeps()}
	ctx, cancel := context.WithCancel(t.Context())
	stopped := gw.watchSettings(ctx, path)
	cancel()
	<-stopped
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(20 * time.Millisecond) // The signal would have ended the test by now.
}

// An operator makes several mistakes in one settings file. All of them must be
// told at once, or the process is started once for each.
func TestGatewaySettingsFaults(t *testing.T) {
	_, err := settings.LoadGateway(writeSettings(t, `{"listen": "nowhere", "zone": "muc-a", "exposure": 2, "log-level": "loud", "colour": 1}`))
	for _, part := range []string{"colour", "listen", "readiness", "siblings", "store", "regions", "exposure", "log-level"} {
		assert.ErrorContains(t, err, part)
	}
}
