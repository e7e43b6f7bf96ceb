package canary_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/canary"
)

// TestEntryThatStartsLearnsTheLoadLimit guards against an entry that sends upstreams the load at which they fail,
// since it started after the others had found the limit and their failures have ended.
func TestEntryThatStartsLearnsTheLoadLimit(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	newGuard := func() *canary.Guard {
		gu := canary.New(canary.Entries(func() int { return 2 }))
		gu.Order(now, canary.Order{Service: service, Target: v2, Duration: 14 * time.Second, Revision: 5})
		gu.Status(canary.Status{Service: service, Target: v2, State: canary.Completed, Revision: 6})
		return gu
	}
	ho := core.Host{ID: "new-0", Service: service, Version: v2, Slots: 6}
	old := newGuard()
	for i := range 60 {
		running := 1 + i%3*2
		old.ObserveLoad(now, ho, core.Load{Running: running, Slots: 6}, running > 2)
	}
	assert.Assert(t, old.LoadLimit(service, v2).Limit > 0)
	later := now.Add(time.Hour)
	started := newGuard()
	assert.Assert(t, started.NeedsReports(later))
	started.MergeReports(later, old.Reports(later))
	assert.Equal(t, started.LoadLimit(service, v2).Limit, old.LoadLimit(service, v2).Limit)
	assert.Assert(t, !started.NeedsReports(later), "nothing fails now")
}
