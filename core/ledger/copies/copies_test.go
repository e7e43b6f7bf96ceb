package copies_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/ledger/copies"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// An entry dies before its last bills were written, or the notice that they were written is lost
// with a link. The agent that holds copies must offer them to some entry: otherwise the answers are
// never billed, and the copies accumulate.
func TestOfferTimingAndTarget(t *testing.T) {
	type offer struct {
		after time.Duration
		to    core.ProcessID
		bills int
	}
	scenarios := []struct {
		testName string
		linked   []core.ProcessID
		durable  time.Duration // when two of the copies are reported durable; 0 if never
		last     time.Duration
		leaving  bool
		expected []offer
	}{
		{"a linked entry is offered old copies only", []core.ProcessID{"gone", "a"}, 0, 80 * time.Second, false,
			[]offer{{60 * time.Second, "gone", 2}, {75 * time.Second, "gone", 2}}},
		{"one successor receives an offer, and another when it does not respond", []core.ProcessID{"a", "b"}, 0, 30 * time.Second, false,
			[]offer{{10 * time.Second, "b", 2}, {25 * time.Second, "a", 2}}},
		{"no further offer once the bills are durable", []core.ProcessID{"a", "b"}, 12 * time.Second, 60 * time.Second, false,
			[]offer{{10 * time.Second, "b", 2}}},
		{"an agent that stops offers at once", []core.ProcessID{"a", "b"}, 1 * time.Second, 60 * time.Second, true,
			[]offer{{0, "b", 2}}},
		{"without a link the copies wait", nil, 0, 60 * time.Second, false, nil},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			set := copies.New(copies.MaxBytes(10))
			assert.Assert(t, set.Add("gone", "at-1", []byte("one"), start))
			assert.Assert(t, set.Add("gone", "at-2", []byte("two"), start))
			if sc.leaving {
				set.OfferNow()
			}
			assert.Assert(t, !set.Add("gone", "at-3", []byte("too long"), start))
			var got []offer
			for d := time.Duration(0); d <= sc.last; d += time.Second {
				if sc.durable > 0 && d == sc.durable {
					set.Remove([]core.AttemptID{"at-1", "at-2", "at-9"})
				}
				for _, of := range set.Due(start.Add(d), sc.linked) {
					assert.Equal(t, of.Process, core.ProcessID("gone"))
					got = append(got, offer{d, of.To, len(of.Bills)})
				}
			}
			assert.Equal(t, fmt.Sprint(got), fmt.Sprint(sc.expected))
			assert.Assert(t, (set.Len() == 0) == (sc.durable > 0))
			assert.Assert(t, (set.CountUnlinked(sc.linked) == 0) == (sc.durable > 0 || slices.Contains(sc.linked, "gone")))
		})
	}
}
