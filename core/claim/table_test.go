package claim_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/claim"
	"skylarkstand/test/fakestore"
)

// The store is slow, or a write that appeared lost takes effect minutes later, and the caller gives
// up meanwhile. Its request was answered "not run", so no process will ever run that claim: if it
// remained, the caller's key could never be used again.
func TestAbandonedClaimIsReleased(t *testing.T) {
	scenarios := []struct {
		testName string
		faults   fakestore.Faults
	}{
		{"slow", fakestore.Faults{Latency: time.Second}},
		{"takes effect late", fakestore.Faults{DelayWrite: 1}},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ha := newHarness(2)
				defer ha.stop()
				ha.st.SetFaults(sc.faults)
				ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
				defer cancel()
				_, err := ha.agents[0].tbl.Claim(ctx, request("key", "one"))
				assert.ErrorIs(t, err, claim.ErrOutcomeUnknown)
				ha.st.SetFaults(fakestore.Faults{})
				time.Sleep(5 * time.Second)
				ha.st.ApplyLateWrites()
				out, err := ha.agents[1].tbl.Claim(t.Context(), request("key", "two"))
				assert.NilError(t, err)
				assert.Equal(t, out.State, claim.Owned)
			})
		})
	}
}

// A store that is down refuses before anything is written: the caller must get at once the error
// that nothing was claimed, and the same key must work once the store is up again.
func TestClaimIsRefusedAtOnceWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ha := newHarness(1)
		defer ha.agents[0].stop()
		ha.st.SetFaults(fakestore.Faults{Down: true})
		began := time.Now()
		_, err := ha.agents[0].tbl.Claim(t.Context(), request("key", "one"))
		assert.ErrorIs(t, err, claim.ErrStoreUnavailable)
		assert.Assert(t, time.Since(began) < time.Second)
		ha.st.SetFaults(fakestore.Faults{})
		out, err := ha.agents[0].tbl.Claim(t.Context(), request("key", "two"))
		assert.NilError(t, err)
		assert.Equal(t, out.State, claim.Owned)
	})
}

// An agent stops as planned while the store is down for some seconds. The answer of its last
// operation is known but not stored. If it were dropped, the caller's retry would permanently be
// answered "outcome unknown".
func TestStopStoresAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ha := newHarness(2)
		defer ha.stop()
		req := request("key", "one")
		_, err := ha.agents[0].tbl.Claim(t.Context(), req)
		assert.NilError(t, err)
		ha.st.SetFaults(fakestore.Faults{Down: true})
		time.AfterFunc(3*time.Second, func() { ha.st.SetFaults(fakestore.Faults{}) })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, ha.agents[0].tbl.Finish(ctx, req, claim.Answer{Status: 200}), context.DeadlineExceeded)
		ha.agents[0].stop()
		out, err := ha.agents[1].tbl.Claim(t.Context(), request("key", "two"))
		assert.NilError(t, err)
		assert.Equal(t, out.State, claim.Done)
	})
}

// A caller retries its key after days, when its first answer has been dropped. A key without a
// timestamp cannot be checked, but a time-ordered key must be refused, also by an agent whose clock
// has stopped; otherwise the operation runs twice.
func TestKeyOlderThanRetentionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ha := newHarness(1)
		ag := ha.agents[0]
		defer ag.stop()
		key := keyOf(time.Now())
		out, err := ag.tbl.Claim(t.Context(), request(key, "one"))
		assert.NilError(t, err)
		assert.Equal(t, out.State, claim.Owned)
		assert.NilError(t, ag.tbl.Finish(t.Context(), request(key, "one"), claim.Answer{Status: 200}))
		time.Sleep(23 * time.Hour)
		out, err = ag.tbl.Claim(t.Context(), request(key, "two"))
		assert.NilError(t, err)
		assert.Equal(t, out.State, claim.Done)
		time.Sleep(50 * time.Hour)
		// An agent with a longer retention than the one that dropped this claim.
		assert.NilError(t, err)
		other := request("other-0", "four")
		for i := 0; other.Key.Bucket() != request(key, "").Key.Bucket(); i++ {
			other.Key.Idempotency = fmt.Sprintf("other-%d", i)
		}
		_, err = ag.tbl.Claim(t.Context(), other)
		assert.NilError(t, err)
		longer, cleanup := claim.New(core.NewDeps(), ha.st, claim.Retention(1000*time.Hour))
		defer cleanup()
		_, err = longer.Claim(t.Context(), request(key, "five"))
		assert.ErrorIs(t, err, claim.ErrExpired)
		for _, late := range []string{key, keyOf(time.Now().Add(-25 * time.Hour)), keyOf(time.Now().Add(time.Hour))} {
			_, err = ag.tbl.Claim(t.Context(), request(late, "three"))
			assert.ErrorIs(t, err, claim.ErrExpired)
		}
	})
}

// keyOf returns a UUIDv7 of the given time; the uuid library always uses real time.
func keyOf(at time.Time) string {
	id := uuid.UUID{6: 0x70, 8: 0x80}
	for i := range 6 {
		id[i] = byte(at.UnixMilli() >> (8 * (5 - i)))
	}
	return id.String()
}

// A caller sends one key with two bodies, or retries while its first request still runs. It must
// get neither the other body's answer nor a second run.
func TestConcurrentRequestsWithOneKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ha := newHarness(2)
		defer ha.stop()
		ag := ha.agents[0]
		first := request("key", "one")
		_, err := ag.tbl.Claim(t.Context(), first)
		assert.NilError(t, err)
		out, err := ha.agents[1].tbl.Claim(t.Context(), request("key", "elsewhere"))
		assert.NilError(t, err)
		assert.Equal(t, out.State, claim.Claimed)
		other := request("key", "two")
		other.Digest = "another body"
		_, err = ag.tbl.Claim(t.Context(), other)
		assert.ErrorIs(t, err, claim.ErrReused)
		out, err = ag.tbl.Claim(t.Context(), request("key", "three"))
		assert.NilError(t, err)
		assert.Equal(t, out.State, claim.Claimed)
		go func() {
			time.Sleep(time.Second)
			_ = ag.tbl.Finish(context.Background(), first, claim.Answer{Status: 201})
		}()
		en, ok := ag.tbl.AwaitEnding(t.Context(), out.Attempt)
		assert.Assert(t, ok)
		assert.Equal(t, en.Answer.Status, 201)
		assert.NilError(t, ag.tbl.Release(t.Context(), first))
		out, err = ha.agents[1].tbl.Claim(t.Context(), request("key", "four"))
		assert.NilError(t, err)
		assert.Equal(t, out.State, claim.Done)
	})
}
