package event_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core/event"
)

// The test guards against two events that share a number or a name, or that lack a description.
// Operators who look up a log line in the reference page would then find a wrong event or none.
func TestEventsAreUniqueAndDescribed(t *testing.T) {
	numbers, names := map[int]string{}, map[string]bool{}
	for _, ev := range event.Catalogue() {
		assert.Equal(t, numbers[ev.Number], "", "%s", ev.Name)
		assert.Assert(t, !names[ev.Name], "%s", ev.Name)
		numbers[ev.Number], names[ev.Name] = ev.Name, true
		assert.Assert(t, ev.Description != "" && ev.Action != "", "%s", ev.Name)
		assert.Assert(t, event.MaxLinesPerSecond(ev.Name) > 0)
	}
}
