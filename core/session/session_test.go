package session_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/session"
)

// Sessions have no explicit end. If all of them were kept, the entry would run out of memory; the
// most recently used ones must survive an eviction.
func TestHolderIsBounded(t *testing.T) {
	ho, now := session.NewHolder(session.Limit(100)), time.Now()
	for i := range 1000 {
		now = now.Add(time.Second)
		ho.Record(session.Key{Session: core.SessionID(core.NewID())}, session.Versions{"desk": "v1"}, now)
		if i == 998 {
			ho.Record(session.Key{Session: "last"}, session.Versions{"desk": "v2"}, now)
		}
	}
	assert.Equal(t, ho.Find(session.Key{Session: "last"}, now)["desk"], core.VersionID("v2"))
}

// A caller changes a token, or uses another workspace's, to reach a version that it was not
// assigned. The token must be rejected.
func TestForgedTokenIsRejected(t *testing.T) {
	kr := session.NewKeyring("secret")
	tok := kr.Sign(session.Pin{Workspace: "schools", Session: "s1", Versions: session.Versions{"desk": "v2"}})
	pin, err := kr.Verify(tok, "schools")
	assert.NilError(t, err)
	assert.Equal(t, pin.Versions["desk"], core.VersionID("v2"))
	forged := session.NewKeyring("guess").Sign(pin)
	for _, bad := range []string{"", ".", tok[1:], tok + "x", forged, "e30." + tok} {
		_, err := kr.Verify(bad, "schools")
		assert.Assert(t, errors.Is(err, session.ErrInvalidToken), bad)
	}
	_, err = kr.Verify(tok, "districts")
	assert.Assert(t, errors.Is(err, session.ErrInvalidToken))
}
