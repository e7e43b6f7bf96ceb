package suspect_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/balance"
	"skylarkstand/core/suspect"
	"skylarkstand/test/fakestore"
)

// newQuarantined returns a detector that has just found a request poisonous.
func newQuarantined(t *testing.T, fp suspect.Fingerprint, now time.Time) *suspect.Detector {
	t.Helper()
	de := suspect.NewDetector(suspect.New())
	for i := range 3 {
		at := now.Add(time.Duration(i-6) * time.Second)
		de.RecordCrash(suspect.Crash{
			Fingerprint: fp, Upstream: balance.Incarnation{Upstream: uint64(i), Start: 1}, Request: uint16(i), Sent: at, Ended: at.Add(100 * time.Millisecond),
		}, at)
	}
	assert.Equal(t, len(de.Quarantine(now)), 1)
	return de
}

// TestQuarantineIsRecordedAfterAnOutage guards against a quarantine that is not recorded as the store was
// down when it began, and one that is written again and again.
func TestQuarantineIsRecordedAfterAnOutage(t *testing.T) {
	ctx, now := context.Background(), time.Unix(1_000_000, 0)
	st := fakestore.New(fakestore.WithFaults(fakestore.Faults{Down: true}))
	rr := suspect.NewRecorder(core.NewDeps(), newQuarantined(t, 7, now), st, func() int { return 0 })
	rr.Record(ctx, now)
	st.SetFaults(fakestore.Faults{})
	for range 20 {
		now = now.Add(time.Second)
		rr.Record(ctx, now)
	}
	items, err := st.List(ctx, suspect.Prefix)
	assert.NilError(t, err)
	assert.Equal(t, len(items), 1)
	assert.Equal(t, st.Counts().Writes, 2, "one refused and one accepted")

	other := suspect.NewDetector(suspect.New())
	restored := suspect.NewRecorder(core.NewDeps(), other, st, func() int { return 1 })
	assert.NilError(t, restored.HandleChange(now, core.Change{Item: items[0]}))
	assert.Equal(t, other.Lookup(7, now).State, suspect.Quarantined)
}

// TestRecordedQuarantineEnds guards against a request that stays refused although an upstream has completed
// it, and against keys that stay in the store for ever.
func TestRecordedQuarantineEnds(t *testing.T) {
	scenarios := []struct {
		testName  string
		completed bool
		after     time.Duration
		rank      int
		kept      int
	}{
		{"completed", true, time.Second, 3, 0},
		{"expired", false, 2 * time.Hour, 0, 0},
		{"expired, at an entry that leaves it to others", false, 2 * time.Hour, 1, 1},
		{"in force", false, time.Minute, 0, 1},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			ctx, now := context.Background(), time.Unix(1_000_000, 0)
			st, de := fakestore.New(), newQuarantined(t, 7, now)
			rr := suspect.NewRecorder(core.NewDeps(), de, st, func() int { return sc.rank })
			rr.Record(ctx, now)
			items, err := st.List(ctx, suspect.Prefix)
			assert.NilError(t, err)
			assert.NilError(t, rr.HandleChange(now, core.Change{Item: items[0]}))
			if sc.completed {
				de.RecordCompleted(7, now)
			}
			rr.Record(ctx, now.Add(sc.after))
			items, err = st.List(ctx, suspect.Prefix)
			assert.NilError(t, err)
			assert.Equal(t, len(items), sc.kept)
		})
	}
}

// TestReleaseReachesTheStore guards against a key that stays in the store, and makes entries that start refuse
// an innocent request: the store was down at the release, or the key appeared after it.
func TestReleaseReachesTheStore(t *testing.T) {
	for _, late := range []bool{false, true} {
		ctx, now := context.Background(), time.Unix(1_000_000, 0)
		st, de := fakestore.New(), newQuarantined(t, 7, now)
		rr := suspect.NewRecorder(core.NewDeps(), de, st, func() int { return 3 })
		rr.Record(ctx, now)
		items, err := st.List(ctx, suspect.Prefix)
		assert.NilError(t, err)
		assert.Equal(t, len(items), 1)
		change := core.Change{Item: items[0]}
		if !late {
			assert.NilError(t, rr.HandleChange(now, change))
		}
		de.RecordCompleted(7, now)
		st.SetFaults(fakestore.Faults{Down: true})
		rr.Record(ctx, now)
		st.SetFaults(fakestore.Faults{})
		if late {
			assert.NilError(t, rr.HandleChange(now, change))
		}
		assert.Equal(t, de.Lookup(7, now).State, suspect.Free)
		rr.Record(ctx, now.Add(5*time.Second))
		items, err = st.List(ctx, suspect.Prefix)
		assert.NilError(t, err)
		assert.Equal(t, len(items), 0, "late %v", late)
	}
}

// TestMalformedQuarantineIsReported guards against a key of another writer that stops the replica.
func TestMalformedQuarantineIsReported(t *testing.T) {
	rr := suspect.NewRecorder(core.NewDeps(), suspect.NewDetector(suspect.New()), fakestore.New(), func() int { return 0 })
	for _, it := range []core.Item{{Key: suspect.Prefix + "x", Value: []byte("{}")}, {Key: suspect.Prefix + "07", Value: []byte("{")}} {
		assert.Assert(t, rr.HandleChange(time.Now(), core.Change{Item: it}) != nil)
	}
}
