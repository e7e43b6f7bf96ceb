package settings_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/app/settings"
)

func file(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against reporting only one fault per start: a settings file written by hand has several
// mistakes, and the operator must see all of them at once.
func TestAllFaultsOfAFileAreReportedAtOnce(t *testing.T) {
	path := file(t, `{
		// a comment
		"listen": "10.0.0.1", "zone": "muc-a", "regoin": "muc", "store": "10.0.0.9:9200",
		"hosts": "http://10.0.0.9", "max-body": "4MB", "drain-limit": "one minute", "pin-secret": "",
		"ledger-pace": "0s", "max-in-flight": 0, "log-level": "warning",
	}`)
	_, err := settings.LoadEntry(path)
	assert.Error(t, err, "settings "+path+`, faults: 11
drain-limit: "one minute" is no time; write a number with its unit, such as "1.5s"
max-body: is string, not integer; write a whole number without quotes
rater: is missing; set it
region: is missing; set it
regoin: there is no such field; did you mean "region"?
listen: "10.0.0.1" is not an address; write IP:port
store: "10.0.0.9:9200" is not a base URL; write http://IP:port
pin-secret: is missing; set it
max-in-flight: 0 is too small, every request would be refused; give at least 1
ledger-pace: 0s is too short, the ledger would be written without a pause; give more, such as "2s"
log-level: there is no level "warning"; choose one of debug, info, warn, error`)
}

func TestNonObjectFileIsAFault(t *testing.T) {
	_, err := settings.LoadEntry(file(t, `["listen"]`))
	assert.ErrorContains(t, err, "the file: is array, not object; write an object in { }")
}

func TestDefaultsApplyToOmittedFields(t *testing.T) {
	set, err := settings.LoadAgent(file(t, `{
		"listen": "10.0.0.1:7000", "zone": "muc-a", "region": "muc", "store": "http://10.0.0.9", "upstream": "desk-1",
		"engine": "http://10.0.0.1:8000", "model": "desk", "version": "v1", "queue": 4, "drain-limit": "90s",
	}`))
	assert.NilError(t, err)
	assert.Equal(t, set.Slots, settings.DefaultAgent().Slots)
	assert.Equal(t, set.Queue, 4)
	assert.Equal(t, time.Duration(set.DrainLimit), 90*time.Second)
}

// Guards against accepting settings of an agent with two upstreams or none: it would protect the
// wrong one, and callers' requests would reach an unprotected upstream.
func TestAgentHasExactlyOneUpstream(t *testing.T) {
	_, err := settings.LoadAgent(file(t, `{
		"listen": "10.0.0.1:7000", "zone": "muc-a", "region": "muc", "store": "http://10.0.0.9", "upstream": "desk-1", "slots": 0,
	}`))
	assert.ErrorContains(t, err, "engine, service-url: exactly one must be set")
	assert.ErrorContains(t, err, "slots: 0 is too small")
}
