package replica_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/replica"
)

// TestOldVersionsOfADocumentDisplaceNoChanges guards against entries that must get a full copy because a
// few configurations came in quick succession, and against sending each of them to an entry that lags.
func TestOldVersionsOfADocumentDisplaceNoChanges(t *testing.T) {
	re := replica.New()
	now := time.Now()
	re.Replace(nil, 1, now)
	rev := core.Revision(1)
	for i := range 12 {
		rev++
		re.Apply([]core.Change{{Item: core.Item{Key: "upstream", Value: fmt.Appendf(nil, "state %d", i), Revision: rev}}}, rev, now)
		rev++
		re.Apply([]core.Change{{Item: core.Item{Key: configKey, Value: make([]byte, 90<<10), Revision: rev}}}, rev, now)
	}
	changes, to, ok := re.Since(1)
	assert.Assert(t, ok)
	assert.Equal(t, to, rev)
	assert.Equal(t, len(changes), 12+1, "all changes of the upstream and the newest configuration")
	assert.Equal(t, changes[12].Revision, rev)
}
