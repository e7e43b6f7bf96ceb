package claim_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/claim"
	"skylarkstand/test/fakestore"
)

// A service fails to answer for a long time, so that a bucket fills with claims of unknown outcome.
// Dropping one would let its retry run twice, so new keys must be refused and the old ones stay
// claimed.
func TestFullBucketRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakestore.New()
		tbl, cleanup := claim.New(core.NewDeps(), st, claim.MaxBucketBytes(64<<10))
		defer cleanup()
		reqs := sameBucket(1000)
		for i, req := range reqs {
			out, err := tbl.Claim(t.Context(), req)
			if errors.Is(err, claim.ErrFull) {
				break
			}
			assert.NilError(t, err)
			assert.Equal(t, out.State, claim.Owned)
			if i%2 == 0 {
				tbl.MarkOutcomeUnknown(req, core.OutcomeUnknown("the service broke the call off"))
				continue
			}
			assert.NilError(t, tbl.Finish(t.Context(), req, claim.Answer{Status: 200, Body: make([]byte, 900)}))
		}
		fresh := reqs[len(reqs)-1]
		_, err := tbl.Claim(t.Context(), fresh)
		assert.ErrorIs(t, err, claim.ErrFull)
		first := reqs[0]
		first.Attempt = "again"
		out, err := tbl.Claim(t.Context(), first)
		assert.NilError(t, err)
		assert.Equal(t, out.State, claim.Claimed)
		its, err := st.List(t.Context(), "claims/")
		assert.NilError(t, err)
		assert.Assert(t, len(its) > 10, "no claims were archived: %d keys", len(its))
		for _, it := range its {
			assert.Assert(t, len(it.Value) <= 64<<10)
		}
	})
}

// sameBucket returns requests with different keys that share one bucket.
func sameBucket(count int) []claim.Request {
	var reqs []claim.Request
	for no := 0; len(reqs) < count; no++ {
		key := fmt.Sprintf("key-%d", no)
		if req := request(key, core.AttemptID(key)); req.Key.Bucket() == 0 {
			reqs = append(reqs, req)
		}
	}
	return reqs
}

// A busy bucket is archived many times and its agent is replaced. A caller that retries its key the
// next day must get the stored answer from the new agent, and after the retention the claims must
// be gone from the store.
func TestArchivedClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ha := newHarness(2)
		defer ha.stop()
		const many = 40
		reqs := sameBucket(many + 12)
		fresh := reqs[many+10:]
		reqs = reqs[:many+10]
		for at := time.Now(); reqs[0].Key.Bucket() != 0 || len(reqs[0].Key.Idempotency) < 36; at = at.Add(time.Millisecond) {
			reqs[0].Key.Idempotency = keyOf(at)
		}
		ha.claimAndFinishAll(t, reqs[:many])
		time.Sleep(23 * time.Hour)
		for _, req := range reqs[:many] {
			first := req.Attempt
			req.Attempt = "again"
			out, err := ha.agents[1].tbl.Claim(t.Context(), req)
			assert.NilError(t, err)
			assert.Equal(t, out.State, claim.Done)
			assert.Equal(t, string(out.Answer.Body), string(first))
			req.Digest = "another body"
			_, err = ha.agents[1].tbl.Claim(t.Context(), req)
			assert.ErrorIs(t, err, claim.ErrReused)
		}
		before, err := ha.st.List(t.Context(), "claims/")
		assert.NilError(t, err)
		// A day and an hour later the first segments are deleted, while the bucket itself keeps its
		// claims.
		ha.claimAndFinishAll(t, reqs[many:])
		time.Sleep(2 * time.Hour)
		longer, cleanup := claim.New(core.NewDeps(), ha.st, claim.Retention(1000*time.Hour), claim.MaxBucketBytes(4<<10))
		defer cleanup()
		ha.claimAndFinishAll(t, fresh[:1])
		_, err = longer.Claim(t.Context(), reqs[0])
		assert.ErrorIs(t, err, claim.ErrExpired)
		time.Sleep(50 * time.Hour)
		ha.claimAndFinishAll(t, fresh[1:])
		time.Sleep(time.Minute)
		after, err := ha.st.List(t.Context(), "claims/")
		assert.NilError(t, err)
		assert.Assert(t, len(before) > 10 && len(after) == 1, "%d keys before, %d after", len(before), len(after))
		out, err := longer.Claim(t.Context(), sameBucket(60)[59])
		assert.NilError(t, err)
		assert.Equal(t, out.State, claim.Owned)
	})
}

// claimAndFinishAll claims each request at the first agent and stores its attempt ID as the answer.
func (ha *harness) claimAndFinishAll(t *testing.T, reqs []claim.Request) {
	for _, req := range reqs {
		out, err := ha.agents[0].tbl.Claim(t.Context(), req)
		assert.NilError(t, err)
		assert.Equal(t, out.State, claim.Owned)
		assert.NilError(t, ha.agents[0].tbl.Finish(t.Context(), req, claim.Answer{Status: 200, Body: []byte(req.Attempt)}))
	}
}

// While a bucket is archived, the store loses the reply to the segment's write, or the segment
// itself. The next attempt to archive then finds a segment that holds fewer claims than are done in
// the bucket by then. A claim that is in neither would run again when its caller retries it.
func TestArchiveInDoubt(t *testing.T) {
	for _, faults := range []fakestore.Faults{{LoseReply: 1}, {LoseWrite: 1}, {Refuse: 1}} {
		synctest.Test(t, func(t *testing.T) {
			ha := newHarness(2)
			defer ha.stop()
			done := false
			ha.st.SetHook(func(op fakestore.Op) {
				switch {
				case op.Key == "claims/booking/0/1" && op.Name == "create" && !done:
					done = true
					ha.st.SetFaults(faults)
				case done:
					ha.st.SetFaults(fakestore.Faults{})
				}
			})
			reqs := sameBucket(12)
			ha.claimAndFinishAll(t, reqs)
			assert.Assert(t, done)
			for _, req := range reqs {
				req.Attempt = "again"
				out, err := ha.agents[1].tbl.Claim(t.Context(), req)
				assert.NilError(t, err)
				assert.Equal(t, out.State, claim.Done)
			}
		})
	}
}
