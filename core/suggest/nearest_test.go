package suggest_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core/suggest"
)

func TestNearest(t *testing.T) {
	known := []string{"desk", "drafter", "v1", "kogane-lm", "kogane-lm-small"}
	for _, sc := range []struct{ testName, name, want string }{
		{"a letter is missing", "draftr", "drafter"},
		{"letters are swapped", "deks", "desk"},
		{"wrong digit", "v7", "v1"},
		{"the nearer of two", "kogane-lm-smal", "kogane-lm-small"},
		{"no similar name", "subsidy", ""},
		{"empty name", "", ""},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			got, ok := suggest.Nearest(sc.name, known)
			assert.Equal(t, got, sc.want)
			assert.Equal(t, ok, sc.want != "")
		})
	}
}
