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
  // The minimal settings of a gateway.
  "listen": "127.0.0.1:1", "readiness": "127.0.0.1:2", "siblings": "127.0.0.1:3", "store": "127.0.0.1:4",
  "zone": "muc-a", "regions": {"muc-a": "muc"},
}`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gateway.jsonc")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against SIGHUP terminating a process that is draining. The settings file changes during a
// graceful shutdown; the default action of the signal ends the process, so without a handler all
// callers would be cut off in the middle of their responses.
func TestHangupDuringShutdown(t *testing.T) {
	path := writeSettings(t, gatewaySettings)
	set, err := settings.LoadGateway(path)
	assert.NilError(t, err)
	gw := &gatewayProcess{set: set, deps: core.NewDeps()}
	ctx, cancel := context.WithCancel(t.Context())
	stopped := gw.watchSettings(ctx, path)
	cancel()
	<-stopped
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(20 * time.Millisecond) // By now the signal would have ended the test process.
}

// All mistakes in a settings file must be reported at once; otherwise the operator has to start the
// process once per mistake.
func TestAllGatewaySettingsFaultsAreReportedAtOnce(t *testing.T) {
	_, err := settings.LoadGateway(writeSettings(t, `{"listen": "nowhere", "zone": "muc-a", "exposure": 2, "log-level": "loud", "colour": 1}`))
	for _, part := range []string{"colour", "listen", "readiness", "siblings", "store", "regions", "exposure", "log-level"} {
		assert.ErrorContains(t, err, part)
	}
}
