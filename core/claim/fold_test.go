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

// A service loses the answers of a whole season, so that a bucket fills with
// claims of unknown outcome. Dropping one would let its repeat run twice, so
// new keys are refused, and the old ones are still known.
func TestFullBucketRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakestore.New()
		tbl, cleanup := claim.New(core.NewDeps(), st, claim.Room(64<<10))
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
				tbl.Forget(req, core.Lost("the service broke the call off"))
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
		assert.Assert(t, len(its) > 10, "nothing was folded")
		for _, it := range its {
			assert.Assert(t, len(it.Value) <= 64<<10)
		}
	})
}

// sameBucket returns requests of different keys that share one bucket.
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

// A busy bucket is folded again and again, and its agent is replaced. A caller
// that repeats its key the next day must get its answer from the agent that
// came new, and after the retention the store must be empty of the claims.
func TestFoldedClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := newWorld(2)
		defer wo.stop()
		const many = 40
		reqs := sameBucket(many + 12)
		fresh := reqs[many+10:]
		reqs = reqs[:many+10]
		for at := time.Now(); reqs[0].Key.Bucket() != 0 || len(reqs[0].Key.Idempotency) < 36; at = at.Add(time.Millisecond) {
			reqs[0].Key.Idempotency = keyOf(at)
		}
		wo.runAll(t, reqs[:many])
		time.Sleep(23 * time.Hour)
		for _, req := range reqs[:many] {
			first := req.Attempt
			req.Attempt = "again"
			out, err := wo.agents[1].tbl.Claim(t.Context(), req)
			assert.NilError(t, err)
			assert.Equal(t, out.State, claim.Done)
			assert.Equal(t, string(out.Answer.Body), string(first))
			req.Digest = "another body"
			_, err = wo.agents[1].tbl.Claim(t.Context(), req)
			assert.ErrorIs(t, err, claim.ErrReused)
		}
		before, err := wo.st.List(t.Context(), "claims/")
		assert.NilError(t, err)
		// An hour after a day the first segments go, and nothing of the head.
		wo.runAll(t, reqs[many:])
		time.Sleep(2 * time.Hour)
		longer, cleanup := claim.New(core.NewDeps(), wo.st, claim.Retention(1000*time.Hour), claim.Room(4<<10))
		defer cleanup()
		wo.runAll(t, fresh[:1])
		_, err = longer.Claim(t.Context(), reqs[0])
		assert.ErrorIs(t, err, claim.ErrExpired)
		time.Sleep(50 * time.Hour)
		wo.runAll(t, fresh[1:])
		time.Sleep(time.Minute)
		after, err := wo.st.List(t.Context(), "claims/")
		assert.NilError(t, err)
		assert.Assert(t, len(before) > 10 && len(after) == 1, "%d keys before, %d after", len(before), len(after))
		out, err := longer.Claim(t.Context(), sameBucket(60)[59])
		assert.NilError(t, err)
		assert.Equal(t, out.State, claim.Owned)
	})
}

// runAll claims and answers requests with their attempts at the first agent.
func (wo *world) runAll(t *testing.T, reqs []claim.Request) {
	for _, req := range reqs {
		out, err := wo.agents[0].tbl.Claim(t.Context(), req)
		assert.NilError(t, err)
		assert.Equal(t, out.State, claim.Owned)
		assert.NilError(t, wo.agents[0].tbl.Finish(t.Context(), req, claim.Answer{Status: 200, Body: []byte(req.Attempt)}))
	}
}

// The store loses the reply to a segment, or the segment itself, while a
// bucket is folded. The next fold meets a segment that holds less than the
// bucket has done by then. A claim that is in neither would run again when its
// caller repeats it.
func TestFoldInDoubt(t *testing.T) {
	for _, faults := range []fakestore.Faults{{LoseReply: 1}, {LoseWrite: 1}, {Refuse: 1}} {
		synctest.Test(t, func(t *testing.T) {
			wo := newWorld(2)
			defer wo.stop()
			done := false
			wo.st.Before(func(op fakestore.Op) {
				switch {
				case op.Key == "claims/booking/0/1" && op.Name == "create" && !done:
					done = true
					wo.st.Set(faults)
				case done:
					wo.st.Set(fakestore.Faults{})
				}
			})
			reqs := sameBucket(12)
			wo.runAll(t, reqs)
			assert.Assert(t, done)
			for _, req := range reqs {
				req.Attempt = "again"
				out, err := wo.agents[1].tbl.Claim(t.Context(), req)
				assert.NilError(t, err)
				assert.Equal(t, out.State, claim.Done)
			}
		})
	}
}
