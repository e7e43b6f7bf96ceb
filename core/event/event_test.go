package event_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core/event"
)

// Two events share a number or a name, or one is not in the catalogue. The page
// that operators look a line up in then names the wrong one or none.
func TestCatalogueIsWhole(t *testing.T) {
	numbers, names := map[int]string{}, map[string]bool{}
	for _, ev := range event.Catalogue() {
		assert.Equal(t, numbers[ev.Number], "", "%s", ev.Name)
		assert.Assert(t, !names[ev.Name], "%s", ev.Name)
		numbers[ev.Number], names[ev.Name] = ev.Name, true
		assert.Assert(t, ev.Meaning != "" && ev.Action != "", "%s", ev.Name)
		assert.Assert(t, event.Ceiling(ev.Name) > 0)
	}
}
